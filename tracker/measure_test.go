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
	measureChanges = flag.Int("changes", 200, "number of deaths and of drains to measure")
	measureHours   = flag.Float64("hours", 0.25, "simulated hours of restarts")
)

// restartInterval is the time between two restarts; 166 s give 520 restarts per day.
const restartInterval = 166 * time.Second

// TestMeasure prints the figures of docs/membership.md. It checks nothing and runs only with -zones.
func TestMeasure(t *testing.T) {
	if *measureZones == 0 {
		t.Skip("needs -zones")
	}
	sim := newSimulation(*measureZones, *measurePerZone, Mechanisms{})
	for _, n := range sim.nodes {
		sim.start(n, sim.nodes[0].self.Address, sim.nodes[1].self.Address)
	}
	sim.run(30 * time.Second)
	sim.countTraffic = true
	fmt.Printf("nodes %d, zones %d, agree %v\n", len(sim.nodes), *measureZones, sim.rostersAgree())
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	fmt.Printf("heap per node, loop included: %d KB\n", m.HeapAlloc/uint64(len(sim.nodes))/1000)
	fmt.Printf("heap of one node with records of its own: %d KB\n", sim.decodedHeapBytes()/1000)
	sim.countTraffic = false
	start, calls := time.Now(), sim.store.calls
	sim.run(20 * time.Second)
	fmt.Printf("CPU per node, idle: %.4f %% of a core\n", 100*time.Since(start).Seconds()/20/float64(len(sim.nodes)))
	sim.countTraffic = true
	sim.measureTraffic("idle", 60*time.Second, func() { sim.run(60 * time.Second) })
	sim.measureRestarts()
	sim.measurePropagation("death known everywhere", *measureChanges, func(n *node) { n.up = false })
	sim.measurePropagation("drain known everywhere", *measureChanges, func(n *node) {
		sim.send(n, n.tracker.Announce(sim.now, hornbeamcroft.MemberDraining, 0))
	})
	fmt.Printf("store: %.2f calls/s without the watch of each zone\n", float64(sim.store.calls-calls)/sim.now.Seconds())
	for range 5 {
		sim.measureZoneLoss(fmt.Sprintf("z%d", 1+sim.rng.IntN(*measureZones)))
	}
}

// measureZoneLoss prints the traffic after the loss of a zone and the time until no node routes to the zone. It then
// starts the zone's nodes again and prints the time until all rosters agree.
func (sim *simulation) measureZoneLoss(name string) {
	lost := sim.find("zone:" + name)
	sim.run(time.Duration(sim.rng.IntN(1000)) * time.Millisecond)
	sim.measureTraffic("loss of a zone, first 10 s", 10*time.Second, func() {
		for _, n := range lost {
			n.up = false
		}
		start := sim.now
		for sim.routable(lost) {
			sim.run(5 * time.Millisecond)
		}
		fmt.Printf("loss of a zone known everywhere: %s\n", sim.now-start)
		sim.run(start + 10*time.Second - sim.now)
	})
	for _, n := range lost {
		sim.start(n, sim.nodes[0].self.Address, sim.nodes[len(sim.nodes)-1].self.Address)
	}
	start := sim.now
	for !sim.rostersAgree() {
		sim.run(5 * time.Millisecond)
	}
	fmt.Printf("start of a zone known everywhere: %s\n", sim.now-start)
	sim.run(10 * time.Second)
}

// decodedHeapBytes returns the heap size of a tracker whose records were decoded from messages and therefore share no
// strings.
func (sim *simulation) decodedHeapBytes() uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t, _ := New(0, Config{Self: sim.nodes[0].self})
	for _, v := range sim.nodes[0].tracker.Members() {
		b, _ := cbor.Marshal(RosterChange{Members: []hornbeamcroft.Member{v.Member}})
		m, _ := decodeAs[RosterChange](b)
		t.Receive(0, "peer", m)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(t)
	return after.HeapAlloc - before.HeapAlloc
}

// routable reports whether any node routes to any of the nodes.
func (sim *simulation) routable(nodes []*node) bool {
	return slices.ContainsFunc(nodes, func(n *node) bool {
		routing, _ := sim.countRouting(n.self.Name)
		return routing > 0
	})
}

// measureRestarts prints the traffic and the calls to the store while nodes restart every restartInterval.
func (sim *simulation) measureRestarts() {
	// The duration is rounded to whole intervals, so that it equals the simulated time and the rates are exact.
	d := max(1, time.Duration(*measureHours*float64(time.Hour))/restartInterval) * restartInterval
	calls, writes := sim.store.calls, sim.store.writes
	sim.measureTraffic("520 restarts a day", d, func() {
		for end := sim.now + d; sim.now < end; {
			n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
			sim.send(n, n.tracker.Announce(sim.now, hornbeamcroft.MemberDraining, 0))
			sim.run(2 * time.Second)
			sim.send(n, n.tracker.Announce(sim.now, hornbeamcroft.MemberLeft, 0))
			sim.run(50 * time.Millisecond)
			n.up = false
			sim.run(3 * time.Second)
			sim.start(n, sim.nodes[0].self.Address, sim.nodes[1].self.Address)
			sim.run(restartInterval - 5050*time.Millisecond)
		}
	})
	fmt.Printf("store during restarts: %.2f calls/s without the watches, of them %.3f writes of rosters\n",
		float64(sim.store.calls-calls)/d.Seconds(), float64(sim.store.writes-writes)/d.Seconds())
}

// measureTraffic runs fn, which takes the simulated time d, and prints bytes and messages per second and node,
// separately for relays and other nodes.
func (sim *simulation) measureTraffic(label string, d time.Duration, fn func()) {
	for _, n := range sim.nodes {
		n.sent, n.received = trafficCount{}, trafficCount{}
	}
	fn()
	var relays, others []*node
	for _, n := range sim.nodes {
		switch {
		case !n.up:
		case n.tracker.IsRelay():
			relays = append(relays, n)
		default:
			others = append(others, n)
		}
	}
	for name, group := range map[string][]*node{"relays": relays, "others": others} {
		sum, top := trafficCount{}, 0
		for _, n := range group {
			sum.bytes += n.sent.bytes + n.received.bytes
			sum.messages += n.sent.messages + n.received.messages
			top = max(top, n.sent.bytes+n.received.bytes)
		}
		per := d.Seconds() * float64(max(1, len(group)))
		fmt.Printf("%s, %s: %.0f B/s and %.1f messages/s in and out; highest node %.0f B/s\n",
			label, name, float64(sum.bytes)/per, float64(sum.messages)/per, float64(top)/d.Seconds())
	}
}

// measurePropagation prints how long it takes after a change to a member until no node routes to the member. It makes
// count changes by calling fn with a random node.
func (sim *simulation) measurePropagation(label string, count int, fn func(n *node)) {
	var durations []time.Duration
	for range count {
		n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		sim.run(time.Duration(500+sim.rng.IntN(500)) * time.Millisecond)
		fn(n)
		start := sim.now
		for routing := 1; routing > 0 && sim.now < start+10*time.Second; routing, _ = sim.countRouting(n.self.Name) {
			sim.run(5 * time.Millisecond)
		}
		durations = append(durations, sim.now-start)
		sim.start(n, sim.nodes[0].self.Address, sim.nodes[1].self.Address)
		sim.run(2 * time.Second)
	}
	slices.Sort(durations)
	fmt.Printf("%s: p50 %s, p99 %s, max %s of %d\n",
		label, durations[count/2], durations[min(count-1, count*99/100)], durations[count-1], count)
}

// TestMeasureLoss prints how often live members are declared dead when messages are lost. It runs only with -zones.
func TestMeasureLoss(t *testing.T) {
	if *measureZones == 0 {
		t.Skip("needs -zones")
	}
	for _, share := range []float64{0.1, 0.2, 0.3, 0.4} {
		sim := newSimulation(1, *measurePerZone, Mechanisms{})
		for _, n := range sim.nodes {
			sim.start(n, sim.nodes[0].self.Address, sim.nodes[1].self.Address)
		}
		sim.run(10 * time.Second)
		sim.lossRate["*"] = share
		sim.run(10 * time.Minute)
		refuted := uint64(0)
		for _, n := range sim.nodes {
			refuted += n.tracker.Self().Sequence
		}
		fmt.Printf("%.0f %% lost, %d nodes, 10 min: %d false deaths refuted\n", 100*share, len(sim.nodes), refuted)
	}
}

// fleetTracker returns a tracker that knows 25 zones of 56 members. It is a relay of its zone if relay is true.
func fleetTracker(relay bool) *Tracker {
	sim := newSimulation(25, 56, Mechanisms{})
	for _, n := range sim.nodes {
		t, _ := New(0, Config{Self: n.self})
		for _, o := range sim.nodes {
			t.merge(0, o.self)
		}
		if t.IsRelay() == relay {
			return t
		}
	}
	return nil
}

// BenchmarkTick measures one second of ticks of a relay, which does more work per tick than any other node.
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

// BenchmarkHeartbeat measures the receipt of one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	t := fleetTracker(false)
	from := t.zone(t.self.Zone).neighbours(t.self.Name, -1)[0].Name
	for b.Loop() {
		t.Receive(0, from, Heartbeat{})
	}
}
