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

// loop passes messages between cores on a virtual clock in steps of 1 ms.
type loop struct {
	now      time.Duration
	rng      *rand.Rand
	nodes    []*node
	byName   map[string]*node
	byAddr   map[string]*node
	wire     [512][]delivery
	cut      func(a, b *node) bool
	loss     map[string]float64 // by "from>to"; "*" for all
	off      Switches
	store    fakeStore
	measured bool
}

type node struct {
	t              *Tracker
	self           hornbeamcroft.Member
	up, paused     bool
	phase          time.Duration
	backlog        []delivery
	sent, received traffic
}

type traffic struct{ messages, bytes int }

type delivery struct {
	from, to *node
	m        Message
	size     int
}

// frameOverhead is the frame's type and the WebSocket header with mask, in bytes.
const frameOverhead = 10

func newLoop(zones, perZone int, off Switches) *loop {
	l := &loop{
		rng: rand.New(rand.NewPCG(1, 2)), byName: map[string]*node{}, byAddr: map[string]*node{},
		loss: map[string]float64{}, off: off, store: fakeStore{up: true, entries: map[string]hornbeamcroft.Entry{}},
	}
	for z := range zones {
		for i := range perZone {
			n := &node{phase: time.Duration(l.rng.IntN(50)) * time.Millisecond}
			n.self = hornbeamcroft.Member{
				Name: fmt.Sprintf("z%d-n%d", z+1, i+1), Service: fmt.Sprintf("s%d", i%3), Zone: fmt.Sprintf("z%d", z+1),
				Address: fmt.Sprintf("10.%d.%d.%d:7101", z+1, i/250, i%250+1), State: hornbeamcroft.MemberServing,
			}
			l.nodes = append(l.nodes, n)
			l.byName[n.self.Name], l.byAddr[n.self.Address] = n, n
		}
	}
	return l
}

// boot starts a node.
func (l *loop) boot(n *node, peers ...string) {
	// Milliseconds since 1970, so that messages have their usual size.
	n.self.Incarnation = 1_790_000_000_000 + uint64(l.now/time.Millisecond)
	t, err := New(l.now, Config{Self: n.self, Off: l.off, Peers: peers})
	if err != nil {
		panic(err)
	}
	t.SetVersions(120_000, 1<<63)
	n.t, n.up, n.paused, n.backlog = t, true, false, nil
}

func (l *loop) run(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += time.Millisecond {
		slot := &l.wire[l.now/time.Millisecond%time.Duration(len(l.wire))]
		due := *slot
		*slot = nil
		for _, d := range due {
			l.deliver(d)
		}
		for _, n := range l.nodes {
			if n.up && !n.paused && l.now%TickInterval == n.phase {
				l.send(n, n.t.Tick(l.now, l.rng))
				l.store.serve(l, n)
			}
		}
	}
}

func (l *loop) deliver(d delivery) {
	switch {
	case !d.to.up:
	case d.to.paused:
		d.to.backlog = append(d.to.backlog, d)
	default:
		d.to.received.messages++
		d.to.received.bytes += d.size
		l.send(d.to, d.to.t.Receive(l.now, d.from.self.Name, d.m))
	}
}

func (l *loop) send(n *node, out []Outgoing) {
	for _, o := range out {
		to := l.byAddr[o.Address]
		if to == nil {
			to = l.byName[o.To]
		}
		if to == nil {
			continue // nobody listens there
		}
		d := delivery{from: n, to: to, m: o.Message}
		if err := o.Message.Check(); err != nil {
			panic(err)
		}
		if l.measured {
			b, err := cbor.Marshal(o.Message)
			if err != nil {
				panic(err)
			}
			d.size = len(b) + frameOverhead
			n.sent.messages++
			n.sent.bytes += d.size
		}
		lost := max(l.loss["*"], l.loss[n.self.Name+">"+to.self.Name], l.loss[n.self.Name])
		if l.rng.Float64() < lost || (l.cut != nil && l.cut(n, to)) {
			continue
		}
		at := (l.now + l.delay(n, to)) / time.Millisecond % time.Duration(len(l.wire))
		l.wire[at] = append(l.wire[at], d)
	}
}

// delay is one way: 1 ms in a zone, 2 ms between zones, 40 ms between regions of four zones.
func (l *loop) delay(a, b *node) time.Duration {
	switch {
	case a.self.Zone == b.self.Zone:
		return time.Millisecond
	case region(a.self.Zone) == region(b.self.Zone):
		return 2 * time.Millisecond
	}
	return 40 * time.Millisecond
}

func region(zone string) int {
	var z int
	fmt.Sscanf(zone, "z%d", &z)
	return (z - 1) / 4
}

// find resolves a name, "zone:z2", "monitors:z2-n3" or "relay1:z2", the relay of lowest rank.
func (l *loop) find(name string) []*node {
	kind, arg, _ := strings.Cut(name, ":")
	var out []*node
	for _, n := range l.nodes {
		place := 0
		if n.up && !n.paused {
			place = slices.Index(names(n.t.zone(n.self.Zone).live()), n.self.Name) + 1
		}
		switch {
		case n.self.Name == name,
			kind == "zone" && n.self.Zone == arg,
			kind == "monitors" && slices.Contains(names(l.byName[arg].t.zone(n.self.Zone).neighbours(arg, 1)), n.self.Name),
			kind == fmt.Sprint("relay", place) && n.self.Zone == arg:
			out = append(out, n)
		}
	}
	return out
}

// routing counts the nodes that would send new work to the member, other than itself. "n@z1" asks zone z1 only.
func (l *loop) routing(place string) (routing, all int) {
	name, zone, some := strings.Cut(place, "@")
	for _, n := range l.nodes {
		if !n.up || n.paused || n.self.Name == name || (some && n.self.Zone != zone) {
			continue
		}
		all++
		if v, ok := n.t.Lookup(name); ok && v.Routable() {
			routing++
		}
	}
	return routing, all
}

func (l *loop) agree() bool {
	seen := map[uint64]bool{}
	for _, n := range l.nodes {
		if n.up {
			seen[n.t.hash] = true
		}
	}
	return len(seen) == 1
}

// fakeStore holds the rosters and grants each zone's lease to the node that wants it, once the former holder is gone
// for 3 s.
type fakeStore struct {
	up, forgetful bool
	revision      int64
	calls         int
	writes        int
	entries       map[string]hornbeamcroft.Entry
	leases        map[string]*lease
}

type lease struct {
	holder   *node
	revision int64
	renewed  time.Duration
}

func (s *fakeStore) serve(l *loop, n *node) {
	if n.t.WantsLease() {
		s.renew(l, n)
	}
	w := n.t.StoreWork(l.now)
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
		if s.forgetful {
			r.Err = context.DeadlineExceeded
		}
	}
	l.send(n, n.t.StoreDone(l.now, r))
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

func (s *fakeStore) renew(l *loop, n *node) {
	if s.leases == nil {
		s.leases = map[string]*lease{}
	}
	zone := n.self.Zone
	v := s.leases[zone]
	switch {
	case !s.up, v != nil && v.holder != n && l.now-v.renewed <= 3*time.Second:
		n.t.SetLease(0)
	case v == nil || v.holder != n:
		s.calls++
		s.revision++
		s.leases[zone] = &lease{holder: n, revision: s.revision, renewed: l.now}
		n.t.SetLease(s.revision)
	case v.holder == n && l.now-v.renewed >= time.Second:
		s.calls++
		v.renewed = l.now
		n.t.SetLease(v.revision)
	}
}

func (l *loop) resume(n *node) {
	if !n.paused {
		return
	}
	n.paused = false
	// A process that wakes runs its timers first, then reads what waited in its sockets.
	l.send(n, n.t.Tick(l.now, l.rng))
	for _, d := range n.backlog {
		l.deliver(d)
	}
	n.backlog = nil
}

// stored reports whether the store holds exactly the live members of the zone.
func (l *loop) stored(zone string) bool {
	var r StoredRoster
	if cbor.Unmarshal(l.store.entries[hornbeamcroft.KeyZonePrefix+zone].Value, &r) != nil {
		return false
	}
	var want uint64
	for _, n := range l.nodes {
		if n.up && n.self.Zone == zone {
			want = n.t.zone(zone).hash
		}
	}
	for _, m := range r.Members {
		want ^= recordHash(m)
	}
	return want == 0
}
