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

// victim is a connection that may be closed for another, and its state when it was found.
type victim struct {
	conn  *pipeliner.Pipeliner
	state pipeliner.State
}

// close closes the connection unless its state has changed or a request has begun to arrive on an idle one.
func (v victim) close() bool {
	return v.conn.CloseIf(func(s pipeliner.State) bool {
		return s.Phase == v.state.Phase && s.Since.Equal(v.state.Since) &&
			(s.Phase != pipeliner.Idle || finisher.IsQuiet(v.conn.Conn, s.Received, false, 0))
	})
}

// evict closes the connection that has been without a complete head longest or, if there is none, the one that has been idle
// longest. It returns false if requests run on all connections.
func (a *Acceptor) evict() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evictFound() || a.find() && a.evictFound()
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

// find searches the connections to close.
func (a *Acceptor) find() bool {
	found := a.victims[:0]
	for p := range a.conns {
		if s := p.State(); s.Phase != pipeliner.Serving {
			found = append(found, victim{p, s})
		}
	}
	a.victims = sortVictims(found)
	return len(a.victims) > 0
}

// sortVictims returns the connections to close next, the first at the end.
func sortVictims(found []victim) []victim {
	slices.SortFunc(found, func(v, w victim) int {
		return cmp.Or(cmp.Compare(order(w.state), order(v.state)), w.state.Since.Compare(v.state.Since))
	})
	return found[max(0, len(found)-maxVictims):]
}

// order returns the order in which connections are closed: those with a last answer that the caller may still be reading are
// closed after those without a complete head, idle ones last.
func order(s pipeliner.State) int {
	switch s.Phase {
	case pipeliner.Unfinished:
		return 0
	case pipeliner.Lingering:
		return 1
	}
	return 2
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

// findHolders searches the connections that hold memory for an unfinished head.
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
