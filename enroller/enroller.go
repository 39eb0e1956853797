// Package enroller keeps this node's record in the store, attached to a lease. It writes the record only when the record has
// changed or is missing from the store, and otherwise only renews the lease.
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
	// TTL is the lifetime of the lease without a renewal. Other nodes detect the end of this node sooner through their links
	// to it; the lease only removes the record that it leaves behind.
	TTL = hornbeamcroft.RecordLease
	// RenewInterval is the time between two renewals unless Interval says otherwise. A renewal reveals within about 2 s after an
	// outage of the store that the lease has expired during it.
	RenewInterval = 2250 * time.Millisecond
	// retryDelay is the delay after a failed call. It is well below the 2 s within which the record must be back after an
	// outage of the store.
	retryDelay = 500 * time.Millisecond
	// revokeTimeout is the timeout for the call that revokes the lease when the node stops. It is short because the process
	// must exit before the platform kills it.
	revokeTimeout = 150 * time.Millisecond
)

// Enroller keeps one record in the store. Set the exported fields before Run. Set and ReportMissing are safe for concurrent use.
type Enroller struct {
	Store hornbeamcroft.Store
	// Key is the key of the record.
	Key string
	// OnStoreLost is called with the error of the first failed call, OnStoreRecovered when calls succeed again, and
	// OnWritten after each write with the revision of the record.
	OnStoreLost      func(err error)
	OnStoreRecovered func()
	OnWritten        func(revision int64)
	// OnStored is called with the record each time that the store is known to hold it; it may be nil.
	OnStored func(value []byte)
	// OnHeld is called each time that the store is known to hold the record under its lease; it may be nil. The lease was last granted or
	// renewed by a call that began at the time sent, on Clock. The store may have been without the record since the last call of OnHeld
	// if absent is set. Clock must be set if OnHeld is.
	OnHeld func(sent time.Duration, absent bool)
	Clock  hornbeamcroft.Clock
	// OnFound is called with the record of an earlier process before it is replaced, and with nil if the store holds no record; it may be
	// nil. If it calls Set, the new record is the one that is written.
	OnFound func(value []byte)
	// Interval returns the time between two renewals; if it is nil, that is RenewInterval.
	Interval func() time.Duration
	// Keep reports at the end of Run whether the record stays in the store until its lease expires; it may be nil.
	Keep func() bool

	// mu guards the fields up to wake; only Run uses those below.
	mu sync.Mutex
	// value is the record that the store should hold; nil before the first Set.
	value []byte
	// missingAt is the revision of the store at which the record was found missing; zero if the record was not missing.
	missingAt int64
	wake      chan struct{}

	// lease is the lease of the record; zero if there is none.
	lease hornbeamcroft.LeaseID
	// renewAt is when the lease must be renewed, and sent when the call that granted or last renewed it began, on Clock.
	renewAt time.Time
	sent    time.Duration
	// unbroken is true while the store has held the record since the last call of OnHeld.
	unbroken bool
	// storedValue is the record as the store holds it under the lease; nil if the store may not hold it.
	storedValue []byte
	// revision is the last known revision of the key; zero if the key did not exist.
	revision int64
	// mustRead is true if the key may have another revision than the known one, so that it must be read before the next
	// write.
	mustRead bool
	// storeLost is true from the first failed call until calls succeed again.
	storeLost bool
}

// Set changes the record that the store should hold. Run writes it.
func (e *Enroller) Set(value []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.value = value
	e.signal()
}

// ReportMissing reports that the store did not hold the record at the revision. Run writes the record again unless it wrote the
// record at that revision or later.
func (e *Enroller) ReportMissing(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.missingAt = max(e.missingAt, revision)
	e.signal()
}

// signal wakes Run. The caller must hold e.mu.
func (e *Enroller) signal() {
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// wakeChan returns the channel on which signal wakes Run.
func (e *Enroller) wakeChan() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	return e.wake
}

// Run keeps the record in the store until ctx ends, and then removes it by revoking the lease.
func (e *Enroller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, err := e.makeDueCalls(ctx)
		if err != nil && ctx.Err() == nil {
			wait = retryDelay
			e.reportLost(err)
		}
		if err == nil && e.storeLost {
			e.storeLost = false
			e.OnStoreRecovered()
		}
		wake := e.wakeChan()
		if err != nil {
			wake = nil // after a failed call, Set and ReportMissing must not shorten the delay before the next one
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
	if e.Keep == nil || !e.Keep() {
		e.revokeLease()
	}
}

// reportLost calls OnStoreLost unless an earlier call has failed already.
func (e *Enroller) reportLost(err error) {
	if !e.storeLost {
		e.storeLost = true
		e.OnStoreLost(err)
	}
}

// revokeLease revokes the lease, with which the store deletes the record.
func (e *Enroller) revokeLease() {
	if e.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	// If the call fails, the lease expires by itself.
	_ = e.Store.Revoke(ctx, e.lease)
}

// makeDueCalls makes the calls that are due and returns the time until the next renewal.
func (e *Enroller) makeDueCalls(ctx context.Context) (time.Duration, error) {
	e.mu.Lock()
	value, missingAt := e.value, e.missingAt
	e.missingAt = 0
	e.mu.Unlock()
	if value == nil {
		return e.interval(), nil
	}
	if missingAt > e.revision {
		e.storedValue, e.mustRead = nil, true
	}
	err := e.ensureStored(ctx, value)
	if errors.Is(err, hornbeamcroft.ErrLeaseNotFound) {
		// The lease ended since the last renewal; a new one is granted at once.
		err = e.ensureStored(ctx, value)
	}
	if err != nil {
		return 0, err
	}
	if e.OnHeld != nil {
		e.OnHeld(e.sent, !e.unbroken)
	}
	e.unbroken = true
	return time.Until(e.renewAt), nil
}

// ensureStored makes sure of the lease, and writes the record unless the store holds it.
func (e *Enroller) ensureStored(ctx context.Context, value []byte) error {
	if err := e.ensureLease(ctx); err != nil {
		return err
	}
	if bytes.Equal(value, e.storedValue) {
		return nil
	}
	return e.write(ctx, value)
}

// ensureLease renews the lease if that is due, and gets a new one if there is none or it has expired.
func (e *Enroller) ensureLease(ctx context.Context) error {
	if e.lease != 0 && time.Now().Before(e.renewAt) {
		return nil
	}
	start, sent := time.Now(), e.now()
	if e.lease != 0 {
		err := e.Store.KeepAlive(ctx, e.lease)
		if err == nil {
			e.renewAt, e.sent = start.Add(e.interval()), sent
			return nil
		}
		if !errors.Is(err, hornbeamcroft.ErrLeaseNotFound) {
			return err
		}
		e.lease, e.storedValue, e.mustRead = 0, nil, true
	}
	sent = e.now()
	id, err := e.Store.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	e.lease, e.renewAt, e.sent, e.unbroken = id, start.Add(e.interval()), sent, false
	return nil
}

// interval returns the time until the next renewal.
func (e *Enroller) interval() time.Duration {
	if e.Interval == nil {
		return RenewInterval
	}
	return e.Interval()
}

func (e *Enroller) now() time.Duration {
	if e.Clock == nil {
		return 0
	}
	return e.Clock.Now()
}
