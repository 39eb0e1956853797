// Package poller follows all keys of the store under a prefix by listing copies that may be seconds old. It is for facts
// that may be learned late: such a list costs a fraction of a watch that returns for every change.
package poller

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

const (
	// leastWait and mostWait bound the wait after a failed call. The store is back within reach for at most this long
	// before it is asked again.
	leastWait = 100 * time.Millisecond
	mostWait  = 800 * time.Millisecond
	// jitter is the part of the interval by which two polls of one node differ, so that nodes do not ask together.
	jitter = 0.2
)

// Poller follows a prefix. Set the exported fields before Run.
type Poller struct {
	Store  hornbeamcroft.StaleLister
	Prefix string
	// Interval returns the mean time until the next list.
	Interval func() time.Duration
	Rand     hornbeamcroft.Rand
	// OnList takes all entries and the store's revision of the copy. The revision never falls.
	OnList func(entries []hornbeamcroft.Entry, revision int64)
	// OnLost and OnFound are told when the store stops and starts to answer.
	OnLost  func(err error)
	OnFound func()

	revision int64
	lost     bool
	wait     time.Duration
}

// Run follows until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		sleeper.Sleep(ctx, p.next(err))
	}
}

// poll lists once. A copy that is older than one seen before tells nothing.
func (p *Poller) poll(ctx context.Context) error {
	entries, revision, err := p.Store.ListStale(ctx, p.Prefix)
	if err != nil || revision < p.revision {
		return err
	}
	p.revision = revision
	p.OnList(entries, revision)
	return nil
}

// next tells of the loss and the return of the store, and returns the wait until the next list.
func (p *Poller) next(err error) time.Duration {
	if err != nil {
		if !p.lost {
			p.lost = true
			p.OnLost(err)
		}
		p.wait = min(max(2*p.wait, leastWait), mostWait)
		return p.wait/2 + time.Duration(p.Rand.Float64()*float64(p.wait)/2)
	}
	p.wait = 0
	if p.lost {
		p.lost = false
		p.OnFound()
	}
	return time.Duration(float64(p.Interval()) * (1 - jitter + 2*jitter*p.Rand.Float64()))
}
