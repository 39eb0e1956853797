// Package poller tracks all keys of the store under a prefix by listing them periodically with stale reads, which may
// be seconds old. It is meant for data that may arrive late: a stale list costs the store a fraction of a watch that
// returns for every change.
package poller

import (
	"context"
	"time"

	"hornbeamcroft"
)

const (
	// minBackoff and maxBackoff limit the wait after a failed call, which doubles from call to call. The store is
	// called again at most maxBackoff after it has become reachable again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// jitter is the fraction by which the wait between two lists varies around Interval, in both directions, so that
	// the nodes do not list at the same time.
	jitter = 0.2
)

// Poller tracks the keys under a prefix. Set the exported fields before Run.
type Poller struct {
	Store  hornbeamcroft.StaleLister
	Prefix string
	// Interval returns the mean time between two successful lists.
	Interval func() time.Duration
	Rand     hornbeamcroft.Rand
	// OnList is called with all entries and the revision of the store at which they were read. The revision never
	// decreases from call to call.
	OnList func(entries []hornbeamcroft.Entry, revision int64)
	// OnOlderList is called with the revision of a list that is ignored because it is older than the last one; it may be nil.
	OnOlderList func(revision, last int64)
	// Wake makes Run list at once when it receives a value, unless the last call failed; it may be nil.
	Wake <-chan struct{}
	// OnStoreLost is called when the store stops answering, OnStoreRecovered when it answers again.
	OnStoreLost      func(err error)
	OnStoreRecovered func()

	revision    int64
	unreachable bool
	backoff     time.Duration
}

// Run lists the keys until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		p.sleep(ctx, p.nextDelay(err), err != nil)
	}
}

// sleep waits until the next list is due. After a failed call, Wake does not shorten the wait.
func (p *Poller) sleep(ctx context.Context, d time.Duration, failed bool) {
	wake := p.Wake
	if failed {
		wake = nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// poll lists the keys once. It ignores a list with an older revision than the last one.
func (p *Poller) poll(ctx context.Context) error {
	entries, revision, err := p.Store.ListStale(ctx, p.Prefix)
	if err != nil {
		return err
	}
	if revision < p.revision {
		if p.OnOlderList != nil {
			p.OnOlderList(revision, p.revision)
		}
		return nil
	}
	p.revision = revision
	p.OnList(entries, revision)
	return nil
}

// nextDelay reports a change of the store's reachability to OnStoreLost or OnStoreRecovered, and returns the wait until the next
// list.
func (p *Poller) nextDelay(err error) time.Duration {
	if err != nil {
		if !p.unreachable {
			p.unreachable = true
			p.OnStoreLost(err)
		}
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		return p.backoff/2 + time.Duration(p.Rand.Float64()*float64(p.backoff)/2)
	}
	p.backoff = 0
	if p.unreachable {
		p.unreachable = false
		p.OnStoreRecovered()
	}
	return time.Duration(float64(p.Interval()) * (1 - jitter + 2*jitter*p.Rand.Float64()))
}
