package throttler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

const normal, critical = hornbeamcroft.ImportanceNormal, hornbeamcroft.ImportanceCritical

// loadAdmitting is the load of a host that admits the given share of the normal requests and all more important ones.
func loadAdmitting(share float64) *hornbeamcroft.Load {
	return &hornbeamcroft.Load{Limit: 1, Capacity: int(1000 * share), Demand: []int{0, 1000, 0, 0}}
}

// admitted returns the share of requests that start, and the mean over all requests of the weight of the admitted
// ones.
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

// TestLevel guards against requests that start although a service reached by their calls would shed them.
func TestLevel(t *testing.T) {
	is := is.New(t)
	var th Throttler
	q := Request{Route: "r", Service: "front", Importance: normal}
	share, _ := admitted(&th, 0, q)
	is.Equal(share, 1.0)
	th.Observe(0, Source{Route: "r", Service: "front", Host: "f"}, hornbeamcroft.Answer{
		Code: hornbeamcroft.CodeAnswered, Status: 200, ServiceCalls: []hornbeamcroft.ServiceCalls{{Service: "deep", Calls: 4}},
	})
	th.Observe(0, Source{Route: "x", Service: "deep", Host: "d"}, hornbeamcroft.Answer{Load: loadAdmitting(0.4)})
	share, weight := admitted(&th, 0, q)
	is.True(near(share, 0.4))
	is.True(near(weight, 1)) // the admitted requests represent all
	q.Importance = critical
	share, _ = admitted(&th, 0, q)
	is.Equal(share, 1.0)
	q.Importance = normal
	share, _ = admitted(&th, 2*reportTTL, q)
	is.Equal(share, 1.0) // a report older than reportTTL does not count
}

// TestAvoidedHosts guards against requests that are refused while a host that senders avoid for its failures is idle,
// and against counting the capacity of hosts that have not reported for avoidedReportTTL.
func TestAvoidedHosts(t *testing.T) {
	is := is.New(t)
	q := Request{Route: "r", Service: "front", Importance: normal}
	for failing, want := range map[int]float64{0: 0.5, avoidThreshold: 1} {
		var th Throttler
		idle := loadAdmitting(1)
		idle.FailureRatio = failing
		source := func(host string) Source { return Source{Route: "r", Service: "front", Host: host} }
		th.Observe(0, source("idle"), hornbeamcroft.Answer{Load: idle})
		th.Observe(2*reportTTL, source("full"), hornbeamcroft.Answer{Load: loadAdmitting(0.5)})
		share, _ := admitted(&th, 2*reportTTL, q)
		is.True(near(share, want))
		th.Observe(avoidedReportTTL, source("full"), hornbeamcroft.Answer{Load: loadAdmitting(0.5)})
		share, _ = admitted(&th, avoidedReportTTL, q)
		is.True(near(share, 0.5))
	}
}

// TestRareReports guards against requests that are refused by the reports of one full host, because the calls take seconds and the hosts
// with spare capacity have answered none for reportTTL. Neither an older report nor one of a full host counts longer.
func TestRareReports(t *testing.T) {
	const longTime = 4 * reportTTL
	q := Request{Route: "r", Service: "front", Importance: normal}
	for name, c := range map[string]struct {
		serviceTime, age time.Duration
		share            float64
	}{
		"long calls":  {longTime, 2 * reportTTL, 1},
		"old report":  {longTime, longTime, 0.5},
		"short calls": {reportTTL / 10, 2 * reportTTL, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var th Throttler
			free := loadAdmitting(2)
			free.ServiceTime = c.serviceTime
			th.Observe(0, Source{Route: "r", Service: "front", Host: "free"}, hornbeamcroft.Answer{Load: free})
			full := loadAdmitting(0.5)
			full.ServiceTime = c.serviceTime
			th.Observe(c.age, Source{Route: "r", Service: "front", Host: "full"}, hornbeamcroft.Answer{Load: full})
			share, _ := admitted(&th, c.age, q)
			is.True(near(share, c.share))
			share, _ = admitted(&th, c.age+reportTTL, q)
			is.Equal(share, 1.0) // the report of the full host no longer counts
		})
	}
}

// TestCallerRetry guards against a retry by the caller that has no better chance of admission than a first attempt.
func TestCallerRetry(t *testing.T) {
	is := is.New(t)
	var th Throttler
	th.Observe(0, Source{Route: "r", Service: "front", Host: "f"}, hornbeamcroft.Answer{Load: loadAdmitting(0.3)})
	share, _ := admitted(&th, 0, Request{Route: "r", Service: "front", Importance: normal, CallerRetry: true})
	is.True(near(share, 0.6))
}

// TestRetryAfter guards against a retry delay after which the answer would be late, and against refused callers that
// all return at the same time.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		d := RetryAfter(rnd, 800*time.Millisecond)
		shortest, longest = min(shortest, d), max(longest, d)
	}
	is.True(shortest >= minRetryAfter)
	is.True(longest <= 800*time.Millisecond)
	is.True(longest-shortest > 400*time.Millisecond)
}

// TestMergeRoutes guards against a node that knows no service calls of routes after a restart, and against those from
// another node replacing what the node has observed itself.
func TestMergeRoutes(t *testing.T) {
	is := is.New(t)
	var old, restarted Throttler
	old.Observe(0, Source{Route: "r", Service: "front"}, hornbeamcroft.Answer{
		Code: hornbeamcroft.CodeAnswered, Status: 200, ServiceCalls: []hornbeamcroft.ServiceCalls{{Service: "deep", Calls: 4}},
	})
	restarted.MergeRoutes(old.LearnedRoutes())
	is.Equal(restarted.ServiceCalls("r")["deep"], 4.0)
	restarted.MergeRoutes(map[string][]hornbeamcroft.ServiceCalls{"r": {{Service: "other", Calls: 1}}})
	is.Equal(len(restarted.ServiceCalls("r")), 1)
}
