package pipeliner

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/headreader"
)

// errEnded means that the connection has ended.
var errEnded = errors.New("connection has ended")

// exchange is one request that was passed on and its answer. It implements http.ResponseWriter and, for http.ResponseController,
// SetReadDeadline.
type exchange struct {
	p    *Pipeliner
	head *headreader.Head
	next *exchange
	// turn is closed when the requests before this one are answered; nil if there was none.
	turn chan struct{}
	// aheadReserved is what was reserved to run ahead.
	aheadReserved int
	// body is true if the request has a body. expects is true until the client was told to send it.
	body, expects bool
	// closed and done belong to the mutex of the connection: whether turn is closed, and whether the request has ended.
	closed, done bool

	response
}

// open prepares the request for the handler.
func (e *exchange) open() {
	r := e.head.Request
	*r = *r.WithContext(e.p.ctx) // in place: the body puts the trailers into the request that it was read with
	r.RemoteAddr = e.p.remote
	if !e.body {
		r.Body = http.NoBody
		return
	}
	e.expects = r.ProtoAtLeast(1, 1) && r.Header.Get("Expect") != ""
	e.p.head.OpenBody(e.head, connReader{e.p})
	r.Body = &body{e: e, reader: r.Body}
}

// run lets the handler answer the request.
func (e *exchange) run() {
	defer e.end()
	defer func() {
		if v := recover(); v != nil {
			e.abort()
			if v != http.ErrAbortHandler && e.p.OnPanic != nil {
				e.p.OnPanic(v)
			}
		}
	}()
	e.p.Handler.ServeHTTP(e, e.head.Request)
	e.finish()
}

// abort marks the answer as incomplete, which ends the connection, once the requests before this one are answered. No further request
// is passed on meanwhile.
func (e *exchange) abort() {
	e.p.mu.Lock()
	e.p.closing = true
	e.p.mu.Unlock()
	_ = e.await()
	e.broken = true
}

// end removes the request from those that run.
func (e *exchange) end() {
	e.release()
	p := e.p
	p.mu.Lock()
	e.done = true
	if e.broken {
		p.fail()
	}
	p.endBody(e)
	for p.first != nil && p.first.done {
		p.first = p.first.next
	}
	if p.first == nil {
		p.last = nil
	} else if p.first.turn != nil && !p.first.closed {
		p.first.closed = true
		close(p.first.turn)
	}
	p.count--
	p.ends++
	p.noteAnswer(e.status)
	p.headBytes -= e.head.Cost
	p.Memory.Release(e.head.Cost)
	if e.aheadReserved > 0 {
		p.Ahead.Release(e.aheadReserved)
	}
	if p.count == 0 {
		p.serving, p.since = p.waiting && !p.closing, time.Now() // a request that waits is next
		if !p.waiting && p.buffered == 0 {
			p.busySince = time.Time{}
		}
		if p.closing && !p.failed {
			p.linger()
		}
	}
	p.wake()
	ended := p.done && p.count == 0
	p.mu.Unlock()
	if ended {
		p.OnEnd(p)
	}
}

// await waits until all requests before this one are answered.
func (e *exchange) await() error {
	if e.turn == nil {
		return nil
	}
	select {
	case <-e.turn:
		return nil
	case <-e.p.ctx.Done():
		e.broken = true
		return errEnded
	}
}

// decideClose decides whether the answer is the last of the connection. If want is set, no request behind it is passed on any more.
// The requests that were passed on already are answered, and only the last of the answers says that the connection closes.
func (e *exchange) decideClose(want bool) bool {
	p := e.p
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = p.closing || want || p.closeSoon
	return p.closing && e.next == nil
}

// SetReadDeadline sets the time until which the body must arrive. It has no effect once the body has ended.
func (e *exchange) SetReadDeadline(t time.Time) error {
	p := e.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bodyOwner != e {
		return nil
	}
	p.deadlineSet = true
	return p.Conn.SetReadDeadline(t)
}

// endBody ends the reading of the body, if it is that of the request.
func (p *Pipeliner) endBody(e *exchange) {
	if p.bodyOwner != e {
		return
	}
	p.bodyOwner = nil
	p.head.CloseBody(e.head)
	p.buffered = p.head.Buffered()
	if p.deadlineSet {
		p.deadlineSet = false
		_ = p.Conn.SetReadDeadline(time.Time{})
	}
	p.changed.Broadcast()
}

// connReader reads the bytes of a body from the connection.
type connReader struct{ p *Pipeliner }

func (c connReader) Read(b []byte) (int, error) {
	n, err := c.p.Conn.Read(b)
	c.p.mu.Lock()
	c.p.received += uint64(n)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.p.leave()
	}
	c.p.mu.Unlock()
	return n, err
}

// body is the body of a request. It tells the connection when it has ended.
type body struct {
	e      *exchange
	reader io.Reader
	err    error
}

func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.e.expects {
		b.e.expects = false
		if err := b.e.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil); err != nil {
			return 0, err
		}
	}
	n, err := b.reader.Read(p)
	if err == nil {
		return n, nil
	}
	b.err = err
	b.e.unread = err != io.EOF
	if err == io.EOF {
		conn := b.e.p
		conn.mu.Lock()
		conn.endBody(b.e)
		conn.mu.Unlock()
	}
	return n, err
}

// Close does nothing: what is left of the body is read or dropped with the answer.
func (*body) Close() error { return nil }
