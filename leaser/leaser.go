// Package leaser holds a lease of the store with a fencing epoch. The holder checks its own monotonic clock before every
// act, and the store checks the epoch with every write, so that a holder that was paused past its lease does no harm.
package leaser

import (
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// DefaultTTL is the lifetime of a lease without renewal. A renewal each second is TTL/3.
const DefaultTTL = 3 * time.Second

// driftShare is the part of the TTL that the holder gives up for clocks that run at different speeds: one twentieth.
const driftShare = 20

// Mechanism names a protection that a test leaves out to show what it is for. The zero value leaves out none.
type Mechanism uint8

// The mechanisms.
const (
	// CheckClock compares the expiry with the holder's clock before every act.
	CheckClock Mechanism = 1 << iota
	// CheckEpoch makes the store compare the epoch with every write.
	CheckEpoch
	// CountFromSending counts the TTL from before the request was sent.
	CountFromSending
)

// Step is a call to make to the store.
type Step uint8

// The steps.
const (
	// StepWait means that nothing is due yet.
	StepWait Step = iota
	// StepRead asks to Get the key.
	StepRead
	// StepGrant asks for a lease of TTL.
	StepGrant
	// StepClaim asks for the transaction of Claim.
	StepClaim
	// StepRenew asks to keep the lease alive.
	StepRenew
)

// Leaser is the state of one lease. Exported fields are set before the first call. It is not safe for concurrent use.
type Leaser struct {
	// Key is the key that the holder owns, for example hornbeamcroft.KeyLeasePrefix and a zone.
	Key string
	// Holder identifies this process and its incarnation; it is the key's value.
	Holder string
	// TTL is a whole number of seconds, since the store counts in seconds.
	TTL time.Duration
	// Without is for tests.
	Without Mechanism

	next    Step
	due     time.Duration
	id      hornbeamcroft.LeaseID
	expires time.Duration
	epoch   int64
}

// Fence is the proof of a held lease for one write.
type Fence struct {
	// Epoch rises with each change of the holder, as long as the store is not restored from an older copy.
	Epoch int64
	// Conditions are added to every write that the lease protects.
	Conditions []hornbeamcroft.Compare
}

// Held returns the fence if the lease is held at now. It is called right before every act.
func (l *Leaser) Held(now time.Duration) (Fence, bool) {
	if l.epoch == 0 || now >= l.expires && l.Without&CheckClock == 0 {
		return Fence{}, false
	}
	f := Fence{Epoch: l.epoch}
	if l.Without&CheckEpoch == 0 {
		f.Conditions = []hornbeamcroft.Compare{{Key: l.Key, ModRevision: l.epoch}}
	}
	return f, true
}

// Next returns the call that is due, or the time until one is.
func (l *Leaser) Next(now time.Duration) (Step, time.Duration) {
	if now < l.due {
		return StepWait, l.due - now
	}
	if l.next == StepWait {
		return StepRead, 0
	}
	return l.next, 0
}

// Claim returns the transaction that takes the key if nobody holds it.
func (l *Leaser) Claim() ([]hornbeamcroft.Compare, []hornbeamcroft.Put) {
	return []hornbeamcroft.Compare{{Key: l.Key}},
		[]hornbeamcroft.Put{{Key: l.Key, Value: []byte(l.Holder), Lease: l.id}}
}

// ID returns the lease to renew or revoke; zero if there is none.
func (l *Leaser) ID() hornbeamcroft.LeaseID { return l.id }

// interval is the time between renewals and between looks at another's lease.
func (l *Leaser) interval() time.Duration { return l.TTL / 3 }

// then sets the next call.
func (l *Leaser) then(s Step, due time.Duration) { l.next, l.due = s, due }

// lose gives up the lease and looks again after the interval.
func (l *Leaser) lose(now time.Duration) {
	l.id, l.epoch = 0, 0
	l.then(StepRead, now+l.interval())
}

// OnRead takes the key as it was read.
func (l *Leaser) OnRead(now time.Duration, e hornbeamcroft.Entry, err error) {
	switch {
	case err != nil:
		l.then(StepRead, now+l.interval())
	case e.ModRevision == 0 && l.id == 0:
		l.then(StepGrant, now)
	case e.ModRevision == 0:
		l.then(StepClaim, now)
	case string(e.Value) == l.Holder && e.Lease == l.id && l.id != 0:
		// The claim took effect although its answer was lost.
		l.epoch = e.ModRevision
		l.then(StepRenew, now)
	default:
		l.lose(now)
	}
}

// OnGrant takes the lease. sent is the time before the request was sent.
func (l *Leaser) OnGrant(sent, now time.Duration, id hornbeamcroft.LeaseID, err error) {
	if err != nil {
		l.then(StepRead, now+l.interval())
		return
	}
	l.id = id
	l.extend(sent, now)
	l.then(StepClaim, now)
}

// extend sets the expiry. The store counts from the receipt of the request, which is not before sent.
func (l *Leaser) extend(sent, now time.Duration) {
	if l.Without&CountFromSending != 0 {
		sent = now
	}
	l.expires = sent + l.TTL - l.TTL/driftShare
}

// OnClaim takes the outcome of the transaction of Claim.
func (l *Leaser) OnClaim(now time.Duration, result hornbeamcroft.TxnResult, err error) {
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		l.lose(now)
	case err != nil:
		l.then(StepRead, now+l.interval())
	case result.Succeeded:
		l.epoch = result.Revision
		l.then(StepRenew, now+l.interval())
	default:
		l.then(StepRead, now)
	}
}

// OnRenew takes the outcome of a renewal. sent is the time before the request was sent. After an error other than
// hornbeamcroft.ErrLeaseNotFound the lease is still held until its expiry.
func (l *Leaser) OnRenew(sent, now time.Duration, err error) {
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		l.id, l.epoch = 0, 0
		l.then(StepRead, now)
	case err != nil:
		l.then(StepRenew, now+l.interval()/2)
	default:
		l.extend(sent, now)
		l.then(StepRenew, sent+l.interval())
	}
}
