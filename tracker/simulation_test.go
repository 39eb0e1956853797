package tracker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hornbeamcroft"

	"github.com/fxamacker/cbor/v2"
)

// simulation runs the trackers of a cluster on a virtual clock in steps of 1 ms and passes messages between them.
type simulation struct {
	now    time.Duration
	rng    *rand.Rand
	nodes  []*node
	byName map[string]*node
	byAddr map[string]*node
	// inFlight holds the messages under way by the millisecond of their arrival, modulo its length. The length exceeds
	// the longest delay in milliseconds.
	inFlight [512][]delivery
	// disconnected reports whether messages between two nodes are dropped; nil if none are.
	disconnected func(a, b *node) bool
	// lossRate is the share of messages that are lost, by "from>to", by the sender's name, or by "*" for all messages.
	lossRate map[string]float64
	disabled Mechanisms
	store    fakeStore
	// countTraffic is true while the sizes of messages are added to the counts of the nodes.
	countTraffic bool
}

// node is one simulated node.
type node struct {
	tracker    *Tracker
	self       hornbeamcroft.Member
	up, paused bool
	// tickPhase is the offset of the node's ticks within TickInterval.
	tickPhase time.Duration
	// backlog holds the messages that arrived while the node was paused.
	backlog        []delivery
	sent, received trafficCount
}

type trafficCount struct{ messages, bytes int }

// delivery is a message under way. size is in bytes and zero unless traffic is counted.
type delivery struct {
	from, to *node
	m        Message
	size     int
}

// frameOverhead is the size of the frame's type and the masked WebSocket header, in bytes.
const frameOverhead = 10

// newSimulation returns a simulation whose nodes are not started.
func newSimulation(zones, perZone int, disabled Mechanisms) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(1, 2)), byName: map[string]*node{}, byAddr: map[string]*node{},
		lossRate: map[string]float64{}, disabled: disabled,
		store: fakeStore{up: true, entries: map[string]hornbeamcroft.Entry{}},
	}
	for z := range zones {
		for i := range perZone {
			n := &node{tickPhase: time.Duration(sim.rng.IntN(50)) * time.Millisecond}
			n.self = hornbeamcroft.Member{
				Name: fmt.Sprintf("z%d-n%d", z+1, i+1), Service: fmt.Sprintf("s%d", i%3), Zone: fmt.Sprintf("z%d", z+1),
				Address: fmt.Sprintf("10.%d.%d.%d:7101", z+1, i/250, i%250+1), State: hornbeamcroft.MemberServing,
			}
			sim.nodes = append(sim.nodes, n)
			sim.byName[n.self.Name], sim.byAddr[n.self.Address] = n, n
		}
	}
	return sim
}

// start starts a node with a new tracker.
func (sim *simulation) start(n *node, peers ...string) {
	// The incarnation is in milliseconds since 1970, as in production, so that messages have a realistic size.
	n.self.Incarnation = 1_790_000_000_000 + uint64(sim.now/time.Millisecond)
	t, err := New(sim.now, Config{Self: n.self, Disabled: sim.disabled, Peers: peers})
	if err != nil {
		panic(err)
	}
	t.SetVersions(120_000, 1<<63)
	n.tracker, n.up, n.paused, n.backlog = t, true, false, nil
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += time.Millisecond {
		slot := &sim.inFlight[sim.now/time.Millisecond%time.Duration(len(sim.inFlight))]
		due := *slot
		*slot = nil
		for _, d := range due {
			sim.deliver(d)
		}
		for _, n := range sim.nodes {
			if n.up && !n.paused && sim.now%TickInterval == n.tickPhase {
				sim.send(n, n.tracker.Tick(sim.now, sim.rng))
				sim.store.serve(sim, n)
			}
		}
	}
}

func (sim *simulation) deliver(d delivery) {
	switch {
	case !d.to.up:
	case d.to.paused:
		d.to.backlog = append(d.to.backlog, d)
	default:
		d.to.received.messages++
		d.to.received.bytes += d.size
		sim.send(d.to, d.to.tracker.Receive(sim.now, d.from.self.Name, d.m))
	}
}

func (sim *simulation) send(n *node, out []Outgoing) {
	for _, o := range out {
		to := sim.byAddr[o.Address]
		if to == nil {
			to = sim.byName[o.To]
		}
		if to == nil {
			continue // no node has this address
		}
		d := delivery{from: n, to: to, m: o.Message}
		if err := o.Message.Check(); err != nil {
			panic(err)
		}
		if sim.countTraffic {
			b, err := cbor.Marshal(o.Message)
			if err != nil {
				panic(err)
			}
			d.size = len(b) + frameOverhead
			n.sent.messages++
			n.sent.bytes += d.size
		}
		lost := max(sim.lossRate["*"], sim.lossRate[n.self.Name+">"+to.self.Name], sim.lossRate[n.self.Name])
		if sim.rng.Float64() < lost || (sim.disconnected != nil && sim.disconnected(n, to)) {
			continue
		}
		at := (sim.now + sim.delay(n, to)) / time.Millisecond % time.Duration(len(sim.inFlight))
		sim.inFlight[at] = append(sim.inFlight[at], d)
	}
}

// delay returns the one-way delay: 1 ms within a zone, 2 ms between zones of a region, 40 ms between regions.
func (sim *simulation) delay(a, b *node) time.Duration {
	switch {
	case a.self.Zone == b.self.Zone:
		return time.Millisecond
	case region(a.self.Zone) == region(b.self.Zone):
		return 2 * time.Millisecond
	}
	return 40 * time.Millisecond
}

// region returns the index of a zone's region. A region has four zones.
func region(zone string) int {
	var z int
	fmt.Sscanf(zone, "z%d", &z)
	return (z - 1) / 4
}

// find returns the nodes that a name selects: "z2-n3" selects one node, "zone:z2" the nodes of a zone, "monitors:z2-n3"
// the monitors of a node, and "relay1:z2" the live member of lowest rank in a zone, "relay2:z2" the second lowest.
func (sim *simulation) find(name string) []*node {
	kind, arg, _ := strings.Cut(name, ":")
	var out []*node
	for _, n := range sim.nodes {
		rankInZone := 0
		if n.up && !n.paused {
			rankInZone = slices.Index(names(n.tracker.zone(n.self.Zone).live()), n.self.Name) + 1
		}
		switch {
		case n.self.Name == name,
			kind == "zone" && n.self.Zone == arg,
			kind == "monitors" &&
				slices.Contains(names(sim.byName[arg].tracker.zone(n.self.Zone).neighbours(arg, 1)), n.self.Name),
			kind == fmt.Sprint("relay", rankInZone) && n.self.Zone == arg:
			out = append(out, n)
		}
	}
	return out
}

// countRouting returns how many running nodes other than the member itself would send new work to it, and how many such
// nodes there are. The target is the member's name; "z1-n5@z2" counts the nodes of zone z2 only.
func (sim *simulation) countRouting(target string) (routing, all int) {
	name, zone, oneZone := strings.Cut(target, "@")
	for _, n := range sim.nodes {
		if !n.up || n.paused || n.self.Name == name || (oneZone && n.self.Zone != zone) {
			continue
		}
		all++
		if v, ok := n.tracker.Lookup(name); ok && v.Routable() {
			routing++
		}
	}
	return routing, all
}

// rostersAgree reports whether all live nodes have the same roster hash.
func (sim *simulation) rostersAgree() bool {
	hashes := map[uint64]bool{}
	for _, n := range sim.nodes {
		if n.up {
			hashes[n.tracker.hash] = true
		}
	}
	return len(hashes) == 1
}

// fakeStore holds the zone rosters. It grants each zone's lease to a node that wants it once the former holder has not
// renewed the lease for more than 3 s.
type fakeStore struct {
	// up is false while the store is unreachable. losesReplies makes writes take effect but fail with a timeout.
	up, losesReplies bool
	revision         int64
	calls            int
	writes           int
	entries          map[string]hornbeamcroft.Entry
	leases           map[string]*lease
}

type lease struct {
	holder   *node
	revision int64
	renewed  time.Duration
}

// serve carries out the store request of a node and renews its lease.
func (s *fakeStore) serve(sim *simulation, n *node) {
	if n.tracker.WantsLease() {
		s.renew(sim, n)
	}
	w := n.tracker.NextStoreRequest(sim.now)
	if w.Action == StoreNone {
		return
	}
	s.calls++
	r := StoreResult{Action: w.Action}
	switch {
	case !s.up:
		r.Err = hornbeamcroft.ErrStoreUnreachable
	case w.Action == StoreList:
		for _, e := range s.entries {
			r.Entries = append(r.Entries, e)
		}
	default:
		r.Txn = s.write(w)
		if s.losesReplies {
			r.Err = context.DeadlineExceeded
		}
	}
	sim.send(n, n.tracker.OnStoreResult(sim.now, r))
}

func (s *fakeStore) write(w StoreRequest) hornbeamcroft.TxnResult {
	zone := strings.TrimPrefix(w.Puts[0].Key, hornbeamcroft.KeyZonePrefix)
	s.writes++
	if s.leases[zone].revision != w.Conditions[0].ModRevision ||
		s.entries[w.Puts[0].Key].ModRevision != w.Conditions[1].ModRevision {
		return hornbeamcroft.TxnResult{}
	}
	s.revision++
	s.entries[w.Puts[0].Key] = hornbeamcroft.Entry{Key: w.Puts[0].Key, Value: w.Puts[0].Value, ModRevision: s.revision}
	return hornbeamcroft.TxnResult{Succeeded: true, Revision: s.revision}
}

// renew grants or renews the lease of the node's zone, or tells the node that it does not hold the lease.
func (s *fakeStore) renew(sim *simulation, n *node) {
	if s.leases == nil {
		s.leases = map[string]*lease{}
	}
	zone := n.self.Zone
	current := s.leases[zone]
	switch {
	case !s.up, current != nil && current.holder != n && sim.now-current.renewed <= 3*time.Second:
		n.tracker.SetLease(0)
	case current == nil || current.holder != n:
		s.calls++
		s.revision++
		s.leases[zone] = &lease{holder: n, revision: s.revision, renewed: sim.now}
		n.tracker.SetLease(s.revision)
	case current.holder == n && sim.now-current.renewed >= time.Second:
		s.calls++
		current.renewed = sim.now
		n.tracker.SetLease(current.revision)
	}
}

// resume ends the pause of a node and delivers the messages that arrived meanwhile.
func (sim *simulation) resume(n *node) {
	if !n.paused {
		return
	}
	n.paused = false
	// A process that resumes runs its expired timers first, then reads the data that waits in its sockets.
	sim.send(n, n.tracker.Tick(sim.now, sim.rng))
	for _, d := range n.backlog {
		sim.deliver(d)
	}
	n.backlog = nil
}

// storeMatches reports whether the store holds exactly the live members of the zone.
func (sim *simulation) storeMatches(zone string) bool {
	var r StoredRoster
	if cbor.Unmarshal(sim.store.entries[hornbeamcroft.KeyZonePrefix+zone].Value, &r) != nil {
		return false
	}
	var want uint64
	for _, n := range sim.nodes {
		if n.up && n.self.Zone == zone {
			want = n.tracker.zone(zone).hash
		}
	}
	for _, m := range r.Members {
		want ^= recordHash(m)
	}
	return want == 0
}
