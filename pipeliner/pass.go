package pipeliner

import (
	"net/http"
	"time"
)

const (
	// aheadBytes is what a request that runs beside an earlier one takes besides its head: the stack of its goroutine and the
	// records of its call.
	aheadBytes = 16 << 10
	// rejectDelay is the time from an answer with status 503 to the next request that the client had sent already, once
	// Rules.MaxRejections answers in a row were such. Without it, 250 clients that pipelined requests got 45,000 rejections a second,
	// and an ordinary caller was rejected for up to 15 s.
	rejectDelay = 50 * time.Millisecond
)

// pass passes the pending request on to the handler. It returns false if the request must wait or the connection is closing.
func (p *Pipeliner) pass() bool {
	p.delay()
	e := &exchange{p: p, head: p.pending, body: p.pending.HasBody(), response: response{length: -1}}
	p.mu.Lock()
	if p.closing {
		p.Memory.Release(p.pending.Cost)
		p.pending, p.waiting = nil, false
		p.mu.Unlock()
		return false
	}
	if p.count > 0 && !p.mayRunAhead(e) {
		p.hold()
		p.mu.Unlock()
		return false
	}
	p.add(e)
	p.mu.Unlock()
	e.open()
	go e.run()
	p.pending = nil
	return p.awaitBody(e)
}

// delay waits until the next request may be passed on after a rejection.
func (p *Pipeliner) delay() {
	p.mu.Lock()
	at := p.resumeAt
	p.mu.Unlock()
	if at.IsZero() {
		return
	}
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.ctx.Done():
	}
}

// noteAnswer records whether the answer to a request was a rejection, and delays those that the client has sent already.
func (p *Pipeliner) noteAnswer(status int) {
	p.resumeAt = time.Time{}
	if status != http.StatusServiceUnavailable {
		p.rejections = 0
		return
	}
	p.rejections++
	if p.rejections >= p.MaxRejections && (p.waiting || p.buffered > 0) {
		p.resumeAt = time.Now().Add(rejectDelay)
	}
}

// mayRunAhead reports whether the pending request may run beside those before it, and reserves what that takes.
func (p *Pipeliner) mayRunAhead(e *exchange) bool {
	switch {
	case !p.pendingAhead || !p.concurrent || p.rejections >= p.MaxRejections:
		return false
	case p.count >= p.MaxAhead || p.headBytes+e.head.Cost > p.MaxAheadBytes:
		return false
	case !p.Ahead.Reserve(aheadBytes):
		return false
	}
	e.aheadReserved = aheadBytes
	return true
}

// add appends the request to those that run.
func (p *Pipeliner) add(e *exchange) {
	if p.busySince.IsZero() {
		p.busySince = time.Now()
	}
	if p.last == nil {
		p.first, p.concurrent = e, p.pendingAhead
	} else {
		p.last.next = e
		e.turn = make(chan struct{})
		p.concurrent = p.concurrent && p.pendingAhead
	}
	p.last = e
	p.count++
	p.headBytes += e.head.Cost
	p.served, p.serving, p.inHead, p.waiting = true, true, false, false
	p.buffered = p.head.Buffered()
	if e.body {
		p.bodyOwner, p.bodySince = e, time.Now()
	}
	if e.head.Request.Close {
		p.closing = true
	}
}

// awaitBody waits until the body of the request is read or not wanted.
func (p *Pipeliner) awaitBody(e *exchange) bool {
	if !e.body {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.bodyOwner == e {
		p.changed.Wait()
	}
	return !p.failed
}
