// Package breaker keeps the calls to a store few while the store does not answer. An outage of the store, or one for some
// hosts only, lets every user of the store repeat its calls. Most of them cost the store much more than a stale list, which
// shows as well whether it answers again.
package breaker

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

const (
	// maxFailures is the number of failures in a row, other than refusals, after which the store counts as not answering.
	// A refusal counts at once.
	maxFailures = 2
	// probeInterval is the longest time without any call while the store does not answer. It is longer than the pause
	// between two stale lists of a poller, which then make all calls.
	probeInterval = time.Second
)

// Store is what a Breaker wraps.
type Store interface {
	hornbeamcroft.Store
	hornbeamcroft.StaleLister
	hornbeamcroft.ChangeLister
}

// Breaker passes calls on to a store. While the store does not answer, it passes on stale lists, and fails the other calls
// with ErrStoreUnreachable. Set the exported fields before use. It is safe for concurrent use.
type Breaker struct {
	Store Store
	Clock hornbeamcroft.Clock

	mu sync.Mutex
	// failures is the number of failures in a row.
	failures int
	open     bool
	// lastCall is when a call was last passed on while the breaker was open.
	lastCall time.Duration
}

var _ Store = (*Breaker)(nil)

// pass reports whether a call is passed on.
func (b *Breaker) pass(cheap bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if b.open && !cheap && now-b.lastCall < probeInterval {
		return false
	}
	if b.open {
		b.lastCall = now
	}
	return true
}

// record records the result of a call that was passed on. Any answer of the store shows that it answers.
func (b *Breaker) record(ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, hornbeamcroft.ErrLeaseNotFound) || errors.Is(err, hornbeamcroft.ErrHistoryGone):
		b.failures, b.open = 0, false
	case ctx.Err() != nil:
		// The caller gave up; that says nothing about the store.
	default:
		b.failures++
		if !b.open && (errors.Is(err, hornbeamcroft.ErrStoreUnreachable) || b.failures >= maxFailures) {
			b.open, b.lastCall = true, b.Clock.Now()
		}
	}
}

// call makes one call if it is passed on.
func call[T any](ctx context.Context, b *Breaker, cheap bool, fn func() (T, error)) (T, error) {
	if !b.pass(cheap) {
		var none T
		return none, errors.Wrap(hornbeamcroft.ErrStoreUnreachable, "call not made")
	}
	result, err := fn()
	b.record(ctx, err)
	return result, err
}

// listed is the result of a list.
type listed struct {
	entries  []hornbeamcroft.Entry
	revision int64
}

// Get implements hornbeamcroft.Store.
func (b *Breaker) Get(ctx context.Context, key string) (hornbeamcroft.Entry, error) {
	return call(ctx, b, false, func() (hornbeamcroft.Entry, error) { return b.Store.Get(ctx, key) })
}

// List implements hornbeamcroft.Store.
func (b *Breaker) List(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	l, err := call(ctx, b, false, func() (l listed, err error) {
		l.entries, l.revision, err = b.Store.List(ctx, prefix)
		return l, err
	})
	return l.entries, l.revision, err
}

// ListStale implements hornbeamcroft.StaleLister.
func (b *Breaker) ListStale(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	l, err := call(ctx, b, true, func() (l listed, err error) {
		l.entries, l.revision, err = b.Store.ListStale(ctx, prefix)
		return l, err
	})
	return l.entries, l.revision, err
}

// changes is the result of a list of changes.
type changes struct {
	events   []hornbeamcroft.Event
	revision int64
}

// ListChanges implements hornbeamcroft.ChangeLister.
func (b *Breaker) ListChanges(ctx context.Context, prefix string, after int64) ([]hornbeamcroft.Event, int64, error) {
	c, err := call(ctx, b, false, func() (c changes, err error) {
		c.events, c.revision, err = b.Store.ListChanges(ctx, prefix, after)
		return c, err
	})
	return c.events, c.revision, err
}

// Txn implements hornbeamcroft.Store.
func (b *Breaker) Txn(ctx context.Context, conditions []hornbeamcroft.Compare, puts []hornbeamcroft.Put,
) (hornbeamcroft.TxnResult, error) {
	return call(ctx, b, false, func() (hornbeamcroft.TxnResult, error) { return b.Store.Txn(ctx, conditions, puts) })
}

// Grant implements hornbeamcroft.Store.
func (b *Breaker) Grant(ctx context.Context, ttl time.Duration) (hornbeamcroft.LeaseID, error) {
	return call(ctx, b, false, func() (hornbeamcroft.LeaseID, error) { return b.Store.Grant(ctx, ttl) })
}

// KeepAlive implements hornbeamcroft.Store.
func (b *Breaker) KeepAlive(ctx context.Context, id hornbeamcroft.LeaseID) error {
	_, err := call(ctx, b, false, func() (struct{}, error) { return struct{}{}, b.Store.KeepAlive(ctx, id) })
	return err
}

// Revoke implements hornbeamcroft.Store. It is always passed on, because a node that ends makes no further calls.
func (b *Breaker) Revoke(ctx context.Context, id hornbeamcroft.LeaseID) error {
	return b.Store.Revoke(ctx, id)
}

// Watch implements hornbeamcroft.Store. A watch that was cut says nothing about the store, but one that was refused does.
func (b *Breaker) Watch(ctx context.Context, prefix string, fromRevision int64, fn func(hornbeamcroft.Event)) error {
	if !b.pass(false) {
		return errors.Wrap(hornbeamcroft.ErrStoreUnreachable, "call not made")
	}
	err := b.Store.Watch(ctx, prefix, fromRevision, fn)
	if errors.Is(err, hornbeamcroft.ErrStoreUnreachable) || errors.Is(err, hornbeamcroft.ErrHistoryGone) {
		b.record(ctx, err)
	}
	return err
}
