// Package placer picks the host on which a call of one service runs, by what the nodes beside the upstreams report of
// their load and what this node has sent since.
package placer

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

const (
	// reportTime is how long a reported load counts. An older one says less than the node's own outstanding calls.
	reportTime = time.Second
	// holdShare is the part of the time left that holdMargin times the usual time at the upstream may take. What stays
	// below costs nothing: an answer that is sooner than needed is worth no more.
	holdShare  = 0.8
	holdMargin = 2
	// zoneShare is the part of the time left that must be won by leaving the zone, and zoneTime a least time. The way to
	// another zone is paid for by the byte.
	zoneShare = 0.05
	zoneTime  = 3 * time.Millisecond
	// failingCost is the part of the time left that an upstream costs for its share of failed calls beyond failingFree,
	// which requests that fail everywhere leave for a moment: a share of 0.12 outweighs the way to another zone. It is at
	// most failingMost, so that calls do not crowd at one of several upstreams that all fail often.
	failingFree = 0.08
	failingCost = 2.5
	failingMost = 0.5
	// onceTime is the least time left that the cost of failures of a call counts with which may run once only: its failure
	// cannot be made good by a repeat, however short its objective is.
	onceTime = 500 * time.Millisecond
	// downTime is how long a member that could not be reached is avoided.
	downTime = 500 * time.Millisecond
	// compareAll is the number of candidates up to which all are compared. Among more, two random ones are: with all of
	// them every sender would choose the same member until its next report.
	compareAll = 3
	// unknownHold is the time for which a call holds a slot of an upstream that has reported none.
	unknownHold = 20 * time.Millisecond
	// leastSlack is the time left that is assumed for a call whose objective has passed.
	leastSlack = 20 * time.Millisecond
)

// Choice is what a call needs.
type Choice struct {
	// Slack is the time left until the answer loses value; it may be negative.
	Slack time.Duration
	// Once is true if the call may not be repeated after a failure.
	Once bool
	// Exclude skips a member; it may be nil.
	Exclude func(name string) bool
}

// Placer places the calls of one service. It is not safe for concurrent use.
type Placer struct {
	// Zone is the availability zone of the node.
	Zone string

	members []*member
	byName  map[string]*member
	// local and remote are the candidates of the current pick.
	local, remote []*member
}

type member struct {
	hornbeamcroft.Member
	linked bool
	load   hornbeamcroft.Load
	// reportedAt is when load arrived; zero if none did.
	reportedAt time.Duration
	// sent counts the calls sent since load arrived, outstanding those without an answer.
	sent, outstanding int
	downUntil         time.Duration
}

// Update sets the members of the service.
func (p *Placer) Update(members []hornbeamcroft.Member) {
	old := p.byName
	p.byName = make(map[string]*member, len(members))
	p.members = p.members[:0]
	for _, m := range members {
		e := old[m.Name]
		if e == nil || e.Incarnation != m.Incarnation {
			e = &member{linked: e != nil && e.linked}
		}
		e.Member = m
		p.byName[m.Name] = e
		p.members = append(p.members, e)
	}
	slices.SortFunc(p.members, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
}

// Link tells whether a link with the member is open.
func (p *Placer) Link(name string, open bool) {
	if m := p.byName[name]; m != nil {
		m.linked = open
		if open {
			m.downUntil = 0
		}
	}
}

// Down tells that the member could not be reached.
func (p *Placer) Down(now time.Duration, name string) {
	if m := p.byName[name]; m != nil {
		m.downUntil = now + downTime
	}
}

// Report takes the load that a member reported.
func (p *Placer) Report(now time.Duration, name string, l hornbeamcroft.Load) {
	if m := p.byName[name]; m != nil {
		m.load, m.reportedAt, m.sent = l, max(now, 1), 0
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

// ranks are the kinds of members in the order in which they are tried.
var ranks = []func(m *member) bool{
	func(m *member) bool { return m.linked && !m.Stopping },
	func(m *member) bool { return !m.Stopping },
	func(m *member) bool { return m.linked },
	func(*member) bool { return true },
}

// Pick returns the member to which the next call is sent, or false if there is none.
func (p *Placer) Pick(now time.Duration, rnd hornbeamcroft.Rand, c Choice) (hornbeamcroft.Member, bool) {
	for _, allow := range ranks {
		if p.collect(now, c, allow); len(p.local)+len(p.remote) > 0 {
			break
		}
	}
	c.Slack = max(c.Slack, leastSlack)
	local, here := best(now, rnd, p.local, c)
	remote, there := best(now, rnd, p.remote, c)
	there.time += zoneTime + time.Duration(zoneShare*float64(c.Slack))
	switch {
	case local == nil && remote == nil:
		return hornbeamcroft.Member{}, false
	case remote == nil || (local != nil && here.time <= there.time):
		return local.Member, true
	}
	return remote.Member, true
}

func (p *Placer) collect(now time.Duration, c Choice, allow func(*member) bool) {
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, m := range p.members {
		if m.State != hornbeamcroft.MemberServing || now < m.downUntil || !allow(m) {
			continue
		}
		if c.Exclude != nil && c.Exclude(m.Name) {
			continue
		}
		if m.Zone == p.Zone {
			p.local = append(p.local, m)
		} else {
			p.remote = append(p.remote, m)
		}
	}
}

// cost is what a candidate costs: the time beyond what the call can spare, and among equals the share of its slots that
// are taken.
type cost struct {
	time time.Duration
	busy float64
}

func (c cost) less(other cost) bool {
	if c.time != other.time {
		return c.time < other.time
	}
	return c.busy < other.busy
}

// best returns the candidate with the least cost, and the cost.
func best(now time.Duration, rnd hornbeamcroft.Rand, ms []*member, c Choice) (*member, cost) {
	if len(ms) > compareAll {
		i, j := rnd.IntN(len(ms)), rnd.IntN(len(ms)-1)
		if j >= i {
			j++
		}
		ms[0], ms[1] = ms[i], ms[j]
		ms = ms[:2]
	}
	var found *member
	var least cost
	for _, m := range ms {
		if cost := m.cost(now, c); found == nil || cost.less(least) {
			found, least = m, cost
		}
	}
	return found, least
}

// cost returns what the member costs for a call.
func (m *member) cost(now time.Duration, c Choice) cost {
	hold := m.load.Hold
	if hold <= 0 {
		hold = unknownHold
	}
	busy, limit := m.use(now)
	slack := float64(c.Slack)
	over := float64(wait(busy, limit, hold))
	over += max(0, holdMargin*float64(hold)-holdShare*slack)
	over += m.risk(c)
	return cost{time: time.Duration(over), busy: float64(busy) / float64(limit)}
}

// risk returns what the failures of the member cost for a call.
func (m *member) risk(c Choice) float64 {
	stake := c.Slack
	if c.Once {
		stake = max(stake, onceTime)
	}
	share := max(0, float64(m.load.Failing)/1000-failingFree)
	return min(share*failingCost, failingMost) * float64(stake)
}

// use returns the calls that the member has, and how many may run at once.
func (m *member) use(now time.Duration) (busy, limit int) {
	busy, limit = m.outstanding, m.Slots
	if m.reportedAt > 0 && now-m.reportedAt < reportTime {
		busy = max(busy, m.load.Running+m.load.Waiting+m.sent)
		limit = m.load.Limit
	}
	return busy, max(limit, 1)
}

// wait is the expected time until a slot is free.
func wait(busy, limit int, hold time.Duration) time.Duration {
	if busy < limit {
		return 0
	}
	return hold * time.Duration(busy-limit+1) / time.Duration(limit)
}
