package owner_test

import (
	"fmt"
	"testing"
)

// neededRules lists the rules to switch off, with the first seed whose schedule then has a violation. The test searches
// from that seed on, so that a change of the random schedules leads to another seed and not to a failure.
var neededRules = []struct {
	rule    string
	roster  int
	seed    uint64
	explore func(seed uint64, roster int, rule string) *simulation
}{
	{"no-wait", 2, 9, exploreTakeover},
	{"no-wait", 4, 214, exploreTakeover},
	{"ack-before-write", 2, 1, exploreSchedule},
	{"ack-before-write", 4, 1, exploreSchedule},
	{"recover-by-waiting", 3, 547, exploreTakeover},
	{"recover-by-waiting", 5, 5396, exploreTakeover},
	{"no-horizon", 3, 1, exploreSchedule},
	{"no-horizon", 4, 1, exploreSchedule},
	{"no-tombstone", 3, 1, exploreSchedule},
	{"no-tombstone", 4, 1, exploreSchedule},
	{"half-permit", 2, 31, exploreTakeover},
	{"half-permit", 4, 1230, exploreTakeover},
	{"settle-without-acks", 3, 1, exploreSchedule},
	{"serve-unsettled", 4, 1, exploreSchedule},
	{"ignore-relay-age", 3, 138, exploreTakeover},
}

// searchLimit is the greatest number of schedules that are simulated for one entry of neededRules.
const searchLimit = 200

// TestEveryRuleIsNeeded guards against a rule that the protocol does not need, and against schedules that do not detect
// that a rule is missing.
func TestEveryRuleIsNeeded(t *testing.T) {
	for _, c := range neededRules {
		t.Run(fmt.Sprintf("%s-%d", c.rule, c.roster), func(t *testing.T) {
			t.Parallel()
			for seed := c.seed; seed < c.seed+searchLimit; seed++ {
				if sim := c.explore(seed, c.roster, c.rule); len(sim.violations) > 0 {
					t.Logf("roster %d, seed %d: %s", c.roster, seed, sim.violations[0])
					return
				}
			}
			t.Fatalf("no violation in %d schedules from seed %d", searchLimit, c.seed)
		})
	}
}
