package tracker

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"hornbeamcroft"
)

var (
	measureZones   = flag.Int("zones", 0, "zones of the cluster that TestMeasure measures; zero skips it")
	measurePerZone = flag.Int("per-zone", 56, "nodes in each zone")
	measureHours   = flag.Float64("hours", 0.25, "virtual hours of restarts")
)

const restartInterval = 24 * time.Hour / 520

// TestMeasure prints the figures of docs/membership.md. It guards nothing and needs -zones.
func TestMeasure(t *testing.T) {
	if *measureZones == 0 {
		t.Skip("needs -zones")
	}
	l := newLoop(*measureZones, *measurePerZone, Switches{})
	for _, n := range l.nodes {
		l.boot(n)
	}
	l.run(30 * time.Second)
	l.measured = true
	fmt.Printf("nodes %d, zones %d, agree %v\n", len(l.nodes), *measureZones, l.agree())
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	fmt.Printf("heap per node, loop included: %d KB\n", m.HeapAlloc/uint64(len(l.nodes))/1000)
	l.measured = false
	start, calls := time.Now(), l.store.calls
	l.run(20 * time.Second)
	fmt.Printf("CPU per node, idle: %.4f %% of a core\n", 100*time.Since(start).Seconds()/20/float64(len(l.nodes)))
	l.measured = true
	l.traffic("idle", 60*time.Second, func() { l.run(60 * time.Second) })
	l.restarts()
	l.times("death known everywhere", 30, func(n *node) { n.up = false })
	l.times("drain known everywhere", 30, func(n *node) {
		l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberDraining, 0))
	})
	fmt.Printf("store: %.2f calls/s without the watch of each zone\n", float64(l.store.calls-calls)/l.now.Seconds())
	l.traffic("loss of a zone, first 10 s", 10*time.Second, func() {
		for _, n := range l.find("zone:z2") {
			n.up = false
		}
		l.run(10 * time.Second)
	})
}

func (l *loop) restarts() {
	d := time.Duration(*measureHours * float64(time.Hour))
	calls := l.store.calls
	l.traffic("520 restarts a day", d, func() {
		for end := l.now + d; l.now < end; {
			n := l.nodes[l.rng.IntN(len(l.nodes))]
			l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberDraining, 0))
			l.run(2 * time.Second)
			l.send(n, n.t.Announce(l.now, hornbeamcroft.MemberLeft, 0))
			l.run(50 * time.Millisecond)
			n.up = false
			l.run(3 * time.Second)
			l.boot(n)
			l.run(restartInterval - 5050*time.Millisecond)
		}
	})
	fmt.Printf("store during restarts: %.2f calls/s without the watches\n", float64(l.store.calls-calls)/d.Seconds())
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
		l.boot(n)
		l.run(2 * time.Second)
	}
	slices.Sort(all)
	fmt.Printf("%s: p50 %s, p99 %s, max %s of %d\n",
		what, all[count/2], all[min(count-1, count*99/100)], all[count-1], count)
}
