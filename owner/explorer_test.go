package owner_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	scheduleCount = flag.Int("schedules", 60, "number of random schedules for each roster size")
	firstSeed     = flag.Uint64("first-seed", 1, "seed of the first schedule")
	disabledRule  = flag.String("rule", "", "rule to switch off: a key of owner.Rules, no-horizon or no-tombstone")
	printEvents   = flag.Bool("events", false, "print the events of the first schedule and of a schedule with a violation")
)

// exploreSchedule simulates one random schedule of faults, membership changes and requests. For every third seed it
// simulates a single takeover.
func exploreSchedule(seed uint64, roster int, rule string) *simulation {
	if seed%3 == 0 {
		return exploreTakeover(seed, roster, rule)
	}
	opt := options{
		seed: seed, rosterSize: roster, spareNodes: int(seed % 3), duration: 60 * time.Second,
		keyWindow: 10 * time.Minute, rule: rule, randomFaults: true, clockSkew: time.Second,
		requestInterval: 120 * time.Millisecond, maxResends: 6, maxRate: 1.05,
	}
	opt.maxFaultInterval = []time.Duration{2, 4, 8, 16}[seed/4%4] * time.Second
	opt.maxViewInterval = []time.Duration{0, 3, 6, 12}[seed%4] * time.Second
	if seed%2 == 0 {
		// A takeover that does not wait for old permits is detected only if a permit can outlast the horizon.
		opt.clockSkew = 100 * time.Millisecond
	}
	if seed%5 == 0 {
		opt.keyWindow = 12 * time.Second
	}
	sim := newSimulation(opt)
	sim.after(time.Second, sim.generateRequests)
	sim.after(sim.randomDuration(0, 5*time.Second), sim.injectFault)
	if opt.maxViewInterval > 0 {
		sim.after(sim.randomDuration(0, 5*time.Second), sim.changeMembers)
	}
	sim.run()
	return sim
}

// exploreTakeover simulates one random schedule of a single takeover, during which the network is partitioned.
func exploreTakeover(seed uint64, roster int, rule string) *simulation {
	sim := newSimulation(options{
		seed: seed, rosterSize: roster, spareNodes: int(seed % 2), duration: 25 * time.Second,
		keyWindow: 10 * time.Minute, rule: rule, randomFaults: true, singleTakeover: true,
		clockSkew: 100 * time.Millisecond, requestInterval: 500 * time.Millisecond, maxResends: 4, maxRate: 1.05,
	})
	sim.after(time.Second, sim.generateRequests)
	sim.after(4*time.Second, sim.startTakeover)
	sim.run()
	return sim
}

// TestExplorer guards against schedules in which a key runs twice, and against those in which a node answers "not run"
// for a key that ran, or that runs later by a send received before that answer.
func TestExplorer(t *testing.T) {
	for _, roster := range []int{2, 3, 4, 5, 7} {
		t.Run(fmt.Sprint("roster-", roster), func(t *testing.T) {
			t.Parallel()
			states, steps, runs, claims, requests, epochs := map[uint64]struct{}{}, 0, 0, 0, 0, int64(0)
			for i := range *scheduleCount {
				seed := *firstSeed + uint64(i)
				sim := exploreSchedule(seed, roster, *disabledRule)
				for s := range sim.distinctStates {
					states[s] = struct{}{}
				}
				steps, runs, claims, requests = steps+sim.stepCount, runs+sim.runCount, claims+sim.notRunClaims,
					requests+len(sim.requests)
				epochs += sim.store.revision
				if len(sim.violations) > 0 {
					if *printEvents {
						t.Log("\n" + strings.Join(sim.eventLog, "\n"))
					}
					t.Fatalf("seed %d: %s", seed, sim.violations[0])
				}
			}
			if *printEvents {
				t.Log("\n" + strings.Join(exploreSchedule(*firstSeed, roster, *disabledRule).eventLog, "\n"))
			}
			t.Logf("%d schedules, %d steps, %d distinct states, %d keys, %d runs, %d not-run claims, %d store writes",
				*scheduleCount, steps, len(states), requests, runs, claims, epochs)
		})
	}
}
