package borrower_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/assigner"
	"hornbeamcroft/borrower"
	"hornbeamcroft/lender"
)

// node is a node with its own view of the members.
type node struct {
	*fleet
	name        string
	incarnation int
	alive, cut  bool
	// refused is set while the store refuses the node, which gets proofs from others.
	refused bool
	record  record
	records
	frozenUntil time.Duration
	stopping    bool
	provenAt    time.Duration
	view        map[string]bool
	// homes holds the home and the node next in line of each tenant, and previous the last other home.
	homes    map[string][2]string
	previous map[string]string
	b        *borrower.Borrower
	l        *lender.Lender
	waits    map[uint64]*load
}

// start starts a process of the node. It knows the members of the store.
func (n *node) start() {
	n.incarnation++
	n.alive, n.provenAt = true, n.now
	n.records = records{missing: make(map[string]time.Duration), linked: make(map[string]bool), shownEra: n.era}
	n.view, n.homes, n.previous, n.waits = make(map[string]bool), nil, make(map[string]string), make(map[uint64]*load)
	for _, m := range n.nodes {
		n.view[m.name] = m == n || m.record.present(n.now)
	}
	n.l = &lender.Lender{Window: window, Over: over, Slack: slack, ApplyTime: 2500 * time.Millisecond}
	n.b = &borrower.Borrower{Home: func(tenant string) string { return n.homes[tenant][0] }}
	n.updateHomes()
	tenants := make([]hornbeamcroft.Tenant, 0, len(n.loads))
	for _, t := range n.loads {
		tenants = append(tenants, t.Tenant)
	}
	n.b.SetTenants(n.now, tenants)
}

// see changes whether the node counts another one as a member.
func (n *node) see(name string, member bool) {
	if n.view[name] != member {
		n.view[name] = member
		n.updateHomes()
	}
}

// updateHomes assigns the tenants to the members that the node knows.
func (n *node) updateHomes() {
	var members []hornbeamcroft.Member
	for _, m := range n.nodes {
		if n.view[m.name] {
			members = append(members, hornbeamcroft.Member{Name: m.name, Stopping: m == n && n.stopping})
		}
	}
	old := n.homes
	n.homes = make(map[string][2]string)
	var own []hornbeamcroft.Tenant
	for _, t := range n.loads {
		home, next := assigner.Assigner{}.Home(t.Name, members)
		n.homes[t.Name] = [2]string{home, next}
		if was := old[t.Name][0]; was != home {
			n.previous[t.Name] = was
		}
		if home == n.name {
			own = append(own, t.Tenant)
		}
	}
	n.l.SetTenants(n.now, own)
	for _, t := range own {
		n.l.SetNext(n.now, t.Name, n.homes[t.Name][1], func(name string) bool { return n.view[name] })
	}
	n.b.UpdateHomes()
}

func (n *node) peer(name string) *node {
	i := slices.IndexFunc(n.nodes, func(m *node) bool { return m.name == name })
	if i < 0 || !n.nodes[i].alive || n.nodes[i].cut != n.cut {
		return nil
	}
	return n.nodes[i]
}

// tick does the periodic work of the node. A frozen node does nothing.
func (n *node) tick() {
	n.at(tickInterval, n.tick)
	if !n.alive || n.now < n.frozenUntil {
		return
	}
	n.checkLinks()
	n.callStore()
	age := n.now - n.provenAt
	if !n.cut && !n.storeDown && n.now >= n.proveAt &&
		(age > 1700*time.Millisecond || age > 400*time.Millisecond && n.rnd.IntN(40) == 0) {
		n.provenAt = n.now - n.between(0, 400*time.Millisecond) // the proof comes from a node that read the store
	}
	n.l.SetProof(n.now, n.now-n.provenAt, true)
	if n.rnd.IntN(10) == 0 {
		n.settle()
	}
	n.decide(n.b.Tick(n.now))
	n.ask()
}

// settle tells the nodes next in line that this one is the home of tenants, and claims the tenants from their previous homes.
func (n *node) settle() {
	claims := make(map[string][]string)
	for _, tenant := range n.l.Unsettled(n.now) {
		previous, next, linked := n.previous[tenant], n.l.Next(tenant), 0
		for _, name := range next {
			if m := n.peer(name); m != nil {
				n.link(m)
				linked++
			}
			claims[name] = append(claims[name], tenant)
		}
		if len(next) > 0 && linked == len(next) {
			n.l.Acknowledge(n.now, tenant)
		}
		if !slices.Contains(next, previous) {
			claims[previous] = append(claims[previous], tenant)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(claims)) {
		if name != n.name {
			n.send(name, hornbeamcroft.PermitRequest{Asked: n.now, Claims: claims[name]})
		}
	}
}

func (n *node) arrive(t *load) {
	if !n.alive || n.now < n.frozenUntil {
		return
	}
	t.sent = append(t.sent, n.now)
	d := n.b.Take(n.now, t.Name)
	if d.Verdict == borrower.Waiting {
		t.waited++
		n.waits[d.ID] = t
		n.ask()
		return
	}
	n.count(t, d)
}

func (n *node) count(t *load, d borrower.Decision) {
	switch d.Verdict {
	case borrower.Admitted:
		if n.shed > 0 && n.rnd.Float64() < n.shed {
			n.giveBack(t, d)
			return
		}
		t.admitted = append(t.admitted, n.now)
	case borrower.Exceeded:
		t.exceeded++
	default:
		t.undecided++
	}
}

func (n *node) giveBack(t *load, d borrower.Decision) {
	incarnation := n.incarnation
	n.at(n.between(0, 20*time.Millisecond), func() {
		if n.alive && n.incarnation == incarnation {
			n.decide(n.b.GiveBack(n.now, t.Name, d.PermitEpoch))
		}
	})
}

func (n *node) decide(decisions []borrower.Decision) {
	for _, d := range decisions {
		n.count(n.waits[d.ID], d)
		delete(n.waits, d.ID)
	}
}

// ask sends the requests that are due.
func (n *node) ask() {
	for _, m := range n.b.Due(n.now) {
		n.send(m.Home, m.Request)
	}
}

func (n *node) send(to string, r hornbeamcroft.PermitRequest) {
	n.deliver(to, func(home *node) {
		g := home.l.Request(home.now, fmt.Sprintf("%s/%d", n.name, n.incarnation), r)
		for _, tenant := range r.Claims {
			if h, ok := home.l.Release(home.now, tenant); ok {
				g.Handovers = append(g.Handovers, h)
				delete(n.lenders, tenant) // the next home counts what was lent
			}
		}
		for _, p := range g.Permits {
			if !p.Undecided {
				n.lent(p.Tenant, home)
			}
		}
		if len(g.Permits)+len(g.Handovers) == 0 {
			return
		}
		incarnation := n.incarnation
		home.deliver(n.name, func(n *node) {
			for _, p := range g.Permits {
				if other := n.peer(home.homes[p.Tenant][0]); p.Undecided && other != nil && !other.stopping {
					n.link(other)
				}
			}
			if n.incarnation == incarnation {
				for _, h := range g.Handovers {
					n.l.TakeOver(n.now, g.Asked, home.name, h)
				}
				n.decide(n.b.Receive(n.now, home.name, g))
				n.ask()
			}
		})
	})
}

// deliver calls receive with the named node after the time that a message takes, unless the message is lost. A message to a frozen
// node waits.
func (n *node) deliver(to string, receive func(*node)) {
	if to == n.name {
		receive(n)
		return
	}
	copies := 1
	if n.rnd.Float64() < n.loss {
		copies = 0
	} else if n.rnd.Float64() < n.duplicate {
		copies = 2
	}
	for range copies {
		n.messages++
		n.at(n.between(100*time.Microsecond, 3*time.Millisecond), func() {
			m := n.peer(to)
			if m != nil && m.now >= m.frozenUntil {
				n.link(m)
			}
			switch {
			case m == nil:
			case n.now < m.frozenUntil:
				n.at(m.frozenUntil-n.now, func() { receive(m) })
			default:
				receive(m)
			}
		})
	}
}
