package placer

import (
	"time"

	"hornbeamcroft"
)

const (
	// evenChoices is the number of members that Pick compares in the node's zone, and again in the other zones. A call that
	// was refused compares no more: this sent more calls to other zones in an overload and saved no refusals.
	evenChoices = 3
	// probeAge is the age from which a report is to be renewed by one call. Until the call is answered, the old report
	// counts: a report that expired would show a full member as idle, and all senders would choose it at once.
	probeAge = 500 * time.Millisecond
	// probeCalls is the number of calls of which one may renew an old report, at a member that the report shows as full or
	// busier than others. The reports of a sender with few calls are always old. If each of its calls renewed one, its calls
	// would go to members of which it knows nothing.
	probeCalls = 8
	// spareShare is the used share of the slots below which a member of another zone has spare capacity. A call then leaves
	// its zone if it saves crossZoneTime plus spareZoneShare times the slack: traffic that does not fit into the zone has to
	// leave it in any case, and a higher price only makes the calls wait before. If the other zone is nearly full too,
	// crossZoneShare applies, so that full zones do not exchange calls.
	spareShare     = 0.85
	spareZoneShare = 0.01
)

// pickEven implements Pick for even placement, after collectCandidates.
func (p *Placer) pickEven(now time.Duration, rnd hornbeamcroft.Rand, r Requirements) (hornbeamcroft.Member, bool) {
	m := p.chooseEven(now, rnd, r)
	if m == nil {
		return hornbeamcroft.Member{}, false
	}
	if p.untilProbe == 0 && m.probeDue(now) {
		p.untilProbe = probeCalls
	}
	p.untilProbe = max(0, p.untilProbe-1)
	return p.place(now, m), true
}

// chooseEven returns the member for the next call, or nil if there is none. It draws no member of another zone if the call
// would not save enough time there to leave the zone.
func (p *Placer) chooseEven(now time.Duration, rnd hornbeamcroft.Rand, r Requirements) *member {
	price := crossZoneTime + time.Duration(spareZoneShare*float64(r.Slack))
	local, localCost := p.selectEven(now, rnd, p.local, r)
	if local != nil && localCost.time <= price {
		return local
	}
	remote, remoteCost := p.selectEven(now, rnd, p.remote, r)
	if remote == nil {
		return local
	}
	if local != nil && localCost.time <= remoteCost.time+remote.evenZoneCost(now, r) {
		return local
	}
	return remote
}

// selectEven draws members in proportion to their slots and returns the cheapest, and its cost. The service time must not count in
// the draw: it depends on which calls a member gets. A member that gets more short calls would look faster and get still more of them.
func (p *Placer) selectEven(now time.Duration, rnd hornbeamcroft.Rand, candidates []*member, r Requirements,
) (*member, candidateCost) {
	total := 0.0
	for _, m := range candidates {
		total += m.weight
	}
	var cheapestMember *member
	var minCost candidateCost
	for k := range min(evenChoices, len(candidates)) {
		i := k + drawIndex(candidates[k:], rnd.Float64()*total)
		candidates[k], candidates[i] = candidates[i], candidates[k]
		m := candidates[k]
		total -= m.weight
		if c := p.evenCost(now, m, r); cheapestMember == nil || c.less(minCost) {
			cheapestMember, minCost = m, c
		}
	}
	return cheapestMember, minCost
}

// drawIndex returns the index of the candidate in whose part of the sum of all weights x lies.
func drawIndex(candidates []*member, x float64) int {
	last := len(candidates) - 1
	for i, m := range candidates[:last] {
		if x -= m.weight; x < 0 {
			return i
		}
	}
	return last
}

// evenCost returns the cost of sending a call to the member. A member whose report this call may renew costs nothing, except
// for its failures. While the member has a free slot, its service time is no part of the cost: with calls of several kinds it
// depends on which of them the member gets, and members with long calls would be left with free slots while others have queues.
// A slow member has more busy slots than others at the same rate of calls. At a full member the service time counts: its host
// refuses calls whose wait and service time exceed the objective.
func (p *Placer) evenCost(now time.Duration, m *member, r Requirements) candidateCost {
	failures := time.Duration(m.failureCost(r))
	if p.untilProbe == 0 && m.probeDue(now) {
		return candidateCost{time: failures}
	}
	busy, limit := m.lastOccupancy()
	if busy >= limit {
		return m.costAt(busy, limit, r)
	}
	return candidateCost{time: failures, utilization: float64(busy) / float64(limit)}
}

// evenZoneCost returns the time that a call must save to leave its zone for the member.
func (m *member) evenZoneCost(now time.Duration, r Requirements) time.Duration {
	share := crossZoneShare
	if m.hasSpareSlots(now) {
		share = spareZoneShare
	}
	return crossZoneTime + time.Duration(share*float64(r.Slack))
}

// probeDue reports whether the report of the member is to be renewed. Only one call at a time does.
func (m *member) probeDue(now time.Duration) bool {
	return m.outstanding == 0 && m.reportedAt > 0 && now-m.reportedAt > probeAge
}

// hasSpareSlots reports whether the member has free slots beyond those that other senders are about to use.
func (m *member) hasSpareSlots(now time.Duration) bool {
	busy, limit := m.lastOccupancy()
	return m.probeDue(now) || float64(busy) < spareShare*float64(limit)
}

// lastOccupancy returns the number of calls that run or wait at the member, and the number that may run at once, which is
// at least 1, by its last report, however old. A member that reported that it accepts no calls counts as full.
func (m *member) lastOccupancy() (busy, limit int) {
	busy = max(m.outstanding, m.load.Running+m.load.Waiting+m.sent)
	if m.reportedAt == 0 {
		return busy, max(m.Slots, 1)
	}
	if m.load.Limit == 0 {
		return max(busy, 1), 1
	}
	return busy, m.load.Limit
}

// updateWeight sets the weight with which the member is drawn.
func (m *member) updateWeight() {
	limit := m.Slots
	if m.reportedAt > 0 {
		limit = m.load.Limit
	}
	m.weight = float64(max(limit, 1))
}
