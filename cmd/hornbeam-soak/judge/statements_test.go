package judge

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/worker"
)

// limitPhase is a time in which an instance gets a number of requests a second. It states its limit of 8 in all its answers, or in none,
// or in all but each fifth.
type limitPhase struct {
	seconds, rate int
	states        string
}

var limitCases = []struct {
	name   string
	phases []limitPhase
	found  bool
}{
	{"kept", []limitPhase{{10, 8, "all"}}, false},
	{"not kept", []limitPhase{{10, 20, "all"}}, true},
	{"not kept within the time to settle", []limitPhase{{2, 40, "all"}, {8, 8, "all"}}, false},
	{"withdrawn, then stated again", []limitPhase{{2, 8, "all"}, {8, 40, "none"}, {9, 8, "all"}}, false},
	{"not kept after it was stated again", []limitPhase{{2, 8, "all"}, {8, 40, "none"}, {9, 20, "all"}}, true},
	{"not kept before it was withdrawn", []limitPhase{{9, 20, "all"}, {8, 40, "none"}, {9, 8, "all"}}, true},
	{"single answers without it withdraw nothing", []limitPhase{{10, 20, "most"}}, true},
}

// TestCheckLimit guards against a check that takes statements for one although the limit was withdrawn between them, and against one that
// misses requests beyond a limit because answers without it come in between.
func TestCheckLimit(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			var j Judge
			from := 0.0
			for _, p := range c.phases {
				for i := range p.seconds * p.rate {
					states := p.states == "all" || p.states == "most" && i%5 != 4
					addLimitedRun(&j, at(from+float64(i)/float64(p.rate)), states)
				}
				from += float64(p.seconds)
			}
			limitFound := false
			for _, f := range j.Finish() {
				limitFound = limitFound || f.Promise == "limit"
			}
			is.New(t).Equal(limitFound, c.found)
		})
	}
}

// TestRestartExcuses guards against a finding at a node that was restarted since it passed a statement on, by whatever step.
func TestRestartExcuses(t *testing.T) {
	for _, kind := range []string{"kill", "kill-many", "kill-all", "stop"} {
		var j Judge
		for i := range 200 {
			addLimitedRun(&j, at(float64(i)/20), true)
		}
		j.disruptions = []*Disruption{{Kind: kind, From: at(1), To: at(2)}}
		for _, f := range j.Finish() {
			if f.Promise == "limit" {
				t.Errorf("%s: %s", kind, f.Text)
			}
		}
	}
}

// addLimitedRun adds a request that runs at the time and is answered 1 ms later.
func addLimitedRun(j *Judge, runs time.Time, states bool) {
	id := strconv.FormatInt(runs.UnixNano(), 10)
	o := caller.Outcome{
		Attempt: caller.Attempt{ID: id}, SentAt: runs, EndedAt: runs.Add(time.Millisecond), Status: 200, Signed: true,
		Complete: true, Instance: "i",
	}
	if states {
		o.RateLimit = 8
	}
	j.AddSent(SentAttempt{Attempt: o.Attempt, At: runs, Host: "h", Idempotent: true})
	j.AddArrival(worker.Run{Attempt: id, Instance: "i", At: runs})
	j.AddOutcome(o)
}
