// Package leaser holds a lease in the store, with an epoch as fencing token. The holder checks the expiry by its own
// monotonic clock before every action that the lease protects, and the store checks the epoch with every write. A
// holder that was paused until after the expiry can therefore not write.
package leaser

import (
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// DefaultTTL is the lifetime of a lease without renewal. The holder renews the lease every third of it, that is every
// second.
const DefaultTTL = 3 * time.Second

// driftDivisor sets how much earlier than the TTL the lease expires by the holder's clock: by 1/20 of the TTL. This
// allows for clocks of the holder and the store that run at different speeds.
const driftDivisor = 20

// Protection is a set of protections. Tests disable single ones to show that they are needed.
type Protection uint8

// The protections.
const (
	// CheckClock compares the expiry with the holder's clock before every protected action.
	CheckClock Protection = 1 << iota
	// CheckEpoch makes the store compare the epoch as a condition of every write.
	CheckEpoch
	// CountFromSending counts the TTL from the time before the request was sent, not from the answer.
	CountFromSending
)

// Step is the next call to the store.
type Step uint8

// The steps.
const (
	// StepWait means that no call is due yet.
	StepWait Step = iota
	// StepRead requests a Get of the key.
	StepRead
	// StepGrant requests a new lease with the TTL.
	StepGrant
	// StepClaim requests the transaction that Claim returns.
	StepClaim
	// StepRenew requests a renewal of the lease.
	StepRenew
)

// Leaser is the state of one lease. The exported fields must be set before the first call. It is not safe for
// concurrent use.
type Leaser struct {
	// Key is the store key that the holder owns, for example hornbeamcroft.KeyLeasePrefix followed by a zone.
	Key string
	// Holder identifies this process and its incarnation. It is written as the value of the key.
	Holder string
	// TTL is the lifetime of the lease. It must be a whole number of seconds, because the store counts in seconds.
	TTL time.Duration
	// Disabled is the set of protections that a test disables; zero for none.
	Disabled Protection

	next Step
	// due is the time from which next may be made.
	due time.Duration
	// id is the granted lease; zero if there is none.
	id      hornbeamcroft.LeaseID
	expires time.Duration
	// epoch is the store's revision of the claim; zero if the key is not held.
	epoch int64
}

// Fence proves to the store, with one write, that the lease is held.
type Fence struct {
	// Epoch is the fencing token. It rises with each change of the holder unless the store is restored from an older
	// snapshot.
	Epoch int64
	// Conditions must be added to every write that the lease protects.
	Conditions []hornbeamcroft.Compare
}

// Held returns the fence if the lease is held at the time now. It must be called right before every protected action.
func (l *Leaser) Held(now time.Duration) (Fence, bool) {
	if l.epoch == 0 || now >= l.expires && l.Disabled&CheckClock == 0 {
		return Fence{}, false
	}
	f := Fence{Epoch: l.epoch}
	if l.Disabled&CheckEpoch == 0 {
		f.Conditions = []hornbeamcroft.Compare{{Key: l.Key, ModRevision: l.epoch}}
	}
	return f, true
}

// Next returns the call that is due, or StepWait and the time until a call is due.
func (l *Leaser) Next(now time.Duration) (Step, time.Duration) {
	if now < l.due {
		return StepWait, l.due - now
	}
	if l.next == StepWait {
		return StepRead, 0
	}
	return l.next, 0
}

// Claim returns the conditions and writes of the transaction that takes the key if it does not exist.
func (l *Leaser) Claim() ([]hornbeamcroft.Compare, []hornbeamcroft.Put) {
	return []hornbeamcroft.Compare{{Key: l.Key}},
		[]hornbeamcroft.Put{{Key: l.Key, Value: []byte(l.Holder), Lease: l.id}}
}

// ID returns the ID of the lease to renew or revoke; zero if there is none.
func (l *Leaser) ID() hornbeamcroft.LeaseID { return l.id }

// interval is the time between two renewals, and between two reads of the key while another process holds it.
func (l *Leaser) interval() time.Duration { return l.TTL / 3 }

// schedule sets the next call and the time at which it is due.
func (l *Leaser) schedule(s Step, due time.Duration) { l.next, l.due = s, due }

// giveUp drops the lease and schedules a read of the key after the interval.
func (l *Leaser) giveUp(now time.Duration) {
	l.id, l.epoch = 0, 0
	l.schedule(StepRead, now+l.interval())
}

// OnRead handles the result of StepRead.
func (l *Leaser) OnRead(now time.Duration, e hornbeamcroft.Entry, err error) {
	switch {
	case err != nil:
		l.schedule(StepRead, now+l.interval())
	case e.ModRevision == 0 && l.id == 0:
		l.schedule(StepGrant, now)
	case e.ModRevision == 0:
		l.schedule(StepClaim, now)
	case string(e.Value) == l.Holder && e.Lease == l.id && l.id != 0:
		// The claim succeeded although its answer was lost.
		l.epoch = e.ModRevision
		l.schedule(StepRenew, now)
	default:
		l.giveUp(now)
	}
}

// OnGrant handles the result of StepGrant. sent is the time before the request was sent.
func (l *Leaser) OnGrant(sent, now time.Duration, id hornbeamcroft.LeaseID, err error) {
	if err != nil {
		l.schedule(StepRead, now+l.interval())
		return
	}
	l.id = id
	l.extend(sent, now)
	l.schedule(StepClaim, now)
}

// extend sets the expiry. The store counts the TTL from the receipt of the request, which is not earlier than sent.
func (l *Leaser) extend(sent, now time.Duration) {
	if l.Disabled&CountFromSending != 0 {
		sent = now
	}
	l.expires = sent + l.TTL - l.TTL/driftDivisor
}

// OnClaim handles the result of StepClaim.
func (l *Leaser) OnClaim(now time.Duration, result hornbeamcroft.TxnResult, err error) {
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		l.giveUp(now)
	case err != nil:
		l.schedule(StepRead, now+l.interval())
	case result.Succeeded:
		l.epoch = result.Revision
		l.schedule(StepRenew, now+l.interval())
	default:
		l.schedule(StepRead, now)
	}
}

// OnRenew handles the result of StepRenew. sent is the time before the request was sent. After an error other than
// hornbeamcroft.ErrLeaseNotFound the lease is still held until its expiry.
func (l *Leaser) OnRenew(sent, now time.Duration, err error) {
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		l.id, l.epoch = 0, 0
		l.schedule(StepRead, now)
	case err != nil:
		l.schedule(StepRenew, now+l.interval()/2)
	default:
		l.extend(sent, now)
		l.schedule(StepRenew, sent+l.interval())
	}
}
