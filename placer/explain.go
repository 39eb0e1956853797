package placer

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcroft"
)

// explained is a candidate with its cost, zone cost included.
type explained struct {
	hornbeamcroft.PlacementCandidate
	cost candidateCost
}

// Explain returns the members of the service with their costs for a call: those that Pick may return, the cheapest first, and then
// the others with the reason why they are left out. It changes nothing.
func (p *Placer) Explain(now time.Duration, r Requirements) []hornbeamcroft.PlacementCandidate {
	condition := p.preference(now, r)
	r.Slack, r.fastest = max(r.Slack, minSlack), fastestOf(p.candidates(now, r, condition))
	list := make([]explained, 0, len(p.members))
	for _, m := range p.members {
		e := explained{m.explain(now), p.cost(now, m, r)}
		if !m.local {
			zoneCost := p.zoneCost(now, m, r)
			e.cost.time += zoneCost
			e.ZoneCostUs = zoneCost.Microseconds()
		}
		e.CostUs = e.cost.time.Microseconds()
		e.LeftOut = m.leftOut(now, r, condition)
		list = append(list, e)
	}
	slices.SortStableFunc(list, func(a, b explained) int { return compareExplained(p.Zone, a, b) })
	candidates := make([]hornbeamcroft.PlacementCandidate, 0, len(list))
	for _, e := range list {
		candidates = append(candidates, e.PlacementCandidate)
	}
	return candidates
}

// compareExplained orders candidates as Pick compares them: by time, where a candidate in the node's zone goes before one of another
// zone, and by utilization. Those that are left out are the last.
func compareExplained(zone string, a, b explained) int {
	order := func(first, second bool) int {
		switch {
		case first == second:
			return 0
		case first:
			return -1
		}
		return 1
	}
	return cmp.Or(
		order(a.LeftOut == "", b.LeftOut == ""), cmp.Compare(a.cost.time, b.cost.time), order(a.Zone == zone, b.Zone == zone),
		cmp.Compare(a.cost.utilization, b.cost.utilization),
	)
}

// cost returns the cost of sending a call to the member, without that of leaving the zone.
func (p *Placer) cost(now time.Duration, m *member, r Requirements) candidateCost {
	if p.Even {
		return p.evenCost(now, m, r)
	}
	return m.costOf(now, r)
}

// zoneCost returns the time that a call must save to go to the member of another zone.
func (p *Placer) zoneCost(now time.Duration, m *member, r Requirements) time.Duration {
	if p.Even {
		return m.evenZoneCost(now, r)
	}
	return crossZoneTime + time.Duration(crossZoneShare*float64(r.Slack))
}

// preference returns the first of the preferences that a usable member meets.
func (p *Placer) preference(now time.Duration, r Requirements) preference {
	for _, condition := range preferences {
		if slices.ContainsFunc(p.members, func(m *member) bool { return m.unusable(now, r) == "" && condition.allows(m) }) {
			return condition
		}
	}
	return preferences[len(preferences)-1]
}

// unusable returns why the member gets no call, whatever the others are; empty if it may get one.
func (m *member) unusable(now time.Duration, r Requirements) string {
	switch {
	case m.State != hornbeamcroft.MemberServing:
		return "not serving"
	case now < m.unreachableUntil:
		return "unreachable"
	case r.Exclude != nil && r.Exclude(m.Name):
		return "excluded"
	}
	return ""
}

// leftOut returns why the member does not get the call; empty if it may.
func (m *member) leftOut(now time.Duration, r Requirements, condition preference) string {
	if reason := m.unusable(now, r); reason != "" || condition.allows(m) {
		return reason
	}
	linked := *m
	linked.linked = true
	if condition.allows(&linked) {
		return "not linked"
	}
	return "stopping"
}

// candidates returns the members that may get the call.
func (p *Placer) candidates(now time.Duration, r Requirements, condition preference) []*member {
	return slices.DeleteFunc(slices.Clone(p.members), func(m *member) bool { return m.leftOut(now, r, condition) != "" })
}

// explain returns what is known of the member.
func (m *member) explain(now time.Duration) hornbeamcroft.PlacementCandidate {
	c := hornbeamcroft.PlacementCandidate{
		Name: m.Name, Zone: m.Zone, State: m.State.String(), Linked: m.linked, Outstanding: m.outstanding, SentSinceReport: m.sent,
	}
	c.Busy, c.Limit = m.occupancy(now)
	if m.reportedAt > 0 {
		age := now - m.reportedAt
		c.Report = &hornbeamcroft.PlacementReport{
			AgeMs: age.Milliseconds(), Counts: age < reportTTL, Running: m.load.Running, Waiting: m.load.Waiting, Limit: m.load.Limit,
			ServiceTimeUs: m.load.ServiceTime.Microseconds(), FailureRatio: float64(m.load.FailureRatio) / 1000,
		}
	}
	return c
}
