// Package observer tracks the state of the local upstream by its announcements. An announcement may arrive late or twice, or
// come from a previous start of the upstream or from another upstream. Only an announcement of the local upstream that is
// newer than the known ones changes the state.
package observer

import (
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

const (
	// maxSlots is the maximum number of slots that an announcement may give.
	maxSlots = hornbeamcroft.MaxSlots
	// maxColdTime is the maximum cold time that an announcement may give.
	maxColdTime = time.Hour
	// maxInstance is the maximum length of an instance id in bytes.
	maxInstance = 128
)

// ValidInstance reports whether the text may be the id of an instance. Records and messages of the node carry the id, and other nodes
// reject them if it is too long or not UTF-8.
func ValidInstance(id string) bool { return id != "" && len(id) <= maxInstance && utf8.ValidString(id) }

const (
	// contenderAnnouncements and contenderTime are how many announcements of another start of the upstream must arrive, and
	// over which time, while the known one is silent, before the other replaces it although it seems to be older. Its time
	// of start is a time of day, and the clock may have been set back. Delayed announcements of a start that has ended
	// arrive together.
	contenderAnnouncements = 3
	contenderTime          = 2 * time.Second
)

// Announcement describes an upstream. The upstream sends it as a heartbeat.
type Announcement struct {
	// Instance usually identifies one start of the upstream, but an upstream may restart under the same id.
	Instance string
	// Born is the time of the start in Unix milliseconds.
	Born    int64
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that the upstream runs at once; at least 1.
	Slots int
	// Draining is true if the upstream is about to leave.
	Draining bool
	// ColdRemaining is how much longer the upstream will be slow because it has just started.
	ColdRemaining time.Duration
	// Sequence rises with each announcement between a start of the upstream and the next one.
	Sequence int64
}

// Check returns an error if a field of the announcement is missing or out of range.
func (a Announcement) Check() error {
	switch {
	case !ValidInstance(a.Instance):
		return errors.Errorf("announcement: instance %q: needs 1 to %d bytes of UTF-8", a.Instance, maxInstance)
	case a.Service == "" || a.Address == "":
		return errors.New("announcement: service and address are needed")
	case a.Slots < 1 || a.Slots > maxSlots:
		return errors.Errorf("announcement: %d slots: must be 1 to %d", a.Slots, maxSlots)
	case a.Born <= 0 || a.Born > hornbeamcroft.MaxBorn:
		return errors.Errorf("announcement: born %d: must be 1 to %d", a.Born, hornbeamcroft.MaxBorn)
	case a.Sequence < 0 || a.ColdRemaining < 0 || a.ColdRemaining > maxColdTime:
		return errors.Errorf("announcement: sequence must be at least 0, cold time 0 to %s", maxColdTime)
	}
	return nil
}

// Outcome is the effect of an announcement or a departure on the known state.
type Outcome uint8

// The outcomes of an announcement or a departure.
const (
	// OutcomeUnchanged means that the message is the newest one and repeats the known state.
	OutcomeUnchanged Outcome = iota
	// OutcomeChanged means that the state or the number of slots of the upstream changed.
	OutcomeChanged
	// OutcomeStarted means that the message is the first one of a new start of the upstream.
	OutcomeStarted
	// OutcomeConfirmed means that the message is the first one of the start, which was known from a health probe, and repeats
	// the known state otherwise.
	OutcomeConfirmed
	// OutcomeStale means that the message is not newer than the known state, and is ignored.
	OutcomeStale
	// OutcomeForeign means that the message is not about the local upstream, and is ignored.
	OutcomeForeign
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"unchanged", "changed", "started", "confirmed", "stale", "foreign"}[o]
}

// Upstream is the state of the local upstream.
type Upstream struct {
	// Instance is the id of the present start; empty while no start is known.
	Instance string
	// Born is the time of the start in Unix milliseconds; zero while the start is known from a health probe only.
	Born  int64
	Slots int
	State hornbeamcroft.MemberState
	// ColdUntil is the time until which the upstream is slow after its start, on the monotonic clock of the node.
	ColdUntil time.Duration
	// Statement is what the upstream stated in its last answer, or what other nodes reported of it before the first answer to
	// this process. Answered is true from that answer on.
	Statement hornbeamcroft.Statement
	Answered  bool
	// Stated is true if a Statement of this start has been other than empty.
	Stated bool
}

// LastStatement returns the statement for other nodes, or nil if the start has stated nothing.
func (u Upstream) LastStatement() *hornbeamcroft.InstanceStatement {
	if !u.Stated {
		return nil
	}
	return &hornbeamcroft.InstanceStatement{Instance: u.Instance, Born: u.Born, Statement: u.Statement}
}

// Known reports whether the present start of the upstream is known: one is, and it has not left.
func (o *Observer) Known() bool {
	return o.upstream.Instance != "" && o.upstream.State != hornbeamcroft.MemberLeft
}

// Usable reports whether the upstream accepts new calls.
func (u Upstream) Usable() bool { return u.State == hornbeamcroft.MemberServing }

// Observer holds the state of the local upstream. It is not safe for concurrent use.
type Observer struct {
	// Service and Address are those of the local upstream in the settings of the node.
	Service string
	Address string

	upstream Upstream
	sequence int64
	// onlyProbed is true if the start is known from a health probe only, whose answer does not contain the time of the start.
	onlyProbed bool
	contender  contender
	// reportedBorn is the time of the start that another node named with a statement while the start was known from a health
	// probe only; zero otherwise.
	reportedBorn int64
	// leavingAnswer is the moment of the last answer that stated that the upstream leaves.
	leavingAnswer Moment
	// answered is the id of another instance that has answered at the upstream's address; empty if there is none.
	answered string
	// left holds, by instance, the time of the latest start that has announced that it leaves. Only a later start of the
	// instance is used.
	left map[string]int64
	// served holds, by instance, the time of the latest start that an earlier process of this node has used as an upstream of Service;
	// zero if that process knew the instance, but not the time.
	served map[string]int64
}

// contender is a start of the upstream that seems to be older than the known one but sends announcements.
type contender struct {
	instance       string
	born, sequence int64
	// announcements is the number of announcements since the time since, without one of the known start.
	announcements int
	since         time.Duration
}

// Upstream returns the present state.
func (o *Observer) Upstream() Upstream { return o.upstream }

// ApplyAnnouncement applies an announcement for which Check has returned no error.
func (o *Observer) ApplyAnnouncement(now time.Duration, a Announcement) Outcome {
	outcome := o.applyHeartbeat(now, a)
	ignored := outcome == OutcomeStale || outcome == OutcomeForeign
	if ignored && a.Draining && a.Address == o.Address {
		return o.applyLeavingHeartbeat(a)
	}
	return outcome
}

// applyHeartbeat applies an announcement, unless it is foreign or stale.
func (o *Observer) applyHeartbeat(now time.Duration, a Announcement) Outcome {
	if a.Service != o.Service || a.Address != o.Address {
		return OutcomeForeign
	}
	same := a.Instance == o.upstream.Instance && (o.onlyProbed || a.Born == o.upstream.Born)
	switch {
	case o.hasLeft(a.Instance, a.Born) || same && o.upstream.State == hornbeamcroft.MemberLeft:
		return OutcomeStale
	case same && !o.onlyProbed && a.Sequence <= o.sequence:
		return OutcomeStale
	case !same && a.Born <= o.upstream.Born && a.Instance != o.answered && !o.replaces(now, a):
		return OutcomeStale
	}
	before, statesLeaving := o.upstream, o.statesLeaving(now, a)
	o.contender, o.answered = contender{}, ""
	o.sequence, o.onlyProbed = a.Sequence, false
	o.upstream = Upstream{
		Instance: a.Instance, Born: a.Born, Slots: a.Slots, State: hornbeamcroft.MemberServing, ColdUntil: now + a.ColdRemaining,
	}
	if a.Draining {
		o.upstream.State = hornbeamcroft.MemberDraining
		o.markLeft(a.Instance, a.Born)
	}
	if same && (o.reportedBorn == 0 || o.reportedBorn == a.Born) {
		o.upstream.Statement, o.upstream.Answered, o.upstream.Stated = before.Statement, before.Answered, before.Stated
		o.applyLeaving()
	}
	o.reportedBorn = 0
	if statesLeaving {
		o.setStatement(hornbeamcroft.Statement{Leaving: true})
	}
	switch {
	case !same:
		return OutcomeStarted
	case before.State != o.upstream.State || before.Slots != o.upstream.Slots:
		return OutcomeChanged
	case before.Born != a.Born:
		return OutcomeConfirmed
	}
	return OutcomeUnchanged
}

// replaces records an announcement of a start that seems to be older than the known one. It reports whether that start is
// the present one nevertheless.
func (o *Observer) replaces(now time.Duration, a Announcement) bool {
	c := &o.contender
	if a.Instance != c.instance || a.Born != c.born {
		*c = contender{instance: a.Instance, born: a.Born, sequence: a.Sequence, announcements: 1, since: now}
		return false
	}
	if a.Sequence <= c.sequence {
		return false
	}
	c.sequence = a.Sequence
	c.announcements++
	return c.announcements >= contenderAnnouncements && now-c.since >= contenderTime
}

// ApplyHealthProbe applies the answer to a health probe and reports whether it changed the state. An answer counts only
// while Known returns false, and only for an instance that an earlier process has used: the address may have been assigned to an upstream
// of another service since then, and the answer names no service. If a start of the instance has left, it counts only if an earlier
// process has used a later one: the answer does not tell of which start it is. Slots is the assumed number of slots of the instance,
// because a health answer does not carry it.
func (o *Observer) ApplyHealthProbe(instance string, healthy bool, slots int) bool {
	if !o.Served(instance) || o.Known() || !ValidInstance(instance) || slots < 1 {
		return false
	}
	if born, left := o.left[instance]; left && !o.servedAfter(instance, born) {
		return false
	}
	o.upstream = Upstream{Instance: instance, Slots: slots, State: hornbeamcroft.MemberServing}
	if !healthy {
		o.upstream.State = hornbeamcroft.MemberDraining
	}
	o.onlyProbed = true
	return true
}

// MarkReplaced marks the known instance as left if another one has answered at the upstream's address. It reports whether
// that changed the state.
func (o *Observer) MarkReplaced(instance string) bool {
	if o.upstream.Instance == "" || o.upstream.Instance == instance || o.upstream.State == hornbeamcroft.MemberLeft {
		return false
	}
	o.upstream.State = hornbeamcroft.MemberLeft
	o.answered = instance
	return true
}
