package pipeliner

import (
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/headreader"
)

// fill waits until bytes have arrived or requests have ended. It returns false when the connection has ended.
func (p *Pipeliner) fill() bool {
	p.head.MaxBytes = p.MaxHeadBytes()
	space, ok := p.space()
	if !ok {
		return p.pause()
	}
	p.mu.Lock()
	if p.failed {
		p.mu.Unlock()
		return false
	}
	if p.waiting && (p.count == 0 || p.ends != p.seenEnds) && !p.closing {
		p.mu.Unlock()
		return true // what it waits for has ended before the read
	}
	p.reading = true
	p.mu.Unlock()
	n, err := p.Conn.Read(space)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = false
	p.head.Received(n)
	p.received += uint64(n)
	p.buffered = p.head.Buffered()
	if p.woken {
		p.woken = false
		_ = p.Conn.SetReadDeadline(time.Time{})
		return true
	}
	if err != nil {
		p.leave()
		return false
	}
	return true
}

// space returns where to put the next bytes, or false if Serve must wait for requests to end.
func (p *Pipeliner) space() ([]byte, bool) {
	if p.isLingering() {
		p.head.Discard()
	} else if p.head.Full() && (p.isStuck() || p.mustWait()) {
		return nil, false
	}
	for {
		space, err := p.head.Space()
		if err == nil {
			return space, true
		}
		if p.holdWhileBusy() {
			return nil, false
		}
		if !errors.Is(err, headreader.ErrNoMemory) || !p.MakeRoom(p) {
			p.fault = err
			return nil, false
		}
	}
}

// isStuck reports whether Serve reads only to notice that the client leaves.
func (p *Pipeliner) isStuck() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting || p.closing
}

// isLingering reports whether the last answer is sent.
func (p *Pipeliner) isLingering() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lingering
}

// holdWhileBusy lets Serve wait for a request to end. It returns false if none runs.
func (p *Pipeliner) holdWhileBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count > 0 {
		p.hold()
	}
	return p.count > 0
}

// mustWait lets Serve wait for a request to end if there is no memory for heads behind those that run.
func (p *Pipeliner) mustWait() bool {
	return p.MayReadAhead != nil && !p.MayReadAhead() && p.holdWhileBusy()
}

// pause waits until a request has ended. It returns false when the connection has ended.
func (p *Pipeliner) pause() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	for p.count > 0 && (p.ends == p.seenEnds || p.closing) && !p.failed {
		p.changed.Wait()
	}
	p.paused = false
	return !p.failed
}
