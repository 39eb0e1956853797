package acceptor

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcroft/finisher"
	"hornbeamcroft/pipeliner"
)

// maxVictims is the number of connections that one search finds. A search passes all connections.
const maxVictims = 64

const (
	// searchInterval is the time after which connections to close are searched again when there were none: a search passes all.
	searchInterval = 5 * time.Millisecond
	// extraDivisor divides the maximum number of connections: so many more are accepted while requests run on all.
	extraDivisor = 16
	// recentTime is the time after an answer in which the next request of a caller may be on its way: closed then, it would be lost.
	recentTime = 50 * time.Millisecond
)

// stallTime is the time after which a caller that takes no part of an answer counts as not reading it, and the time that the body of a
// request may take while there are too many connections.
const stallTime = 2 * time.Second

// victim is a connection that may be closed for another, and its state when it was found.
type victim struct {
	conn  *pipeliner.Pipeliner
	state pipeliner.State
}

// isVictim reports whether a connection in the state may be closed for another.
func isVictim(s pipeliner.State, now time.Time) bool {
	switch s.Phase {
	case pipeliner.Serving:
		return !s.Writing.IsZero() && now.Sub(s.Writing) > stallTime
	case pipeliner.Receiving:
		return now.Sub(s.Since) > stallTime
	case pipeliner.Idle:
		return now.Sub(s.Since) > recentTime
	}
	return true
}

// stalledSince returns since when the connection has made no progress.
func (v victim) stalledSince() time.Time {
	if v.state.Phase == pipeliner.Serving {
		return v.state.Writing
	}
	return v.state.Since
}

// close closes the connection unless its state has changed or a request has begun to arrive on an idle one.
func (v victim) close() bool {
	return v.conn.CloseIf(func(s pipeliner.State) bool {
		return s.Phase == v.state.Phase && s.Since.Equal(v.state.Since) && s.Writing.Equal(v.state.Writing) &&
			(s.Phase != pipeliner.Idle || finisher.IsQuiet(v.conn.Conn, s.Received, false, 0))
	})
}

// hasRoom makes room for one more connection if there are too many. While requests run on all, a few more are accepted, and the one
// that has been busy longest is closed with its next answer: callers that send request after request would keep all others out.
func (a *Acceptor) hasRoom() bool {
	n := a.Connections()
	if a.MaxConns <= 0 || n < a.MaxConns || a.evict() {
		return true
	}
	if n >= a.MaxConns+a.MaxConns/extraDivisor {
		return false
	}
	a.closeBusy()
	return true
}

// closeBusy lets the connection that has been busy longest end with its next answer.
func (a *Acceptor) closeBusy() {
	a.mu.Lock()
	defer a.mu.Unlock()
	var busy *pipeliner.Pipeliner
	var since time.Time
	for p := range a.conns {
		s := p.State()
		if s.Phase == pipeliner.Serving && !s.ClosingSoon && (busy == nil || s.BusySince.Before(since)) {
			busy, since = p, s.BusySince
		}
	}
	if busy != nil {
		busy.CloseSoon()
		a.Evicted.Add(1)
	}
}

// evict closes the connection that has been without a complete head longest or, if there is none, the one that has been idle
// longest, or at last the one whose caller has not read its answer for longest. It returns false if requests run on all connections.
func (a *Acceptor) evict() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.evictFound() {
		return true
	}
	if time.Since(a.searchedAt) < searchInterval {
		return false
	}
	return a.findVictims() && a.evictFound()
}

// evictFound closes the first connection found whose state has not changed.
func (a *Acceptor) evictFound() bool {
	for len(a.victims) > 0 {
		v := a.victims[len(a.victims)-1]
		a.victims = a.victims[:len(a.victims)-1]
		if v.close() {
			a.Evicted.Add(1)
			return true
		}
	}
	return false
}

// findVictims collects the connections to close next. It returns false if there are none.
func (a *Acceptor) findVictims() bool {
	found, now := a.victims[:0], time.Now()
	for p := range a.conns {
		if s := p.State(); isVictim(s, now) {
			found = append(found, victim{p, s})
		}
	}
	if a.victims = sortVictims(found); len(a.victims) > 0 {
		return true
	}
	a.searchedAt = now
	return false
}

// sortVictims returns the connections to close next, the first at the end.
func sortVictims(found []victim) []victim {
	slices.SortFunc(found, func(v, w victim) int {
		return cmp.Or(cmp.Compare(evictionRank(w.state), evictionRank(v.state)), w.stalledSince().Compare(v.stalledSince()))
	})
	return found[max(0, len(found)-maxVictims):]
}

// evictionRank returns the position of a phase in the order in which connections are closed: first those without a complete head, then
// those whose last answer the caller may still be reading, idle ones, those with an unfinished body, and last those whose caller does not
// read its answer.
func evictionRank(s pipeliner.State) int {
	switch s.Phase {
	case pipeliner.Unfinished:
		return 0
	case pipeliner.Lingering:
		return 1
	case pipeliner.Idle:
		return 2
	case pipeliner.Receiving:
		return 3
	}
	return 4
}

// makeRoom closes the connection that has held memory for an unfinished head longest. It returns false if that is p.
func (a *Acceptor) makeRoom(p *pipeliner.Pipeliner) bool {
	since := p.State().Since
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictHolder(since) || a.findHolders() && a.evictHolder(since)
}

// evictHolder closes the first connection found that still holds memory, if it has done so since before the given time.
func (a *Acceptor) evictHolder(before time.Time) bool {
	for len(a.holders) > 0 {
		v := a.holders[len(a.holders)-1]
		if !v.state.Since.Before(before) {
			return false
		}
		a.holders = a.holders[:len(a.holders)-1]
		if v.close() {
			a.Evicted.Add(1)
			return true
		}
	}
	return false
}

// findHolders collects the connections that hold memory for an unfinished head.
func (a *Acceptor) findHolders() bool {
	found := a.holders[:0]
	for p, acc := range a.conns {
		if acc.heads.Reserved() == 0 {
			continue
		}
		if s := p.State(); s.Phase == pipeliner.Unfinished && s.Began {
			found = append(found, victim{p, s})
		}
	}
	a.holders = sortVictims(found)
	return len(a.holders) > 0
}

// mayReadAhead reports whether heads may be read behind requests that run. Their connections are not closed for others.
func (a *Acceptor) mayReadAhead() bool {
	return a.Heads.Limit <= 0 || a.Heads.Reserved() < a.Heads.Limit/readAheadDivisor
}
