package pipeliner

import "time"

// allBytes is more than the account of a connection can hold. Release takes no more than the account holds.
const allBytes = 1 << 30

// Phase is what a connection does.
type Phase int

// Phases of a connection.
const (
	// Unfinished: the first bytes of a head, or none on a new connection, have arrived.
	Unfinished Phase = iota
	// Idle: the connection waits for a further request.
	Idle
	// Serving: a request runs or is being answered.
	Serving
	// Receiving: the body of a request arrives.
	Receiving
	// Lingering: the last answer is sent, and the client is given time to read it.
	Lingering
)

// State is the phase of a connection and since when it has been in it.
type State struct {
	Phase Phase
	Since time.Time
	// Began is true if bytes of a head have arrived on an unfinished connection.
	Began bool
	// Writing is when the present write of an answer began; zero if none is being written.
	Writing time.Time
	// BusySince is since when a connection in the phase Serving has always had a request. ClosingSoon is true after
	// CloseSoon.
	BusySince   time.Time
	ClosingSoon bool
	// Received is the number of bytes read from the connection that belong to requests that were passed on.
	Received uint64
	// Paused is true while the connection is not read because its buffer is full.
	Paused bool
}

// State returns the state of the connection.
func (p *Pipeliner) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}

func (p *Pipeliner) state() State {
	s := State{Since: p.since, Writing: p.writing, Received: p.received - uint64(p.buffered), Began: p.inHead, Paused: p.paused}
	s.BusySince, s.ClosingSoon = p.busySince, p.closeSoon
	switch {
	case p.lingering:
		s.Phase = Lingering
	case p.bodyOwner != nil:
		s.Phase, s.Since = Receiving, p.bodySince
	case p.serving:
		s.Phase = Serving
	case p.served && !p.inHead:
		s.Phase = Idle
	}
	return s
}

// CloseSoon lets the next answer be the last, besides those to requests that are passed on by then.
func (p *Pipeliner) CloseSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeSoon = true
}

// CloseIf closes the connection if due returns true for its state. No request is passed on in between.
func (p *Pipeliner) CloseIf(due func(s State) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed || !due(p.state()) {
		return false
	}
	p.fail()
	return true
}

// fail ends the connection and cancels its requests.
func (p *Pipeliner) fail() {
	if p.failed {
		return
	}
	p.failed, p.closing = true, true
	p.cancel()
	_ = p.Conn.Close()
	if p.count == 0 && !p.serving {
		// Released here, so that the memory is free before the goroutine of the connection has ended.
		p.Memory.Release(allBytes)
	}
	p.changed.Broadcast()
}

// leave cancels the requests of a client that has closed its side. As in net/http, what the handlers answer to that is still sent, for
// a client that closes only its side.
func (p *Pipeliner) leave() {
	p.closing = true
	p.cancel()
	if p.count == 0 {
		p.fail()
	}
	p.changed.Broadcast()
}

// Leave ends the connection of a client that has closed it while the connection was not read.
func (p *Pipeliner) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leave()
}

// endReading ends the connection for Serve.
func (p *Pipeliner) endReading() {
	p.mu.Lock()
	p.leave()
	p.done = true
	ended := p.count == 0
	p.mu.Unlock()
	if ended {
		p.OnEnd(p)
	}
}

// linger lets the client read the last answer: a connection that is closed while bytes of the client are unread is reset, and the
// answer is lost.
func (p *Pipeliner) linger() {
	c, ok := p.Conn.(interface{ CloseWrite() error })
	if !ok || p.done || c.CloseWrite() != nil {
		p.fail()
		return
	}
	p.lingering, p.since = true, time.Now()
}

// wake ends a read of Serve that holds a request or a fault which may go on.
func (p *Pipeliner) wake() {
	p.changed.Broadcast()
	if p.reading && p.waiting && !p.woken {
		p.woken = true
		_ = p.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}
