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
	allow := p.preference(now, r)
	r.Slack = max(r.Slack, minSlack)
	list := make([]explained, 0, len(p.members))
	for _, m := range p.members {
		e := explained{m.explain(now), m.costOf(now, r)}
		if m.Zone != p.Zone {
			zoneCost := crossZoneTime + time.Duration(crossZoneShare*float64(r.Slack))
			e.cost.time += zoneCost
			e.ZoneCostUs = zoneCost.Microseconds()
		}
		e.CostUs = e.cost.time.Microseconds()
		e.LeftOut = m.leftOut(now, r, allow)
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

// preference returns the first of the preferences that a usable member meets.
func (p *Placer) preference(now time.Duration, r Requirements) func(*member) bool {
	for _, allow := range preferences {
		if slices.ContainsFunc(p.members, func(m *member) bool { return m.unusable(now, r) == "" && allow(m) }) {
			return allow
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

// leftOut returns why the member does not get the call; empty if it may. allow is the preference in use.
func (m *member) leftOut(now time.Duration, r Requirements, allow func(*member) bool) string {
	if reason := m.unusable(now, r); reason != "" || allow(m) {
		return reason
	}
	linked := *m
	linked.linked = true
	if allow(&linked) {
		return "not linked"
	}
	return "stopping"
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
