package attester

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
)

const (
	// readersPerZone is the number of nodes in each zone that ask the store all the time, so that one of them may fail.
	readersPerZone = 2
	// standbysPerZone is the number of further nodes in each zone that ask the store as soon as proofs are missing. The store may
	// refuse all readers at once.
	standbysPerZone = 2
	// readInterval is the least time between two calls of one node.
	readInterval = 800 * time.Millisecond
	// standbyAge and anyAge are the ages of the best proof above which a standby, and any node, asks the store itself. Proofs must
	// stay below 2 s.
	standbyAge = 1300 * time.Millisecond
	anyAge     = 1800 * time.Millisecond
	// maxDelay bounds the random delay of nodes that are no readers, in which the response to the first of them may reach the
	// others.
	maxDelay = 120 * time.Millisecond
	// maxRefusedInterval bounds the time between two calls while the store refuses them. The breaker of the node makes no call
	// then before another user has found that the store answers again.
	maxRefusedInterval = 1600 * time.Millisecond
	// maxUnprovenInterval bounds the time between two calls of a node that is no reader, while the responses show another
	// configuration than the one in force. All nodes may be in this state for long.
	maxUnprovenInterval = 6400 * time.Millisecond
)

// Roles of a node.
const (
	RoleNone = iota
	RoleStandby
	RoleReader
)

// reads decides when the node asks the store.
type reads struct {
	role int
	// pending is true while a call is being made, and lastRead is when the last one began.
	pending  bool
	lastRead time.Duration
	everRead bool
	// interval is the least time from lastRead to the next call.
	interval time.Duration
	// delay is the random part of the age at which a node that is no reader asks.
	delay time.Duration
	// appliedAt is when the configuration came into force.
	appliedAt time.Duration
}

// SetMembers computes the role of the node from the known members, to which it adds the node itself. Nodes with the same members
// agree on the readers without messages. The members must not be changed afterwards.
func (a *Attester) SetMembers(members []hornbeamcroft.Member) {
	a.members = members
	names := []string{a.Name}
	for _, m := range members {
		if m.Zone == a.Zone && m.Name != a.Name {
			names = append(names, m.Name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(x), xxhash.Sum64String(y)), cmp.Compare(x, y))
	})
	switch rank := slices.Index(names, a.Name); {
	case rank < readersPerZone:
		a.role = RoleReader
	case rank < readersPerZone+standbysPerZone:
		a.role = RoleStandby
	default:
		a.role = RoleNone
	}
}

// Role returns the role of the node.
func (a *Attester) Role() int { return a.role }

// startReads begins with the base interval again, for another configuration.
func (a *Attester) startReads(now time.Duration) {
	a.appliedAt, a.interval = now, readInterval
	a.drawDelay()
}

func (a *Attester) drawDelay() { a.delay = time.Duration(a.Rand.Float64() * float64(maxDelay)) }

// Reads reports whether the node asks the store now. If so, a call counts as pending until Asked, Unproven or Refused.
func (a *Attester) Reads(now time.Duration) bool {
	if !a.active || a.pending || a.everRead && now-a.lastRead < a.interval {
		return false
	}
	switch a.role {
	case RoleNone:
		if a.age(now) < anyAge+a.delay {
			return false
		}
	case RoleStandby:
		if a.age(now) < standbyAge+a.delay {
			return false
		}
	}
	a.pending, a.everRead, a.lastRead = true, true, now
	return true
}

// Asked records a response of the store that showed the configuration in force. The time At of the proof is from just before the
// call was sent.
func (a *Attester) Asked(p Proof) {
	a.pending, a.interval = false, readInterval
	a.add(p)
}

// Unproven records a response of the store that showed another configuration than the one in force.
func (a *Attester) Unproven() {
	a.pending = false
	if a.role == RoleReader {
		a.interval = readInterval
		return
	}
	a.backOff(maxUnprovenInterval)
}

// Refused records that the store refused or did not answer the call.
func (a *Attester) Refused() {
	a.pending = false
	a.backOff(maxRefusedInterval)
}

// backOff doubles the interval up to a maximum, and adds up to a quarter at random.
func (a *Attester) backOff(limit time.Duration) {
	a.interval = min(2*max(a.interval, readInterval), limit)
	a.interval += time.Duration(a.Rand.Float64() * float64(a.interval) / 4)
}
