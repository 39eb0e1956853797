package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/publisher"
	"hornbeamcroft/tracker"
)

// catchUpInterval is the least time between two requests for a newer document.
const catchUpInterval = 200 * time.Millisecond

// membership runs the tracker: it passes the time and received messages to the tracker, and sends the messages that the
// tracker returns.
type membership struct {
	s *Server

	mu      sync.Mutex
	tracker *tracker.Tracker
	random  *rand.Rand
	// views are the views that the tracker returned when its ChangeCount was changeCount.
	changeCount uint64
	views       []tracker.View
	// publisher passes views on.
	publisher *publisher.Publisher[[]tracker.View]
	// routable holds the members that may receive new work, by service.
	routable map[string][]hornbeamcroft.Member
	// dialing holds the addresses to which a link is being dialed.
	dialing map[string]bool
	// documentRequestedAt is the time at which a newer document was last requested.
	documentRequestedAt time.Duration
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
	m := &membership{
		s: s, tracker: t, dialing: make(map[string]bool),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	m.publisher = &publisher.Publisher[[]tracker.View]{Version: m.version, Load: m.allViews, Publish: m.publish}
	return m, nil
}

// run ticks the tracker and keeps the links and the document up to date, until ctx ends.
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

// step runs fn under the lock, publishes the members if they changed and sends the messages that fn returns.
func (m *membership) step(fn func(now time.Duration) []tracker.Outgoing) {
	m.mu.Lock()
	out := fn(m.s.clock.Now())
	if m.tracker.ChangeCount() != m.changeCount {
		m.changeCount = m.tracker.ChangeCount()
		m.views = m.tracker.Members()
	}
	m.mu.Unlock()
	m.publisher.Update()
	for _, o := range out {
		m.send(o)
	}
}

// publish passes the members that may receive new work to the forwarder, and those of this node's service to the
// arbiter and the quarantiner.
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
	m.routable = byService
	m.mu.Unlock()
	m.s.forwarder.Update(live)
	m.s.updateServiceMembers(byService[m.s.Settings.Node.Service])
}

// routableMembers returns the members of a service that may receive new work.
func (m *membership) routableMembers(name string) []hornbeamcroft.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.routable[name]
}

// keepLinks dials the links that the tracker requires and that are not open.
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

// catchUp requests the document from a member that has a newer one, if the tracker knows such a member, at most once
// per catchUpInterval. The distributor limits the requests per revision.
func (m *membership) catchUp() {
	m.mu.Lock()
	p, ok := m.tracker.NewerPeer()
	now := m.s.clock.Now()
	due := ok && now-m.documentRequestedAt >= catchUpInterval
	if due {
		m.documentRequestedAt = now
	}
	m.mu.Unlock()
	if !due {
		return
	}
	if l := m.s.links.LinkTo(p.Name); l != nil {
		m.s.documents.sendDigest(l)
		return
	}
	m.dial(context.Background(), p.Address)
}

// dial opens a link in the background. It does nothing while an earlier call dials the same address.
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

// lookup returns the view of the named member. It reports false if the member is not known.
func (m *membership) lookup(name string) (tracker.View, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Lookup(name)
}

// setDocumentRevision sets the document revision that heartbeats carry.
func (m *membership) setDocumentRevision(revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetVersions(revision, 0)
}

// pushTargets returns the names of the nodes that a relay pushes document changes to: the live members of its zone and
// the peers that the tracker keeps links to. It returns nil if this node is not a relay.
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

// linkedPeers returns the names of the peers that the tracker keeps links to.
func (m *membership) linkedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, p := range m.tracker.Links() {
		names = append(names, p.Name)
	}
	return names
}

// wantsLease reports whether this node should hold the lease of its zone's roster.
func (m *membership) wantsLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.WantsLease()
}

// nextStoreRequest passes the ModRevision of the held lease key, or zero, to the tracker and returns the store request
// that is due.
func (m *membership) nextStoreRequest(leaseRevision int64) tracker.StoreRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.SetLease(leaseRevision)
	return m.tracker.NextStoreRequest(m.s.clock.Now())
}

// relays reports whether this node is a relay and returns the relays of its zone by rank.
func (m *membership) relays() (bool, []tracker.Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.IsRelay(), m.tracker.Relays()
}

// announce changes the state in this node's own record and sends the record to other members.
func (m *membership) announce(state hornbeamcroft.MemberState) {
	m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.Announce(now, state, 0) })
}

// self returns this node's own record.
func (m *membership) self() hornbeamcroft.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Self()
}

// version returns the number of changes of the views.
func (m *membership) version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changeCount
}

// allViews returns the views of all known members.
func (m *membership) allViews() []tracker.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views
}
