package pipeliner

import (
	"net/http"

	"github.com/go-faster/errors"

	"hornbeamcroft/headreader"
)

// faultStatus returns the status of the answer to a request whose head could not be read.
func faultStatus(err error) int {
	switch {
	case errors.Is(err, headreader.ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, headreader.ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, headreader.ErrVersion):
		return http.StatusHTTPVersionNotSupported
	case errors.Is(err, headreader.ErrExpectation):
		return http.StatusExpectationFailed
	case errors.Is(err, headreader.ErrUnsupported):
		return http.StatusNotImplemented
	}
	return http.StatusBadRequest
}

// answerFault answers a request whose head could not be read, once the requests before it are answered, and ends the connection.
func (p *Pipeliner) answerFault() {
	p.mu.Lock()
	if p.closing || p.count > 0 {
		p.hold()
		p.mu.Unlock()
		return
	}
	p.closing, p.serving, p.waiting = true, true, false
	p.mu.Unlock()
	b := appendStatus(nil, faultStatus(p.fault))
	b = append(b, "Content-Length: 0\r\nConnection: close\r\n\r\n"...)
	e := &exchange{p: p}
	err := e.write(b, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving = false
	if err != nil {
		p.fail()
	} else if !p.failed {
		p.linger()
	}
}

// hold records that Serve holds a request or a fault until a request ends.
func (p *Pipeliner) hold() { p.waiting, p.seenEnds = true, p.ends }
