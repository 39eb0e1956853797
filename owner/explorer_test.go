package owner_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	schedules = flag.Int("schedules", 60, "schedules of the explorer for each roster size")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the explorer")
	ruleFlag  = flag.String("rule", "", "rule that the explorer switches off")
	events    = flag.Bool("events", false, "print the events of a violating schedule")
)

// explore runs one random schedule.
func explore(seed uint64, roster int, rule string) *world {
	if seed%3 == 0 {
		return exploreTakeover(seed, roster, rule)
	}
	opt := options{
		seed: seed, roster: roster, spares: int(seed % 3), length: 60 * time.Second, window: 10 * time.Minute, rule: rule,
		faults: true, skew: time.Second, load: 120 * time.Millisecond, resends: 6, maxRate: 1.05,
	}
	opt.calm = []time.Duration{2, 4, 8, 16}[seed/4%4] * time.Second
	opt.change = []time.Duration{0, 3, 6, 12}[seed%4] * time.Second
	if seed%2 == 0 {
		opt.skew = 100 * time.Millisecond // a takeover without a wait shows only if the permit outlasts the horizon
	}
	if seed%5 == 0 {
		opt.window = 12 * time.Second
	}
	w := newWorld(opt)
	w.after(time.Second, w.arrivals)
	w.after(w.between(0, 5*time.Second), w.disturb)
	if opt.change > 0 {
		w.after(w.between(0, 5*time.Second), w.churn)
	}
	w.run()
	return w
}

// exploreTakeover runs one random schedule of a single takeover, with the network falling apart around it.
func exploreTakeover(seed uint64, roster int, rule string) *world {
	w := newWorld(options{
		seed: seed, roster: roster, spares: int(seed % 2), length: 25 * time.Second, window: 10 * time.Minute, rule: rule,
		faults: true, focused: true, skew: 100 * time.Millisecond, load: 500 * time.Millisecond, resends: 4, maxRate: 1.05,
	})
	w.after(time.Second, w.arrivals)
	w.after(4*time.Second, w.takeFrom)
	w.run()
	return w
}

// TestExplorer guards against any schedule in which a key runs twice, or "not run" is said of a key that ran or runs
// later by a send from before.
func TestExplorer(t *testing.T) {
	for _, roster := range []int{2, 3, 4, 5, 7} {
		t.Run(fmt.Sprint("roster-", roster), func(t *testing.T) {
			t.Parallel()
			states, steps, runs, claims, requests, epochs := map[uint64]struct{}{}, 0, 0, 0, 0, int64(0)
			for i := range *schedules {
				seed := *firstSeed + uint64(i)
				w := explore(seed, roster, *ruleFlag)
				for s := range w.states {
					states[s] = struct{}{}
				}
				steps, runs, claims, requests = steps+w.steps, runs+w.runs, claims+w.claims, requests+len(w.requests)
				epochs += w.store.revision
				if len(w.failures) > 0 {
					if *events {
						t.Log("\n" + strings.Join(w.log, "\n"))
					}
					t.Fatalf("seed %d: %s", seed, w.failures[0])
				}
			}
			if *events {
				t.Log("\n" + strings.Join(explore(*firstSeed, roster, *ruleFlag).log, "\n"))
			}
			t.Logf("%d schedules, %d steps, %d distinct states, %d keys, %d runs, %d times not-run, %d store writes",
				*schedules, steps, len(states), requests, runs, claims, epochs)
		})
	}
}
