// Package confirmer tracks where it is held that the upstream of this node leaves: in the store, and at the nodes that have acknowledged
// the record of this node. Only what the store holds outlives all processes; the other nodes know it while the store does not answer.
package confirmer

import (
	"context"
	"sync"
)

// Confirmer tracks the record with the highest sequence that is held. The zero value is ready for use. It is safe for concurrent
// use.
type Confirmer struct {
	mu sync.Mutex
	// stored is the sequence up to which the store holds what the record says of a leaving, byPeer that of the record at each node that
	// has acknowledged one.
	stored uint64
	byPeer map[string]uint64
	// changed is closed when stored or byPeer changes; nil if nobody waits.
	changed chan struct{}
}

// Stored records that the store holds the leaving that the record with the sequence names.
func (c *Confirmer) Stored(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = max(c.stored, sequence)
	c.wake()
}

// Acknowledged records that the named node holds the record with the sequence.
func (c *Confirmer) Acknowledged(name string, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPeer == nil {
		c.byPeer = make(map[string]uint64)
	}
	c.byPeer[name] = max(c.byPeer[name], sequence)
	c.wake()
}

// wake wakes all waiting calls of Wait. The caller must hold c.mu.
func (c *Confirmer) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Wait waits until the store and more than half of each of the groups of named nodes hold the record with the sequence, or a later one; without
// nodes, until the store does. It returns false if ctx ends before.
func (c *Confirmer) Wait(ctx context.Context, sequence uint64, groups ...[]string) bool {
	for {
		held, changed := c.check(sequence, groups)
		if held {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Holders returns whether the store holds the record with the sequence, or a later one, and how many of the named nodes do.
func (c *Confirmer) Holders(sequence uint64, names []string) (stored bool, nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stored >= sequence, c.holding(sequence, names)
}

// holding returns how many of the named nodes hold the record with the sequence. The caller must hold c.mu.
func (c *Confirmer) holding(sequence uint64, names []string) int {
	n := 0
	for _, name := range names {
		if c.byPeer[name] >= sequence {
			n++
		}
	}
	return n
}

// check reports whether the record with the sequence is held, and returns a channel that is closed at the next change.
func (c *Confirmer) check(sequence uint64, groups [][]string) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.stored >= sequence
	for _, names := range groups {
		held = held && (len(names) == 0 || 2*c.holding(sequence, names) > len(names))
	}
	if held {
		return true, nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return false, c.changed
}
