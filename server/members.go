package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
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
		if m.s.links.Existing(p.Address) == nil {
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
	if l := m.s.links.Peer(p.Name); l != nil {
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

// frameType returns the frame type of a tracker message.
func frameType(msg tracker.Message) framer.Type {
	switch msg.(type) {
	case tracker.Heartbeat:
		return framer.TypeHeartbeat
	case tracker.Suspect:
		return framer.TypeSuspicion
	case tracker.RosterChange:
		return framer.TypeRosterChange
	}
	return framer.TypeRosterDigest
}

// send sends a tracker message.
func (m *membership) send(o tracker.Outgoing) {
	m.deliver(o.To, o.Address, frameType(o.Message), o.Message)
}

// deliver sends a message over an existing link, or dials one. What cannot be sent is dropped; the cores repair it.
func (m *membership) deliver(name, address string, t framer.Type, message any) {
	l := m.s.links.Peer(name)
	if l == nil && address != "" {
		l = m.s.links.Existing(address)
	}
	if l != nil {
		go func() { _ = l.Send(t, message) }()
		return
	}
	if address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if l, err := m.s.links.Link(ctx, address); err == nil {
			_ = l.Send(t, message)
		}
	}()
}

func (m *membership) linkUp(l *connector.Link) {
	m.s.documents.offer(l)
	m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.LinkUp(now, l.Peer.Name) })
}

// receive decodes a tracker message and passes it in.
func (m *membership) receive(l *connector.Link, t framer.Type, payload []byte) error {
	msg, err := decode(t, payload)
	if err != nil {
		return err
	}
	m.step(func(now time.Duration) []tracker.Outgoing { return m.tracker.Receive(now, l.Peer.Name, msg) })
	return nil
}

func decode(t framer.Type, payload []byte) (tracker.Message, error) {
	switch t {
	case framer.TypeHeartbeat:
		return decodeAs[tracker.Heartbeat](payload)
	case framer.TypeSuspicion:
		return decodeAs[tracker.Suspect](payload)
	case framer.TypeRosterChange:
		return decodeAs[tracker.RosterChange](payload)
	case framer.TypeRosterDigest:
		return decodeAs[tracker.RosterDigest](payload)
	}
	return nil, errors.Errorf("frame type %d is not expected", t)
}

// decodeAs decodes a message whose Check has a value receiver.
func decodeAs[T framer.Checker](payload []byte) (framer.Checker, error) {
	var v T
	if err := framer.Decode(payload, any(&v).(framer.Checker)); err != nil {
		return nil, err
	}
	return v, nil
}

// sendTo sends a control message to a member.
func (m *membership) sendTo(name string, t framer.Type, message any) {
	v, ok := m.lookup(name)
	if !ok {
		return
	}
	m.deliver(name, v.Address, t, message)
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
