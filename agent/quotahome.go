package agent

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcroft"
	"hornbeamcroft/assigner"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/sleeper"
)

const (
	// handoverTime is how long a tenant's new home is tried to be reached. A later handover would not be used.
	handoverTime = time.Second
	// handoverInterval is the time between two attempts.
	handoverInterval = 20 * time.Millisecond
)

// quotaNow returns the time for quotas. Unlike the monotonic clock of the runtime it goes on while the machine is suspended, so that
// permits end meanwhile.
func (a *Agent) quotaNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return a.clock.Now()
	}
	return time.Duration(t.Nano())
}

// updateQuotas applies the tenants of the configuration in force.
func (a *Agent) updateQuotas() {
	q := a.quotas
	q.mu.Lock()
	q.tenants = nil
	for _, t := range a.routes.Load().table.Tenants {
		if t.Quota.Rate > 0 {
			q.tenants = append(q.tenants, t)
		}
	}
	active := len(q.tenants) > 0
	if !active && !q.active.Load() {
		q.mu.Unlock()
		return
	}
	handovers, here := a.assignQuotas()
	q.decide(q.borrower.SetTenants(a.quotaNow(), q.tenants))
	q.active.Store(active)
	tenants := len(q.tenants)
	q.mu.Unlock()
	a.Log.Info().Int("tenants", tenants).Int("home-here", here).Msg("quotas: in force")
	select {
	case q.wake <- struct{}{}:
	default: // runQuotas has not taken the last one yet
	}
	a.handOverAll(handovers)
}

// updateQuotaMembers chooses the homes of the tenants again if the eligible members have changed.
func (a *Agent) updateQuotaMembers() {
	q := a.quotas
	q.mu.Lock()
	eligible := a.quotaMembers()
	sameName := func(m, other hornbeamcroft.Member) bool { return m.Name == other.Name }
	if q.members != nil && slices.EqualFunc(eligible, q.members, sameName) {
		q.mu.Unlock()
		return
	}
	q.members = eligible
	if len(q.tenants) == 0 {
		q.mu.Unlock()
		return
	}
	handovers, here := a.assignQuotas()
	q.borrower.UpdateHomes()
	q.mu.Unlock()
	a.Log.Info().Int("members", len(eligible)).Int("home-here", here).Msg("quotas: homes changed")
	a.handOverAll(handovers)
}

// quotaMembers returns the members that may be homes of tenants. This node is one of them while the store has a record of it: nodes
// without a link to it do not know it otherwise, and have another home. The lock of the quotas is held, so that an older list does not
// replace a newer one.
func (a *Agent) quotaMembers() []hornbeamcroft.Member {
	own := a.ownRecord()
	eligible := []hornbeamcroft.Member{}
	a.membersMu.Lock()
	for _, m := range a.locator.Members() {
		if m.Name != own.Name && assigner.Eligible(m) {
			eligible = append(eligible, m)
		}
	}
	a.membersMu.Unlock()
	if a.quotas.listed && assigner.Eligible(own) {
		eligible = append(eligible, own)
	}
	return eligible
}

// setQuotaListed records whether the store had a record of this node at a revision.
func (a *Agent) setQuotaListed(listed bool, revision int64) {
	q := a.quotas
	q.mu.Lock()
	if revision >= q.listedRevision {
		q.listed, q.listedRevision = listed, revision
	}
	q.mu.Unlock()
	a.updateQuotaMembers()
}

// assignQuotas chooses the homes of all tenants. It returns the handovers of those that are no longer here, by new home, and how many
// are here. The lock of the quotas is held.
func (a *Agent) assignQuotas() (handovers map[string][]hornbeamcroft.PermitHandover, here int) {
	q := a.quotas
	q.homes = make(map[string]quotaHome, len(q.tenants))
	var own []hornbeamcroft.Tenant
	for _, t := range q.tenants {
		home, next := assigner.Assigner{}.Home(t.Name, q.members)
		q.homes[t.Name] = quotaHome{home, next}
		if home == a.Settings.Agent.Name {
			own = append(own, t)
		}
	}
	handovers = make(map[string][]hornbeamcroft.PermitHandover)
	for _, h := range q.lender.SetTenants(a.quotaNow(), own) {
		if home := q.homes[h.Tenant].home; home != "" {
			handovers[home] = append(handovers[home], h)
		}
	}
	return handovers, len(own)
}

// handOverAll passes tenants on to their new homes in the background.
func (a *Agent) handOverAll(handovers map[string][]hornbeamcroft.PermitHandover) {
	for home, list := range handovers {
		go a.handOver(home, list)
	}
}

// handOver sends handovers to a new home, which is dialed if there is no link to it. If it cannot be reached, it starts to lend when
// what this node lent has ended.
func (a *Agent) handOver(home string, list []hornbeamcroft.PermitHandover) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	for ctx.Err() == nil {
		l := a.links.LinkTo(home)
		if l == nil {
			a.dialName(home)
			sleeper.Sleep(ctx, handoverInterval)
			continue
		}
		for part := range slices.Chunk(list, hornbeamcroft.MaxPermitItems) {
			a.send(l, framer.TypeQuotaRequest, hornbeamcroft.PermitRequest{Handovers: part})
		}
		a.Log.Info().Str("peer", home).Int("tenants", len(list)).Msg("quotas: handed over")
		return
	}
	a.Log.Warn().Str("peer", home).Int("tenants", len(list)).Msg("quotas: not handed over")
}

// onPermitRequest answers a request of another node for permits, and takes over what it hands over.
func (a *Agent) onPermitRequest(l *connector.Link, r hornbeamcroft.PermitRequest) {
	q, now := a.quotas, a.quotaNow()
	q.mu.Lock()
	for _, h := range r.Handovers {
		q.lender.TakeOver(now, l.Peer.Name, h)
	}
	g := q.lender.Request(now, quotaBorrowerName(l.Peer.Name, l.Peer.Incarnation), r)
	g.Homes = a.otherHomes(g.Permits)
	q.mu.Unlock()
	if len(r.Handovers) > 0 {
		a.Log.Info().Str("peer", l.Peer.Name).Int("tenants", len(r.Handovers)).Msg("quotas: taken over")
	}
	if len(g.Permits) > 0 {
		go a.send(l, framer.TypeQuotaGrant, g)
	}
}

// otherHomes returns the homes of the tenants that are not lent here because another node is their home. The sender of the request may
// not know of it yet: nodes read the list of members every few seconds. The lock of the quotas is held.
func (a *Agent) otherHomes(permits []hornbeamcroft.Permits) []hornbeamcroft.Member {
	var homes []hornbeamcroft.Member
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	for _, p := range permits {
		name := a.quotas.homes[p.Tenant].home
		if !p.Undecided || name == a.Settings.Agent.Name || len(homes) == hornbeamcroft.MaxPermitHomes {
			continue
		}
		if m, known := a.locator.Member(name); known && !slices.Contains(homes, m) {
			homes = append(homes, m)
		}
	}
	return homes
}

// onPermitGrant applies permits that the home of tenants granted. Homes without a link are dialed; what they send of themselves when the
// link opens makes them known.
func (a *Agent) onPermitGrant(l *connector.Link, g hornbeamcroft.PermitGrant) {
	for _, m := range g.Homes {
		if a.links.LinkTo(m.Name) == nil {
			a.dial(m)
		}
	}
	q, now := a.quotas, a.quotaNow()
	q.mu.Lock()
	q.decide(q.borrower.Receive(now, l.Peer.Name, g))
	out := q.exchange(now, a.Settings.Agent.Name, a.quotaBorrower())
	q.mu.Unlock()
	a.sendPermitRequests(out)
}

// onQuotaLink sends what waits for a node to which a link was opened.
func (a *Agent) onQuotaLink(peer string) {
	if !a.quotas.active.Load() {
		return
	}
	a.quotas.mu.Lock()
	a.quotas.borrower.SetLinked(peer)
	a.quotas.mu.Unlock()
	a.tickQuotas()
}

// collectQuotas sets the gauges for quotas.
func (a *Agent) collectQuotas() {
	q := a.quotas
	if !q.active.Load() {
		return
	}
	q.mu.Lock()
	lent, here := q.lender.Counts()
	b := q.borrower.Counts()
	waiting := len(q.waits)
	q.mu.Unlock()
	m := a.metrics
	m.gauge("quotas/home-here", int64(here))
	m.gauge("quotas/asked", lent.Asked)
	m.gauge("quotas/lent", lent.Lent)
	m.gauge("quotas/short", lent.Short)
	m.gauge("quotas/not-lending", lent.Undecided)
	m.gauge("quotas/taken-over", lent.Taken)
	m.gauge("quotas/admitted", b.Admitted)
	m.gauge("quotas/exceeded", b.Exceeded)
	m.gauge("quotas/undecided", b.Undecided)
	m.gauge("quotas/waited", b.Waited)
	m.gauge("quotas/waiting", int64(waiting))
	m.gauge("quotas/messages", b.Messages)
	m.gauge("quotas/resent", b.Resent)
}
