package attester

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamcroft"
)

// event is something that happens in the model at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// modelNode is a node of the model. Its clock differs from the model's time by offset.
type modelNode struct {
	Attester
	offset  time.Duration
	version int64
	links   map[string]bool
	// refused is true while the store refuses the node, cut while none of its messages and calls arrives, and frozenUntil the
	// time until which what arrives waits.
	refused, cut bool
	frozenUntil  time.Duration
	oldest       time.Duration
}

// model is a fleet with one store.
type model struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Duration
	queue   events
	order   int
	nodes   map[string]*modelNode
	names   []string
	version int64
	// storedAt is when each version was acknowledged.
	storedAt        map[int64]time.Duration
	calls, messages int
	// checkFrom is when proofs begin to be held against maxAge.
	checkFrom, maxAge time.Duration
}

const (
	modelTick = 50 * time.Millisecond
	// linksPerService is the number of links of a node to each service that it calls.
	linksPerService = 16
	// subscribed is the time in which the store's watch delivers a change, and requested that in which a peer does.
	subscribed = 100 * time.Millisecond
	requested  = 400 * time.Millisecond
)

// newModel returns a fleet whose nodes have links to so many services that they call.
func newModel(t *testing.T, n, services int, seed uint64) *model {
	m := &model{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*modelNode{}, version: 1,
		storedAt: map[int64]time.Duration{1: 0}, checkFrom: 3 * time.Second, maxAge: 2 * time.Second,
	}
	var members []hornbeamcroft.Member
	for i := range n {
		members = append(members, hornbeamcroft.Member{Name: fmt.Sprintf("node-%03d", i), Zone: fmt.Sprint("zone-", i%3)})
	}
	for _, member := range members {
		node := &modelNode{links: map[string]bool{}, offset: time.Duration(m.rand.Int64N(int64(time.Hour)))}
		node.Name, node.Zone, node.Rand = member.Name, member.Zone, m.rand
		node.SetMembers(members)
		m.nodes[member.Name] = node
		m.names = append(m.names, member.Name)
	}
	for _, name := range m.names {
		for range linksPerService * services {
			if peer := m.names[m.rand.IntN(n)]; peer != name {
				m.nodes[name].links[peer], m.nodes[peer].links[name] = true, true
			}
		}
		node := m.nodes[name]
		m.after(m.between(0, time.Second), func() {
			m.apply(node, m.version)
			m.tick(node)
		})
	}
	return m
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rand.Int64N(int64(high-low)))
}

func (m *model) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.queue, event{m.now + d, m.order, run})
}

// at runs on the node after the time; later if the node is frozen then.
func (m *model) at(n *modelNode, d time.Duration, run func()) {
	m.after(d, func() {
		if n.frozenUntil > m.now {
			m.at(n, n.frozenUntil-m.now, run)
			return
		}
		run()
	})
}

func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = until
}

func (m *model) clock(n *modelNode) time.Duration { return m.now + n.offset }

func (m *model) apply(n *modelNode, version int64) {
	if version > n.version {
		n.version = version
		n.Applied(m.clock(n), version, uint64(version), true)
	}
}

func (m *model) peers(n *modelNode) func() []Peer {
	return func() []Peer {
		var peers []Peer
		for _, name := range m.names {
			if n.links[name] {
				peers = append(peers, Peer{name, m.nodes[name].Zone})
			}
		}
		return peers
	}
}

func (m *model) tick(n *modelNode) {
	if n.Reads(m.clock(n)) {
		m.read(n)
	}
	queries, peers := n.Pull(m.clock(n), m.peers(n))
	for i, p := range peers {
		m.send(n, p.Name, queries[i])
	}
	for _, member := range n.Links(m.clock(n), m.peers(n)) {
		m.at(n, m.between(time.Millisecond, 20*time.Millisecond), func() {
			if !n.cut && !m.nodes[member.Name].cut {
				n.links[member.Name], m.nodes[member.Name].links[n.Name] = true, true
			}
		})
	}
	m.check(n)
	m.at(n, modelTick, func() { m.tick(n) })
}

// check holds the proof against the versions that were stored, and its age against the limit.
func (m *model) check(n *modelNode) {
	age, proven := n.Age(m.clock(n), n.version)
	if proven {
		for version, at := range m.storedAt {
			if version > n.version && at <= m.now-age {
				m.t.Fatalf("%v: %s has version %d and a proof of age %v, but version %d was stored at %v", m.now, n.Name, n.version, age,
					version, at)
			}
		}
	}
	if m.now >= m.checkFrom && !n.cut && n.frozenUntil < m.checkFrom {
		if !proven {
			age = m.now
		}
		if n.oldest = max(n.oldest, age); age >= m.maxAge {
			m.t.Fatalf("%v: the proof of %s has age %v", m.now, n.Name, age)
		}
	}
}

// read makes a call to the store.
func (m *model) read(n *modelNode) {
	m.calls++
	at := m.clock(n)
	if n.cut {
		m.at(n, 700*time.Millisecond, n.Refused)
		return
	}
	m.after(m.between(time.Millisecond, 10*time.Millisecond), func() {
		refused, version := n.refused, m.version
		m.at(n, m.between(time.Millisecond, 10*time.Millisecond), func() {
			if refused {
				n.Refused()
				return
			}
			m.apply(n, version)
			n.Asked(Proof{At: at, Version: version, Sum: uint64(version), Era: 1})
			m.offer(n)
		})
	})
}

func (m *model) offer(n *modelNode) {
	offer, peers := n.Offer(m.clock(n), m.peers(n))
	for _, p := range peers {
		m.send(n, p.Name, offer)
	}
}

func (m *model) send(n *modelNode, to string, message Message) {
	m.messages++
	peer := m.nodes[to]
	m.at(peer, m.between(500*time.Microsecond, 10*time.Millisecond), func() {
		if !n.cut && !peer.cut {
			m.receive(peer, n, message)
		}
	})
}

func (m *model) receive(n, from *modelNode, message Message) {
	var reply Message
	var replies, newer bool
	switch message.Kind {
	case KindOffer:
		reply, replies, newer = n.Offered(m.clock(n), from.Name, message)
	case KindQuery:
		reply, replies = n.Answer(m.clock(n), message)
	case KindAnswer:
		newer = n.Passed(m.clock(n), from.Name, message)
		m.offer(n)
	}
	if replies {
		m.send(n, from.Name, reply)
	}
	if newer {
		m.at(n, requested, func() { m.apply(n, message.Version) })
	}
}

// change stores a new version. The watches deliver it to the nodes that the store serves.
func (m *model) change() {
	m.version++
	m.storedAt[m.version] = m.now
	version := m.version
	for _, name := range m.names {
		if n := m.nodes[name]; !n.refused && !n.cut {
			m.at(n, m.between(0, subscribed), func() { m.apply(n, version) })
		}
	}
}

// report logs the oldest proof, and the calls and messages since the counts were reset.
func (m *model) report(took time.Duration) (messagesPerNode float64) {
	oldest := time.Duration(0)
	for _, n := range m.nodes {
		oldest = max(oldest, n.oldest)
	}
	messagesPerNode = float64(m.messages) / took.Seconds() / float64(len(m.nodes))
	m.t.Logf("%d nodes: oldest proof %v, %.2f store calls/s, %.1f messages/s sent by a node", len(m.nodes), oldest,
		float64(m.calls)/took.Seconds(), messagesPerNode)
	return messagesPerNode
}
