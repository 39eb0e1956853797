package agent

import (
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/assigner"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
)

// quotaNow returns the time for quotas. Unlike the monotonic clock of the runtime it goes on while the machine is suspended, so that
// permits end meanwhile.
func (a *Agent) quotaNow() time.Duration { return a.proof.clock.Now() }

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
	here := a.assignQuotas()
	q.decide(q.borrower.SetTenants(a.quotaNow(), q.tenants))
	q.active.Store(active)
	tenants := len(q.tenants)
	q.mu.Unlock()
	a.Log.Info().Int("tenants", tenants).Int("home-here", here).Msg("quotas: in force")
	select {
	case q.wake <- struct{}{}:
	default: // runQuotas has not taken the last one yet
	}
	a.settleQuotas()
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
	here := a.assignQuotas()
	q.borrower.UpdateHomes()
	q.mu.Unlock()
	a.Log.Info().Int("members", len(eligible)).Int("home-here", here).Msg("quotas: homes changed")
	a.settleQuotas()
}

// quotaMembers returns the members that may be homes of tenants. This node is one of them while the store has a record of it, or had one
// so recently that no other node can have missed it: nodes without a link to it do not know it otherwise, and have another home. The
// lock of the quotas is held, so that an older list does not replace a newer one.
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
	if (a.quotas.listed || a.quotas.lender.HasRecord(a.quotaNow())) && assigner.Eligible(own) {
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

// assignQuotas chooses the homes of all tenants, and returns how many are here. The lock of the quotas is held.
func (a *Agent) assignQuotas() (here int) {
	q := a.quotas
	now, homes := a.quotaNow(), make(map[string]quotaHome, len(q.tenants))
	var own []hornbeamcroft.Tenant
	for _, t := range q.tenants {
		home, next := assigner.Assigner{}.Home(t.Name, q.members)
		previous := q.homes[t.Name].home
		if previous == home {
			previous = q.homes[t.Name].previous // it may not have handed over yet
		}
		homes[t.Name] = quotaHome{home: home, next: next, previous: previous}
		if home == a.Settings.Agent.Name {
			own = append(own, t)
		}
	}
	q.homes = homes
	q.lender.SetTenants(now, own)
	isMember := func(name string) bool {
		return slices.ContainsFunc(q.members, func(m hornbeamcroft.Member) bool { return m.Name == name && assigner.Eligible(m) })
	}
	for _, t := range own {
		q.lender.SetNext(now, t.Name, homes[t.Name].next, isMember)
	}
	return len(own)
}

// settleQuotas makes the nodes next in line know of this home, and claims tenants from their previous homes. The previous home of a
// tenant may be unknown to a node that has just started; it is then probably the node next in line.
func (a *Agent) settleQuotas() {
	q, now := a.quotas, a.quotaNow()
	claims := make(map[string][]string)
	var missing []string
	q.mu.Lock()
	for _, tenant := range q.lender.Unsettled(now) {
		previous, next := q.homes[tenant].previous, q.lender.Next(tenant)
		notLinked := func(name string) bool { return a.links.LinkTo(name) == nil }
		if len(next) == 0 && q.ownRead.Load() || len(next) > 0 && !slices.ContainsFunc(next, notLinked) {
			q.lender.Acknowledge(now, tenant)
		}
		for _, name := range next {
			claims[name] = append(claims[name], tenant)
		}
		if !slices.Contains(next, previous) {
			claims[previous] = append(claims[previous], tenant)
		}
	}
	q.mu.Unlock()
	for name, tenants := range claims {
		if name == "" || name == a.Settings.Agent.Name {
			continue
		}
		l := a.links.LinkTo(name)
		if l == nil {
			missing = append(missing, name)
			continue
		}
		for part := range slices.Chunk(tenants, hornbeamcroft.MaxPermitItems) {
			go a.send(l, framer.TypeQuotaRequest, hornbeamcroft.PermitRequest{Asked: now, Claims: part})
		}
	}
	for _, name := range missing {
		a.dialName(name)
	}
}

// onPermitRequest answers a request of another node for permits, and hands over tenants that it claims.
func (a *Agent) onPermitRequest(l *connector.Link, r hornbeamcroft.PermitRequest) {
	q := a.quotas
	q.mu.Lock()
	now := a.quotaNow()
	g := q.lender.Request(now, quotaBorrowerName(l.Peer.Name, l.Peer.Incarnation), r)
	g.Homes = a.otherHomes(g.Permits)
	for _, tenant := range r.Claims {
		if h, ok := q.lender.Release(now, tenant); ok {
			g.Handovers = append(g.Handovers, h)
		}
	}
	q.mu.Unlock()
	if len(g.Handovers) > 0 {
		a.Log.Info().Str("peer", l.Peer.Name).Int("tenants", len(g.Handovers)).Msg("quotas: handed over")
	}
	if len(g.Permits)+len(g.Handovers) > 0 {
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
	if len(g.Handovers) > 0 {
		a.Log.Info().Str("peer", l.Peer.Name).Int("tenants", len(g.Handovers)).Msg("quotas: taken over")
	}
	q := a.quotas
	q.mu.Lock()
	now := a.quotaNow()
	for _, h := range g.Handovers {
		q.lender.TakeOver(now, g.Asked, l.Peer.Name, h)
	}
	if len(g.Permits) > 0 {
		q.decide(q.borrower.Receive(now, l.Peer.Name, g))
	}
	out := q.exchange(now, a.Settings.Agent.Name, a.quotaBorrower())
	q.mu.Unlock()
	a.sendPermitRequests(out)
}

// onQuotaLinkLost tells the borrower that the last link to a node has ended.
func (a *Agent) onQuotaLinkLost(peer string) {
	if !a.quotas.active.Load() {
		return
	}
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	a.quotas.borrower.SetUnlinked(a.quotaNow(), peer)
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
