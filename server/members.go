package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/tracker"
)

// catchUpInterval bounds how often a newer document is asked for.
const catchUpInterval = 200 * time.Millisecond

// membership drives the tracker: it passes in time and messages, and sends what comes back.
type membership struct {
	s *Server

	mu      sync.Mutex
	tracker *tracker.Tracker
	random  *rand.Rand
	version uint64
	views   []tracker.View
	byServe map[string][]hornbeamcroft.Member
	dialing map[string]bool
	askedAt time.Duration
}

func newMembership(s *Server) (*membership, error) {
	n := s.Settings.Node
	state := hornbeamcroft.MemberStarting
	if n.Upstream == "" {
		state = hornbeamcroft.MemberServing
	}
	t, err := tracker.New(s.clock.Now(), tracker.Config{
		Self: hornbeamcroft.Member{
			Name: n.Name, Service: n.Service, Zone: n.Zone, Address: n.Listen, Incarnation: s.incarnation, State: state,
		},
		Peers: n.Peers,
	})
	if err != nil {
		return nil, err
	}
	return &membership{
		s: s, tracker: t, dialing: make(map[string]bool),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, nil
}

// run ticks the tracker until ctx ends.
func (m *membership) run(ctx context.Context) {
	t := time.NewTicker(tracker.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.Tick(now, m.random) })
		m.keepLinks(ctx)
		m.catchUp()
	}
}

// step runs fn under the lock, takes over changes and sends the messages.
func (m *membership) step(fn func(now time.Duration) []tracker.Outgoing) {
	m.mu.Lock()
	out := fn(m.s.clock.Now())
	changed := m.tracker.Version() != m.version
	if changed {
		m.version = m.tracker.Version()
		m.views = m.tracker.Members()
	}
	views := m.views
	m.mu.Unlock()
	if changed {
		m.publish(views)
	}
	for _, o := range out {
		m.send(o)
	}
}

// publish passes the members that may get work to the forwarder.
func (m *membership) publish(views []tracker.View) {
	var live []hornbeamcroft.Member
	byService := make(map[string][]hornbeamcroft.Member)
	for _, v := range views {
		if v.Routable() && v.Service != "" {
			live = append(live, v.Member)
			byService[v.Service] = append(byService[v.Service], v.Member)
		}
	}
	m.mu.Lock()
	m.byServe = byService
	m.mu.Unlock()
	m.s.forwarder.Update(live)
	m.s.updateTarget(byService[m.s.Settings.Node.Service])
}

// service returns the members of a service that may get work.
func (m *membership) service(name string) []hornbeamcroft.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byServe[name]
}

// keepLinks opens the links that the tracker wants.
func (m *membership) keepLinks(ctx context.Context) {
	m.mu.Lock()
	peers := m.tracker.Links()
	m.mu.Unlock()
	for _, p := range peers {
		if m.s.links.DialedLink(p.Address) == nil {
			m.dial(ctx, p.Address)
		}
	}
}

// catchUp asks a member that has a newer document. The tracker names one; asking is limited by the distributor.
func (m *membership) catchUp() {
	m.mu.Lock()
	p, behind := m.tracker.Behind()
	now := m.s.clock.Now()
	due := behind && now-m.askedAt >= catchUpInterval
	if due {
		m.askedAt = now
	}
	m.mu.Unlock()
	if !due {
		return
	}
	if l := m.s.links.LinkTo(p.Name); l != nil {
		m.s.documents.offer(l)
		return
	}
	m.dial(context.Background(), p.Address)
}

// dial opens a link in the background, at most once at a time for an address.
func (m *membership) dial(ctx context.Context, address string) {
	m.mu.Lock()
	busy := m.dialing[address]
	m.dialing[address] = true
	m.mu.Unlock()
	if busy {
		return
	}
	go func() {
		_, _ = m.s.links.Link(ctx, address)
		m.mu.Lock()
		delete(m.dialing, address)
		m.mu.Unlock()
	}()
}

// lookup returns the view of a member.
func (m *membership) lookup(name string) (tracker.View, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Lookup(name)
}

// setVersions passes the document revision to the heartbeats.
func (m *membership) setVersions(document uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetVersions(document, 0)
}

// pushTargets returns the live members of the zone and the peers that the tracker links to, if this node is a relay.
func (m *membership) pushTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.tracker.IsRelay() {
		return nil
	}
	self := m.tracker.Self()
	seen := map[string]bool{self.Name: true}
	var names []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for _, p := range m.tracker.Links() {
		add(p.Name)
	}
	for _, v := range m.views {
		if v.Zone == self.Zone && v.State < hornbeamcroft.MemberLeft {
			add(v.Name)
		}
	}
	return names
}

// neighbours returns the names of the peers that the tracker links to.
func (m *membership) neighbours() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, p := range m.tracker.Links() {
		names = append(names, p.Name)
	}
	return names
}

func (m *membership) wantsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.WantsLease()
}

// storeWork passes the lease and returns the store request that is due.
func (m *membership) storeWork(lease int64) tracker.StoreRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetLease(lease)
	return m.tracker.StoreWork(m.s.clock.Now())
}

// relays reports whether this node is a relay, and the relays of its zone.
func (m *membership) relays() (bool, []tracker.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.IsRelay(), m.tracker.Relays()
}

// announce changes the own state in the roster.
func (m *membership) announce(state hornbeamcroft.MemberState) {
	m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.Announce(now, state, 0) })
}

// self returns the own record.
func (m *membership) self() hornbeamcroft.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Self()
}

// all returns all known members.
func (m *membership) all() []tracker.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views
}
