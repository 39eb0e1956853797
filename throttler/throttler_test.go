package throttler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

const normal, critical = hornbeamcroft.ImportanceNormal, hornbeamcroft.ImportanceCritical

// pressed is the load of a host that can take the given share of the normal requests beside all others.
func pressed(share float64) *hornbeamcroft.Load {
	return &hornbeamcroft.Load{Limit: 1, Room: int(1000 * share), Offered: []int{0, 1000, 0, 0}}
}

// admitted returns the share of requests that start, and the mean of what one stands for.
func admitted(t *Throttler, now time.Duration, q Request) (share, weight float64) {
	rnd := rand.New(rand.NewPCG(1, 1))
	const n = 4000
	count, sum := 0.0, 0.0
	for range n {
		if v := t.Admit(now, rnd, q); v.Admitted {
			count++
			sum += float64(v.Weight)
		}
	}
	return count / n, sum / n
}

func near(a, b float64) bool { return a > b-0.05 && a < b+0.05 }

// TestLevel guards against requests that start although a service which their calls reach would turn them away.
func TestLevel(t *testing.T) {
	is := is.New(t)
	var th Throttler
	q := Request{Route: "r", Service: "front", Importance: normal}
	share, _ := admitted(&th, 0, q)
	is.Equal(share, 1.0)
	th.Observe(0, Source{Route: "r", Service: "front", Host: "f"}, hornbeamcroft.Answer{
		Code: hornbeamcroft.CodeAnswered, Status: 200, Reach: []hornbeamcroft.Reach{{Service: "deep", Calls: 4}},
	})
	th.Observe(0, Source{Route: "x", Service: "deep", Host: "d"}, hornbeamcroft.Answer{Load: pressed(0.4)})
	share, weight := admitted(&th, 0, q)
	is.True(near(share, 0.4))
	is.True(near(weight, 1)) // the admitted ones stand for all
	q.Importance = critical
	share, _ = admitted(&th, 0, q)
	is.Equal(share, 1.0)
	q.Importance = normal
	share, _ = admitted(&th, 2*viewTime, q)
	is.Equal(share, 1.0) // an old report tells nothing
}

// TestAvoidedHosts guards against requests that are refused while hosts stand idle that are avoided because they fail, and
// against counting on hosts of which nothing is known.
func TestAvoidedHosts(t *testing.T) {
	is := is.New(t)
	q := Request{Route: "r", Service: "front", Importance: normal}
	for failing, want := range map[int]float64{0: 0.5, avoidedFailing: 1} {
		var th Throttler
		idle := pressed(1)
		idle.Failing = failing
		source := func(host string) Source { return Source{Route: "r", Service: "front", Host: host} }
		th.Observe(0, source("idle"), hornbeamcroft.Answer{Load: idle})
		th.Observe(2*viewTime, source("full"), hornbeamcroft.Answer{Load: pressed(0.5)})
		share, _ := admitted(&th, 2*viewTime, q)
		is.True(near(share, want))
		th.Observe(avoidedTime, source("full"), hornbeamcroft.Answer{Load: pressed(0.5)})
		share, _ = admitted(&th, avoidedTime, q)
		is.True(near(share, 0.5))
	}
}

// TestReturning guards against callers that are refused again though they came back in time.
func TestReturning(t *testing.T) {
	is := is.New(t)
	var th Throttler
	th.Observe(0, Source{Route: "r", Service: "front", Host: "f"}, hornbeamcroft.Answer{Load: pressed(0.3)})
	share, _ := admitted(&th, 0, Request{Route: "r", Service: "front", Importance: normal, Returning: true})
	is.True(near(share, 0.6))
}

// TestRetryAfter guards against callers that are told to come back when their answer would be late, and against all coming
// back at once.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		d := RetryAfter(rnd, 800*time.Millisecond)
		least, most = min(least, d), max(most, d)
	}
	is.True(least >= leastRetry)
	is.True(most <= 800*time.Millisecond)
	is.True(most-least > 400*time.Millisecond)
}

// TestTeach guards against a node that knows nothing of routes after a restart, and against hearsay that goes before what a
// node has seen itself.
func TestTeach(t *testing.T) {
	is := is.New(t)
	var old, fresh Throttler
	old.Observe(0, Source{Route: "r", Service: "front"}, hornbeamcroft.Answer{
		Code: hornbeamcroft.CodeAnswered, Status: 200, Reach: []hornbeamcroft.Reach{{Service: "deep", Calls: 4}},
	})
	fresh.Teach(old.Learned())
	is.Equal(fresh.Reach("r")["deep"], 4.0)
	fresh.Teach(map[string][]hornbeamcroft.Reach{"r": {{Service: "other", Calls: 1}}})
	is.Equal(len(fresh.Reach("r")), 1)
}
