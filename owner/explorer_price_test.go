package owner_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var priceSeeds = flag.Int("price-seeds", 1, "runs for each row of the table of prices")

const (
	failAt       = 15 * time.Second
	priceWindow  = 20 * time.Second
	suspectAfter = 1250 * time.Millisecond
)

// failure is one kind of failure whose price is measured.
type failure struct {
	name string
	// inject starts the failure.
	inject func(w *world)
	// passes is the time after which all requests must run again; zero if the failure does not pass.
	passes time.Duration
	// join adds a member that is not in the first roster.
	join int
	from int // smallest roster in which the failure leaves a member
}

func lose(k func(roster int) int, told bool) func(w *world) {
	return func(w *world) {
		for _, n := range w.nodes[w.roster-k(w.roster):] {
			n.crash()
			if told {
				w.after(suspectAfter, func() { w.believe(n, false, true) })
			}
		}
	}
}

func one(int) int        { return 1 }
func half(r int) int     { return r / 2 }
func moreThan(r int) int { return r/2 + 1 }

func storeDown(w *world) { w.store.downUntil = w.now + time.Hour }

var failures = []failure{
	{name: "none", inject: func(*world) {}, passes: time.Millisecond},
	{name: "one node restarted within 1 s", passes: 6 * time.Second, inject: func(w *world) {
		n := w.nodes[w.roster-1]
		n.crash()
		w.after(time.Second, n.boot)
	}},
	{name: "one node lost", inject: lose(one, true), passes: 9 * time.Second},
	{name: "one node paused for 5 s", passes: 11 * time.Second, inject: func(w *world) {
		w.nodes[w.roster-1].pause(5 * time.Second)
	}},
	{name: "one node leaves as planned", passes: 6 * time.Second, inject: func(w *world) {
		n := w.nodes[w.roster-1]
		w.believe(n, false, true)
		n.believed[n.name] = false
	}},
	{name: "one node joins", join: 1, passes: 6 * time.Second, inject: func(w *world) {
		n := w.nodes[w.roster]
		n.boot()
		w.believe(n, true, true)
	}},
	{name: "store down", inject: storeDown, passes: time.Millisecond},
	{name: "store down, one node lost", inject: func(w *world) { storeDown(w); lose(one, true)(w) }},
	{name: "store down, half of the roster lost", inject: func(w *world) { storeDown(w); lose(half, true)(w) }},
	{name: "half of the roster lost", inject: lose(half, true), passes: 9 * time.Second},
	{name: "more than half of the roster lost", inject: lose(moreThan, true), from: 3},
}

// price is the outcome of the requests that arrive within the window after the failure.
type price struct {
	requests, refused, unknown int
	last                       time.Duration // arrival of the last request that did not run, after the failure
}

func measure(seed uint64, roster int, f failure) price {
	w := newWorld(options{
		seed: seed, roster: roster, spares: f.join, length: failAt + priceWindow + 8*time.Second,
		window: 10 * time.Minute, skew: time.Second, load: 10 * time.Millisecond, maxRate: 1.05,
	})
	w.after(5*time.Second, w.arrivals)
	w.after(failAt, func() { f.inject(w) })
	w.run()
	var p price
	for _, req := range w.requests {
		if req.at < failAt || req.at >= failAt+priceWindow {
			continue
		}
		p.requests++
		if req.ran {
			continue
		}
		p.last = max(p.last, req.at-failAt)
		if code := req.sends[0].code; code >= 200 && code < 300 || code >= 400 {
			p.refused++
		} else {
			p.unknown++
		}
	}
	return p
}

// TestPrice guards against a failure that refuses work for longer than docs/at-most-once.md says. With more seeds it
// prints the table there.
func TestPrice(t *testing.T) {
	table := "\n| failure | roster | refused | unknown | last request affected |\n|---|---|---|---|---|\n"
	for _, f := range failures {
		for _, roster := range []int{2, 3, 4} {
			if roster < f.from {
				continue
			}
			var sum price
			for seed := range *priceSeeds {
				p := measure(uint64(seed)+1, roster, f)
				sum.requests, sum.refused, sum.unknown = sum.requests+p.requests, sum.refused+p.refused, sum.unknown+p.unknown
				sum.last = max(sum.last, p.last)
			}
			if f.passes > 0 && sum.last > f.passes {
				t.Errorf("%s, roster %d: a request %s after the failure did not run", f.name, roster, sum.last)
			}
			last := "-"
			switch {
			case sum.last > priceWindow-time.Second:
				last = "while it lasts"
			case sum.last > 0:
				last = fmt.Sprintf("%.1f s", sum.last.Seconds())
			}
			table += fmt.Sprintf("| %s | %d | %.1f %% | %.1f %% | %s |\n", f.name, roster,
				100*float64(sum.refused)/float64(sum.requests), 100*float64(sum.unknown)/float64(sum.requests), last)
		}
	}
	t.Log(table)
}
