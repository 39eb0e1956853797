package tracker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"hornbeamcroft"

	"github.com/fxamacker/cbor/v2"
)

var (
	measureZones   = flag.Int("zones", 0, "zones of the cluster that TestMeasure measures; zero skips it")
	measurePerZone = flag.Int("per-zone", 56, "nodes in each zone")
	measureChanges = flag.Int("changes", 200, "deaths and drains")
	measureHours   = flag.Float64("hours", 0.25, "virtual hours of restarts")
)

const restartInterval = 166 * time.Second // 520 a day

// TestMeasure prints the figures of docs/membership.md. It guards nothing and needs -zones.
func TestMeasure(t *testing.T) {
	if *measureZones == 0 {
		t.Skip("needs -zones")
	}
	l := newLoop(*measureZones, *measurePerZone, Switches{})
	for _, n := range l.nodes {
		l.boot(n, l.nodes[0].self.Address, l.nodes[1].self.Address)
	}
	l.run(30 * time.Second)
	l.measured = true
	fmt.Printf("nodes %d, zones %d, agree %v\n", len(l.nodes), *measureZones, l.agree())
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	fmt.Printf("heap per node, loop included: %d KB\n", m.HeapAlloc/uint64(len(l.nodes))/1000)
	fmt.Printf("heap of one node with records of its own: %d KB\n", l.decoded()/1000)
	l.measured = false
	start, calls := time.Now(), l.store.calls
	l.run(20 * time.Second)
	fmt.Printf("CPU per node, idle: %.4f %% of a core\n", 100*time.Since(start).Seconds()/20/float64(len(l.nodes)))
	l.measured = true
	l.traffic("idle", 60*time.Second, func() { l.run(60 * time.Second) })
	l.restarts()
	l.times("death known everywhere", *measureChanges, func(n *node) { n.up = false })
	l.times("drain known everywhere", *measureChanges, func(n *node) {
		l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberDraining, 0))
	})
	fmt.Printf("store: %.2f calls/s without the watch of each zone\n", float64(l.store.calls-calls)/l.now.Seconds())
	for range 5 {
		l.loseZone(fmt.Sprintf("z%d", 1+l.rng.IntN(*measureZones)))
	}
}

// loseZone prints what the loss of a zone costs and how long it takes until no node routes to it, then starts it again.
func (l *loop) loseZone(name string) {
	lost := l.find("zone:" + name)
	l.run(time.Duration(l.rng.IntN(1000)) * time.Millisecond)
	l.traffic("loss of a zone, first 10 s", 10*time.Second, func() {
		for _, n := range lost {
			n.up = false
		}
		start := l.now
		for l.routable(lost) {
			l.run(5 * time.Millisecond)
		}
		fmt.Printf("loss of a zone known everywhere: %s\n", l.now-start)
		l.run(start + 10*time.Second - l.now)
	})
	for _, n := range lost {
		l.boot(n, l.nodes[0].self.Address, l.nodes[len(l.nodes)-1].self.Address)
	}
	start := l.now
	for !l.agree() {
		l.run(5 * time.Millisecond)
	}
	fmt.Printf("start of a zone known everywhere: %s\n", l.now-start)
	l.run(10 * time.Second)
}

// decoded returns the heap of a tracker whose records were decoded from messages and so share no strings.
func (l *loop) decoded() uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t, _ := New(0, Config{Self: l.nodes[0].self})
	for _, v := range l.nodes[0].t.Members() {
		b, _ := cbor.Marshal(RosterChange{Members: []hornbeamcroft.Member{v.Member}})
		m, _ := decodeAs[RosterChange](b)
		t.Receive(0, "peer", m)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(t)
	return after.HeapAlloc - before.HeapAlloc
}

func (l *loop) routable(nodes []*node) bool {
	return slices.ContainsFunc(nodes, func(n *node) bool { routing, _ := l.routing(n.self.Name); return routing > 0 })
}

func (l *loop) restarts() {
	// Whole intervals, so that the rates are those of the time that really ran.
	d := max(1, time.Duration(*measureHours*float64(time.Hour))/restartInterval) * restartInterval
	calls, writes := l.store.calls, l.store.writes
	l.traffic("520 restarts a day", d, func() {
		for end := l.now + d; l.now < end; {
			n := l.nodes[l.rng.IntN(len(l.nodes))]
			l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberDraining, 0))
			l.run(2 * time.Second)
			l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberLeft, 0))
			l.run(50 * time.Millisecond)
			n.up = false
			l.run(3 * time.Second)
			l.boot(n, l.nodes[0].self.Address, l.nodes[1].self.Address)
			l.run(restartInterval - 5050*time.Millisecond)
		}
	})
	fmt.Printf("store during restarts: %.2f calls/s without the watches, of them %.3f writes of rosters\n",
		float64(l.store.calls-calls)/d.Seconds(), float64(l.store.writes-writes)/d.Seconds())
}

// traffic prints bytes and messages per second per node; the relays are shown apart.
func (l *loop) traffic(what string, d time.Duration, fn func()) {
	for _, n := range l.nodes {
		n.sent, n.received = traffic{}, traffic{}
	}
	fn()
	var relays, others []*node
	for _, n := range l.nodes {
		switch {
		case !n.up:
		case n.t.IsRelay():
			relays = append(relays, n)
		default:
			others = append(others, n)
		}
	}
	for name, group := range map[string][]*node{"relays": relays, "others": others} {
		sum, top := traffic{}, 0
		for _, n := range group {
			sum.bytes += n.sent.bytes + n.received.bytes
			sum.messages += n.sent.messages + n.received.messages
			top = max(top, n.sent.bytes+n.received.bytes)
		}
		per := d.Seconds() * float64(max(1, len(group)))
		fmt.Printf("%s, %s: %.0f B/s and %.1f messages/s in and out; highest node %.0f B/s\n",
			what, name, float64(sum.bytes)/per, float64(sum.messages)/per, float64(top)/d.Seconds())
	}
}

// times prints how long a change takes until no node routes to the member.
func (l *loop) times(what string, count int, fn func(n *node)) {
	var all []time.Duration
	for range count {
		n := l.nodes[l.rng.IntN(len(l.nodes))]
		l.run(time.Duration(500+l.rng.IntN(500)) * time.Millisecond)
		fn(n)
		start := l.now
		for routing := 1; routing > 0 && l.now < start+10*time.Second; routing, _ = l.routing(n.self.Name) {
			l.run(5 * time.Millisecond)
		}
		all = append(all, l.now-start)
		l.boot(n, l.nodes[0].self.Address, l.nodes[1].self.Address)
		l.run(2 * time.Second)
	}
	slices.Sort(all)
	fmt.Printf("%s: p50 %s, p99 %s, max %s of %d\n",
		what, all[count/2], all[min(count-1, count*99/100)], all[count-1], count)
}

// TestMeasureLoss prints how often live members are declared dead when messages are lost. It needs -zones.
func TestMeasureLoss(t *testing.T) {
	if *measureZones == 0 {
		t.Skip("needs -zones")
	}
	for _, share := range []float64{0.1, 0.2, 0.3, 0.4} {
		l := newLoop(1, *measurePerZone, Switches{})
		for _, n := range l.nodes {
			l.boot(n, l.nodes[0].self.Address, l.nodes[1].self.Address)
		}
		l.run(10 * time.Second)
		l.loss["*"] = share
		l.run(10 * time.Minute)
		refuted := uint64(0)
		for _, n := range l.nodes {
			refuted += n.t.Self().Sequence
		}
		fmt.Printf("%.0f %% lost, %d nodes, 10 min: %d false deaths refuted\n", 100*share, len(l.nodes), refuted)
	}
}

// fleetTracker returns a core that knows 25 zones of 56 members; it is the relay of its zone if relay is true.
func fleetTracker(relay bool) *Tracker {
	l := newLoop(25, 56, Switches{})
	for _, n := range l.nodes {
		t, _ := New(0, Config{Self: n.self})
		for _, o := range l.nodes {
			t.merge(0, o.self)
		}
		if t.IsRelay() == relay {
			return t
		}
	}
	return nil
}

// BenchmarkTick is one second of ticks of a relay, the busiest kind of node.
func BenchmarkTick(b *testing.B) {
	t, now := fleetTracker(true), time.Duration(0)
	r := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		for range time.Second / TickInterval {
			now += TickInterval
			t.Tick(now, r)
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	t := fleetTracker(false)
	from := t.zone(t.self.Zone).neighbours(t.self.Name, -1)[0].Name
	for b.Loop() {
		t.Receive(0, from, Heartbeat{})
	}
}
