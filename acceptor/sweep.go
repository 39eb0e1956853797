package acceptor

import (
	"context"
	"time"

	"hornbeamcroft/finisher"
	"hornbeamcroft/pipeliner"
)

const (
	// sweepInterval is the interval between two checks for connections that exceed a limit.
	sweepInterval = 250 * time.Millisecond
	// defaultHeadTime and defaultIdleTime apply while the configuration gives no limit.
	defaultHeadTime = 30 * time.Second
	defaultIdleTime = 30 * time.Second
	// writeTime is the time in which the caller must take each part of an answer.
	writeTime = 15 * time.Second
	// lingerTime is how long a connection is kept for the caller to read the last answer; net/http waits as long. stopLingerTime
	// is that of a planned stop, which has 300 ms for all connections.
	lingerTime     = 500 * time.Millisecond
	stopLingerTime = 50 * time.Millisecond
	// stopPollInterval is the interval at which a planned stop checks whether connections may be closed.
	stopPollInterval = time.Millisecond
)

// Run closes connections that exceed the limits, until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			a.sweep(now)
		}
	}
}

// sweep closes the connections that have been idle, or have not sent a head or taken an answer, for too long.
func (a *Acceptor) sweep(now time.Time) {
	l := a.Limits()
	if l.IdleTime <= 0 {
		l.IdleTime = defaultIdleTime
	}
	if l.HeadTime <= 0 {
		l.HeadTime = defaultHeadTime
	}
	a.each(func(p *pipeliner.Pipeliner) {
		var found pipeliner.State
		closed := p.CloseIf(func(s pipeliner.State) bool {
			found = s
			// A request that has just arrived is served.
			waits := s.Phase == pipeliner.Idle || s.Phase == pipeliner.Unfinished && !s.Began
			return isLate(s, l, now) && (!waits || finisher.IsQuiet(p.Conn, s.Received, false, 0))
		})
		switch {
		case closed && found.Phase != pipeliner.Lingering:
			a.Late.Add(1)
		case found.Paused && finisher.HasLeft(p.Conn):
			p.Leave()
		}
	})
}

// isLate reports whether a connection exceeds a limit.
func isLate(s pipeliner.State, l Limits, now time.Time) bool {
	age := now.Sub(s.Since)
	switch s.Phase {
	case pipeliner.Unfinished:
		return s.Began && age > l.HeadTime || age > max(l.HeadTime, l.IdleTime)
	case pipeliner.Idle:
		return age > l.IdleTime
	case pipeliner.Lingering:
		return age > lingerTime
	case pipeliner.Serving, pipeliner.Receiving:
		return !s.Writing.IsZero() && now.Sub(s.Writing) > writeTime
	}
	return false
}

// closeQuiet closes a connection that waits for a request during a planned stop. One on which a request has begun to arrive is served.
func closeQuiet(p *pipeliner.Pipeliner) {
	p.CloseIf(func(s pipeliner.State) bool {
		age := time.Since(s.Since)
		switch s.Phase {
		case pipeliner.Unfinished:
			return !s.Began && finisher.IsQuiet(p.Conn, s.Received, true, age)
		case pipeliner.Idle:
			return finisher.IsQuiet(p.Conn, s.Received, false, age)
		case pipeliner.Lingering:
			return age > stopLingerTime
		}
		return false
	})
}
