// Package observer follows the upstream beside the node by what it announces. Announcements may come late, twice, from
// an earlier start of the upstream or from another writer; only a newer one of the own upstream changes anything.
package observer

import (
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// maxSlots bounds the slots that an announcement may claim.
const maxSlots = 1 << 20

// Announcement is what an upstream says of itself.
type Announcement struct {
	// Instance identifies the start of the upstream, mostly; an upstream may start again under the id that it had.
	Instance string
	// Born is the Unix time of the start in milliseconds.
	Born    int64
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once; at least 1.
	Slots int
	// Draining is true if the upstream is about to leave.
	Draining bool
	// ColdFor is how much longer the upstream is slow after its start.
	ColdFor time.Duration
	// Sequence rises with each announcement of one start.
	Sequence int64
}

// Check reports whether the announcement is complete.
func (a Announcement) Check() error {
	switch {
	case a.Instance == "" || len(a.Instance) > 128:
		return errors.New("announcement: instance needs 1 to 128 bytes")
	case a.Service == "" || a.Address == "":
		return errors.New("announcement: service and address are needed")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Errorf("announcement: %d slots: allowed are 1 to %d", a.Slots, maxSlots)
	case a.Born <= 0 || a.Sequence < 0 || a.ColdFor < 0:
		return errors.New("announcement: born must be above 0, sequence and cold time at least 0")
	}
	return nil
}

// Outcome says what an announcement changed.
type Outcome uint8

// The outcomes of an announcement.
const (
	// OutcomeUnchanged means that it is the newest, and nothing in it is new.
	OutcomeUnchanged Outcome = iota
	// OutcomeChanged means that the upstream's state changed.
	OutcomeChanged
	// OutcomeStarted means that the upstream has started anew.
	OutcomeStarted
	// OutcomeStale means that a newer one is known.
	OutcomeStale
	// OutcomeForeign means that it is not about the own upstream.
	OutcomeForeign
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"unchanged", "changed", "started", "stale", "foreign"}[o]
}

// Upstream is the state of the own upstream.
type Upstream struct {
	// Instance is empty while no start is known.
	Instance string
	Born     int64
	Slots    int
	State    hornbeamcroft.MemberState
	// ColdUntil is on the monotonic clock of the node.
	ColdUntil time.Duration
}

// Usable reports whether the upstream takes new work.
func (u Upstream) Usable() bool { return u.State == hornbeamcroft.MemberServing }

// Observer holds the state. It is not safe for concurrent use.
type Observer struct {
	// Service and Address are those of the own upstream, from the settings.
	Service string
	Address string

	upstream Upstream
	sequence int64
	// probed is true if the start is known from a health answer only, which does not tell when it was.
	probed bool
}

// Upstream returns the present state.
func (o *Observer) Upstream() Upstream { return o.upstream }

// Announce takes an announcement that passed its check.
func (o *Observer) Announce(now time.Duration, a Announcement) Outcome {
	if a.Service != o.Service || a.Address != o.Address {
		return OutcomeForeign
	}
	same := a.Instance == o.upstream.Instance && (o.probed || a.Born == o.upstream.Born)
	switch {
	case same && o.upstream.State == hornbeamcroft.MemberLeft:
		return OutcomeStale
	case same && !o.probed && a.Sequence <= o.sequence:
		return OutcomeStale
	case !same && a.Born <= o.upstream.Born:
		return OutcomeStale
	}
	before := o.upstream
	o.sequence, o.probed = a.Sequence, false
	o.upstream = Upstream{
		Instance: a.Instance, Born: a.Born, Slots: a.Slots, State: hornbeamcroft.MemberServing, ColdUntil: now + a.ColdFor,
	}
	if a.Draining {
		o.upstream.State = hornbeamcroft.MemberDraining
	}
	switch {
	case !same:
		return OutcomeStarted
	case before.State != o.upstream.State || before.Slots != o.upstream.Slots:
		return OutcomeChanged
	}
	return OutcomeUnchanged
}

// Depart takes the news that an instance leaves. Born is zero if the news does not say which start it is about.
func (o *Observer) Depart(instance string, born int64) Outcome {
	if instance != o.upstream.Instance {
		return OutcomeForeign
	}
	if born != 0 && !o.probed && born != o.upstream.Born {
		return OutcomeStale
	}
	if o.upstream.State == hornbeamcroft.MemberLeft {
		return OutcomeUnchanged
	}
	o.upstream.State = hornbeamcroft.MemberLeft
	return OutcomeChanged
}

// Probe takes a health answer of the upstream, which counts only while no announcement is known. Slots is what an
// earlier process of this node knew of the instance.
func (o *Observer) Probe(instance string, healthy bool, slots int) bool {
	if o.upstream.Instance != "" || instance == "" || slots < 1 {
		return false
	}
	o.upstream = Upstream{Instance: instance, Slots: slots, State: hornbeamcroft.MemberServing}
	if !healthy {
		o.upstream.State = hornbeamcroft.MemberDraining
	}
	o.probed = true
	return true
}

// Replace tells that another instance answered at the address: the known one is gone.
func (o *Observer) Replace(instance string) bool {
	if o.upstream.Instance == "" || o.upstream.Instance == instance || o.upstream.State == hornbeamcroft.MemberLeft {
		return false
	}
	o.upstream.State = hornbeamcroft.MemberLeft
	return true
}
