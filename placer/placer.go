// Package placer selects the host on which a call of one service runs. It uses the load that the nodes beside the
// upstreams report, and the calls that this node has sent since the reports.
package placer

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

const (
	// reportTTL is how long a reported load counts. An older one is less accurate than the number of the node's own
	// outstanding calls.
	reportTTL = time.Second
	// crossZoneShare and crossZoneTime determine the time that a call must save to leave the availability zone:
	// crossZoneTime plus crossZoneShare times the slack. Traffic to another zone is paid for by the byte.
	crossZoneShare = 0.05
	crossZoneTime  = 3 * time.Millisecond
	// unreachableTime is how long a member that could not be reached is avoided.
	unreachableTime = 500 * time.Millisecond
	// maxCompareAll is the number of candidates up to which Pick compares all. Of more candidates, it compares two random
	// ones: if every sender compared all of them, all would choose the same member until its next report.
	maxCompareAll = 3
	// minSlack is the slack that is assumed for a call with less slack, or whose objective has passed.
	minSlack = 20 * time.Millisecond
)

// Requirements holds the requirements of a call.
type Requirements struct {
	// Slack is the time left until the answer loses value; it is negative if the objective has passed.
	Slack time.Duration
	// Once is true if the call may not be retried after a failure.
	Once bool
	// Exclude reports whether to skip the member with the given name; it may be nil.
	Exclude func(name string) bool

	// fastest is the shortest service time of the candidates, as fastestOf returns it.
	fastest time.Duration
}

// Placer selects the members for the calls of one service. It is not safe for concurrent use.
type Placer struct {
	// Zone is the availability zone of the node.
	Zone string
	// Even selects even placement: members are drawn in proportion to their slots, and old reports count until they are
	// renewed. Otherwise Pick compares two random members.
	Even bool

	members []*member
	byName  map[string]*member
	// local and remote are the candidates of the current call to Pick, in the node's zone and in other zones.
	local, remote []*member
	// excluded is the number of members that the current call excludes.
	excluded int
	stats    Stats
	// untilProbe is the number of calls until one may renew an old report; see probeCalls.
	untilProbe int
}

// member is a host of the service with its load.
type member struct {
	hornbeamcroft.Member
	// linked is true while a link with the member is open, local if the member is in the node's zone.
	linked, local bool
	load          hornbeamcroft.Load
	// reportedAt is when load arrived; zero if no load has arrived.
	reportedAt time.Duration
	// sent counts the calls sent since load arrived, outstanding those without an answer.
	sent, outstanding int
	// unreachableUntil is the end of the time in which the member is avoided because it could not be reached.
	unreachableUntil time.Duration
	// weight is the number of calls that the member may run at once, in proportion to which it is drawn.
	weight float64
}

// Update replaces the members of the service. It keeps the load of a member unless its incarnation has changed.
func (p *Placer) Update(members []hornbeamcroft.Member) {
	old := p.byName
	p.byName = make(map[string]*member, len(members))
	p.members = p.members[:0]
	for _, m := range members {
		e := old[m.Name]
		if e == nil || e.Incarnation != m.Incarnation {
			e = &member{linked: e != nil && e.linked}
		}
		e.Member, e.local = m, m.Zone == p.Zone
		e.updateWeight()
		p.byName[m.Name] = e
		p.members = append(p.members, e)
	}
	slices.SortFunc(p.members, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
}

// SetLinked records whether a link with the member is open. A member with an open link counts as reachable again.
func (p *Placer) SetLinked(name string, open bool) {
	if m := p.byName[name]; m != nil {
		m.linked = open
		if open {
			m.unreachableUntil = 0
		}
	}
}

// MarkUnreachable records that the member could not be reached, so that it is avoided for unreachableTime.
func (p *Placer) MarkUnreachable(now time.Duration, name string) {
	if m := p.byName[name]; m != nil {
		m.unreachableUntil = now + unreachableTime
	}
}

// Report records the load that a member reported.
func (p *Placer) Report(now time.Duration, name string, l hornbeamcroft.Load) {
	if m := p.byName[name]; m != nil {
		m.load, m.reportedAt, m.sent = l, max(now, 1), 0
		m.updateWeight()
	}
}

// Start records that a call is sent to the member.
func (p *Placer) Start(name string) {
	if m := p.byName[name]; m != nil {
		m.sent++
		m.outstanding++
	}
}

// Finish records that a call to the member has ended.
func (p *Placer) Finish(name string) {
	if m := p.byName[name]; m != nil {
		m.outstanding = max(0, m.outstanding-1)
	}
}

// preference is a condition on members. It is not a function, because Pick checks it for every member.
type preference struct {
	linked, notStopping bool
}

// preferences are the conditions on members in the order in which Pick tries them.
var preferences = [...]preference{
	{linked: true, notStopping: true},
	{notStopping: true},
	{linked: true},
	{},
}

// allows reports whether the member meets the condition.
func (c preference) allows(m *member) bool {
	return (m.linked || !c.linked) && !(m.Stopping && c.notStopping)
}

// Pick returns the member to which to send the next call, or false if there is none.
func (p *Placer) Pick(now time.Duration, rnd hornbeamcroft.Rand, r Requirements) (hornbeamcroft.Member, bool) {
	for _, condition := range preferences {
		if p.collectCandidates(now, r, condition); len(p.local)+len(p.remote) > 0 {
			break
		}
	}
	r.Slack, r.fastest = max(r.Slack, minSlack), fastestOf(p.local, p.remote)
	if p.Even {
		return p.pickEven(now, rnd, r)
	}
	local, localCost := cheapest(now, rnd, p.local, r)
	remote, remoteCost := cheapest(now, rnd, p.remote, r)
	remoteCost.time += crossZoneTime + time.Duration(crossZoneShare*float64(r.Slack))
	switch {
	case local == nil && remote == nil:
		return hornbeamcroft.Member{}, false
	case remote == nil || (local != nil && localCost.time <= remoteCost.time):
		return p.place(now, local), true
	}
	return p.place(now, remote), true
}

// Alternatives returns the number of other members that the last call to Pick could have returned.
func (p *Placer) Alternatives() int { return max(0, len(p.local)+len(p.remote)-1) }

// collectCandidates sets local and remote to the serving, reachable members that the condition and the call allow.
func (p *Placer) collectCandidates(now time.Duration, r Requirements, condition preference) {
	p.local, p.remote = p.local[:0], p.remote[:0]
	p.excluded = 0
	for _, m := range p.members {
		if m.State != hornbeamcroft.MemberServing || now < m.unreachableUntil || !condition.allows(m) {
			continue
		}
		if r.Exclude != nil && r.Exclude(m.Name) {
			p.excluded++
			continue
		}
		if m.local {
			p.local = append(p.local, m)
		} else {
			p.remote = append(p.remote, m)
		}
	}
}

// cheapest returns the candidate with the least cost, and this cost. It returns nil if there are no candidates.
func cheapest(now time.Duration, rnd hornbeamcroft.Rand, candidates []*member, r Requirements) (*member, candidateCost) {
	if len(candidates) > maxCompareAll {
		i, j := rnd.IntN(len(candidates)), rnd.IntN(len(candidates)-1)
		if j >= i {
			j++
		}
		candidates[0], candidates[1] = candidates[i], candidates[j]
		candidates = candidates[:2]
	}
	var cheapestMember *member
	var minCost candidateCost
	for _, m := range candidates {
		if c := m.costOf(now, r); cheapestMember == nil || c.less(minCost) {
			cheapestMember, minCost = m, c
		}
	}
	return cheapestMember, minCost
}
