package pipeliner

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bufferBytes is the size up to which an answer is collected and sent at once.
	bufferBytes = 8 << 10
	// writeBytes is the size of the parts in which a large answer is sent. The client must take each in time.
	writeBytes = 64 << 10
	// maxDroppedBytes is how much of a body that the handler did not read is read to keep the connection, dropTime how long.
	maxDroppedBytes = 256 << 10
	dropTime        = 3 * time.Second
)

// Arguments of SetLinger: closing the connection resets it, or ends it once its bytes are sent.
const (
	lingerReset     = 0
	lingerByDefault = -1
)

// response is the state of an answer.
type response struct {
	header http.Header
	status int
	// length is the declared length of the body; negative if there is none. written counts its bytes.
	length, written int64
	// bodiless is true if the answer has no body, chunked if its length is not known before its end.
	bodiless, chunked bool
	// out points to what was not sent yet, in a buffer of the pool; nil before the head.
	out *[]byte
	// small is a body without a declared length that may still turn out to be short.
	small []byte
	// unread is true if reading the body of the request has failed, broken if the answer cannot be completed.
	unread, broken bool
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, bufferBytes)
	return &b
}}

// Header returns the fields of the answer.
func (e *exchange) Header() http.Header {
	if e.header == nil {
		e.header = make(http.Header)
	}
	return e.header
}

// WriteHeader sets the status. It waits until the requests before this one are answered, so that an answer is held by its handler,
// in the memory that the handler accounts for, until it can be sent.
func (e *exchange) WriteHeader(status int) {
	if e.status != 0 || status < 200 && status != http.StatusSwitchingProtocols {
		return
	}
	e.status = status
	e.bodiless = e.head.Request.Method == http.MethodHead || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
	if n, err := strconv.ParseUint(e.header.Get("Content-Length"), 10, 63); err == nil && status >= 200 && status != http.StatusNoContent {
		e.length = int64(n)
	}
	if e.await() == nil && (e.bodiless || e.length >= 0) {
		e.writeHead()
	}
}

// Write sends a part of the body.
func (e *exchange) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.broken {
		return 0, errEnded
	}
	if e.bodiless {
		return len(b), nil
	}
	if e.length >= 0 && e.written+int64(len(b)) > e.length {
		return 0, http.ErrContentLength
	}
	e.written += int64(len(b))
	switch {
	case e.length < 0 && e.out == nil && len(e.small)+len(b) <= bufferBytes/2:
		e.small = append(e.small, b...)
		return len(b), nil
	case e.length < 0:
		return len(b), e.writeChunk(b)
	case len(*e.out)+len(b) <= bufferBytes:
		*e.out = append(*e.out, b...)
		return len(b), nil
	}
	return len(b), e.flush(b)
}

// writeChunk sends a part of a body whose length is not declared.
func (e *exchange) writeChunk(b []byte) error {
	if e.out == nil {
		e.chunked = e.head.Request.ProtoAtLeast(1, 1)
		e.writeHead()
		b = append(e.small, b...)
		e.small = nil
	}
	if !e.chunked || len(b) == 0 {
		return e.flush(b)
	}
	*e.out = append(strconv.AppendInt(*e.out, int64(len(b)), 16), "\r\n"...)
	err := e.flush(b)
	*e.out = append(*e.out, "\r\n"...)
	return err
}

// finish completes the answer after the handler has returned.
func (e *exchange) finish() {
	e.WriteHeader(http.StatusOK)
	if e.broken {
		return
	}
	if e.out == nil {
		e.length = int64(len(e.small))
		e.writeHead()
		*e.out = append(*e.out, e.small...)
	}
	if e.chunked {
		*e.out = append(*e.out, "0\r\n\r\n"...)
	}
	if err := e.flush(nil); err != nil {
		return
	}
	if e.endsWithConn() {
		e.setLinger(lingerByDefault)
	}
	if !e.bodiless && e.length >= 0 && e.written < e.length {
		e.broken = true // the client must not take a short body for the whole
	}
}

// endsWithConn reports whether the answer has a body whose end is that of the connection.
func (e *exchange) endsWithConn() bool { return !e.bodiless && e.length < 0 && !e.chunked }

// setLinger sets what closing the connection does with bytes that were not sent, if it is one of the operating system.
func (e *exchange) setLinger(seconds int) {
	if c, ok := e.p.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(seconds) // fails only if the connection is closed
	}
}

// writeHead puts the head of the answer into the buffer.
func (e *exchange) writeHead() {
	e.out = buffers.Get().(*[]byte)
	r := e.head.Request
	endsWithConn := e.endsWithConn()
	if endsWithConn {
		// Until the body is complete, the end of the connection is a reset, whatever it comes from. Nothing else shows it to the client.
		e.setLinger(lingerReset)
	}
	// Behind status 101, the client speaks the other protocol.
	want := r.Close || endsWithConn || e.status < 200 || strings.EqualFold(e.header.Get("Connection"), "close") || !e.dropBody()
	last := e.decideClose(want)
	b := appendStatus((*e.out)[:0], e.status)
	for name, values := range e.header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	if _, ok := e.header["Date"]; !ok {
		b = appendDate(b, time.Now())
	}
	switch {
	case e.chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case e.length >= 0:
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), e.length, 10), "\r\n"...)
	}
	switch {
	case last:
		b = append(b, "Connection: close\r\n"...)
	case !r.ProtoAtLeast(1, 1):
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	*e.out = append(b, "\r\n"...)
}

// appendStatus appends the status line.
func appendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(b, ' '), http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// appendField appends a header field unless it would break the head.
func appendField(b []byte, name, value string) []byte {
	if name == "" || strings.ContainsAny(name, "\r\n: ") || strings.ContainsAny(value, "\r\n\x00") {
		return b
	}
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// dropBody reads what is left of the request's body, so that the connection can carry another request. It returns false if that is
// too much or takes too long.
func (e *exchange) dropBody() bool {
	p := e.p
	p.mu.Lock()
	open := p.bodyOwner == e
	p.mu.Unlock()
	if !open {
		return true
	}
	left := e.head.Request.ContentLength
	if e.unread || e.expects || left > maxDroppedBytes {
		return false
	}
	_ = e.SetReadDeadline(time.Now().Add(dropTime))
	_, err := io.CopyN(io.Discard, e.head.Request.Body, maxDroppedBytes+1)
	return err == io.EOF
}

// flush sends what is in the buffer and then the body.
func (e *exchange) flush(body []byte) error {
	err := e.write(*e.out, body)
	*e.out = (*e.out)[:0]
	if err != nil {
		e.broken = true
	}
	return err
}

// write sends both parts. Each piece of writeBytes counts as progress.
func (e *exchange) write(head, body []byte) error {
	p := e.p
	if len(head)+len(body) == 0 {
		return nil
	}
	defer p.noteWrite(time.Time{})
	for first := true; first || len(body) > 0; first = false {
		piece := body[:min(len(body), writeBytes)]
		body = body[len(piece):]
		p.noteWrite(time.Now())
		var err error
		switch {
		case len(head) == 0:
			_, err = p.Conn.Write(piece)
		case len(piece) == 0:
			_, err = p.Conn.Write(head)
		default:
			parts := net.Buffers{head, piece}
			_, err = parts.WriteTo(p.Conn)
		}
		if err != nil {
			return err
		}
		head = nil
	}
	return nil
}

// noteWrite records when the present write began.
func (p *Pipeliner) noteWrite(at time.Time) {
	p.mu.Lock()
	p.writing = at
	p.mu.Unlock()
}

// release returns the buffer to the pool.
func (e *exchange) release() {
	if e.out != nil && cap(*e.out) <= 2*bufferBytes {
		buffers.Put(e.out)
	}
	e.out = nil
}
