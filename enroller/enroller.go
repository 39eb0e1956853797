// Package enroller keeps this node's record in the store under a lease. The record is written when it changes or has
// disappeared, never for each heartbeat.
package enroller

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

const (
	// TTL is the lifetime of the lease without a renewal. Links show the end of a node sooner; the lease only clears up.
	TTL = 9 * time.Second
	// renewTime shows within about 2 s that the lease has ended while the store was away.
	renewTime = TTL / 4
	// retryWait is the wait after a failed call. It is below the 2 s within which a record must be back after an outage.
	retryWait = 500 * time.Millisecond
	// leaveTime bounds the call that ends the lease at a planned stop: the process must end before it is killed.
	leaveTime = 150 * time.Millisecond
)

// Enroller writes the record. Set the exported fields before Run. It is safe for concurrent use.
type Enroller struct {
	Store hornbeamcroft.Store
	Key   string
	// OnLost and OnFound are told when the store stops and starts to take the record; OnWritten of each write.
	OnLost    func(err error)
	OnFound   func()
	OnWritten func(revision int64)

	mu    sync.Mutex
	value []byte
	// missing is the store's revision at which the record was found missing; zero if it was not.
	missing int64
	wake    chan struct{}

	lease    hornbeamcroft.LeaseID
	renewAt  time.Time
	written  []byte
	revision int64
	// unsure is true if the outcome of a write is not known, so that the key must be read before the next.
	unsure bool
	lost   bool
}

// Set changes the record.
func (e *Enroller) Set(value []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.value = value
	e.signal()
}

// Missing tells that the store did not hold the record at the revision.
func (e *Enroller) Missing(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.missing = max(e.missing, revision)
	e.signal()
}

// signal wakes Run. The lock is held.
func (e *Enroller) signal() {
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Enroller) waker() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	return e.wake
}

// Run keeps the record until ctx ends, and then removes it.
func (e *Enroller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, err := e.step(ctx)
		if err != nil && ctx.Err() == nil {
			wait = retryWait
			e.fail(err)
		}
		if err == nil && e.lost {
			e.lost = false
			e.OnFound()
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-e.waker():
			if err != nil {
				// News must not speed up the calls to a store that fails.
				<-t.C
			}
		case <-ctx.Done():
		}
		t.Stop()
	}
	e.leave()
}

func (e *Enroller) fail(err error) {
	if !e.lost {
		e.lost = true
		e.OnLost(err)
	}
}

// leave ends the lease, and the record with it.
func (e *Enroller) leave() {
	if e.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	// The lease ends by itself if this call does not arrive.
	_ = e.Store.Revoke(ctx, e.lease)
}

// step makes the call that is due and returns the time until the next.
func (e *Enroller) step(ctx context.Context) (time.Duration, error) {
	e.mu.Lock()
	value, missing := e.value, e.missing
	e.missing = 0
	e.mu.Unlock()
	if value == nil {
		return renewTime, nil
	}
	if missing > e.revision {
		e.written, e.unsure = nil, true
	}
	if err := e.keep(ctx); err != nil {
		return 0, err
	}
	if !bytes.Equal(value, e.written) {
		if err := e.write(ctx, value); err != nil {
			return 0, err
		}
	}
	return time.Until(e.renewAt), nil
}

// keep renews the lease, or takes a new one.
func (e *Enroller) keep(ctx context.Context) error {
	if e.lease != 0 && time.Now().Before(e.renewAt) {
		return nil
	}
	start := time.Now()
	if e.lease != 0 {
		err := e.Store.KeepAlive(ctx, e.lease)
		if err == nil {
			e.renewAt = start.Add(renewTime)
			return nil
		}
		if !errors.Is(err, hornbeamcroft.ErrLeaseNotFound) {
			return err
		}
		e.lease, e.written, e.unsure = 0, nil, true
	}
	id, err := e.Store.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	e.lease, e.renewAt = id, start.Add(renewTime)
	return nil
}

// write writes the record if the key is as this node left it. A write whose answer was lost may still be done later; the
// condition keeps it from replacing a newer one.
func (e *Enroller) write(ctx context.Context, value []byte) error {
	for range 2 {
		if e.unsure {
			if done, err := e.read(ctx, value); done || err != nil {
				return err
			}
		}
		done, err := e.try(ctx, value)
		if done || err != nil {
			return err
		}
		// An earlier start of this node, or a late write of this one, has changed the key.
		e.unsure = true
	}
	return errors.New("the record changes while it is written")
}

func (e *Enroller) try(ctx context.Context, value []byte) (bool, error) {
	conditions := []hornbeamcroft.Compare{{Key: e.Key, ModRevision: e.revision}}
	puts := []hornbeamcroft.Put{{Key: e.Key, Value: value, Lease: e.lease}}
	res, err := e.Store.Txn(ctx, conditions, puts)
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		e.lease = 0
		return false, err
	case err != nil:
		e.unsure = true
		return false, err
	case !res.Succeeded:
		return false, nil
	}
	e.written, e.revision = value, res.Revision
	e.OnWritten(res.Revision)
	return true, nil
}

// read learns the revision of the key, which an earlier start of this node may have written, and reports whether the value
// is there already.
func (e *Enroller) read(ctx context.Context, value []byte) (bool, error) {
	entry, err := e.Store.Get(ctx, e.Key)
	if err != nil {
		return false, err
	}
	e.revision, e.unsure = entry.ModRevision, false
	if entry.Lease != e.lease || !bytes.Equal(entry.Value, value) {
		return false, nil
	}
	e.written = value
	return true, nil
}
