// Package rotator implements round-robin balancing, the baseline against which package balancer is measured.
package rotator

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

var _ hornbeamcroft.Balancer = (*Rotator)(nil)

// Rotator picks the serving members in turn, regardless of the outcomes of their calls. It is not safe for concurrent
// use.
type Rotator struct {
	members []hornbeamcroft.Member
	next    int
}

// Update sets the live members of the service.
func (b *Rotator) Update(_ time.Duration, members []hornbeamcroft.Member) {
	b.members = append(b.members[:0], members...)
	slices.SortFunc(b.members, func(x, y hornbeamcroft.Member) int { return strings.Compare(x.Name, y.Name) })
}

// Pick returns the next serving member, or false if there is none.
func (b *Rotator) Pick(_ time.Duration, _ hornbeamcroft.Rand, exclude func(name string) bool) (string, bool) {
	for range b.members {
		m := b.members[b.next%len(b.members)]
		b.next = (b.next + 1) % len(b.members)
		if m.State == hornbeamcroft.MemberServing && (exclude == nil || !exclude(m.Name)) {
			return m.Name, true
		}
	}
	return "", false
}

// Start does nothing: round robin does not depend on calls in flight.
func (b *Rotator) Start(time.Duration, string) {}

// Finish does nothing: round robin does not depend on outcomes.
func (b *Rotator) Finish(time.Duration, string, time.Duration, hornbeamcroft.Outcome) {}
