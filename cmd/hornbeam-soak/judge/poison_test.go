package judge

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/worker"
)

// poisonCase says when attempts of a request that crashes upstreams arrive, in seconds, each at another instance.
type poisonCase struct {
	name        string
	arrivals    []float64
	disruptions []Disruption
	found       bool
}

var base = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return base.Add(time.Duration(seconds * float64(time.Second))) }

var poisonCases = []poisonCase{
	{"refused after three crashes", []float64{1, 2, 3, 4, 5, 6}, nil, false},
	{"three late ones", []float64{1, 2, 3, 7, 8, 9}, nil, false},
	{"four late ones", []float64{1, 2, 3, 7, 8, 9, 10}, nil, true},
	{"the step itself and planned work", []float64{1, 2, 3, 7, 8, 9, 10}, []Disruption{
		{Kind: KindPoison, From: at(0), To: at(20)},
		{Kind: "stop", Planned: true, From: at(4), To: at(8)},
	}, true},
	{"nodes killed meanwhile", []float64{1, 2, 3, 7, 8, 9, 10}, []Disruption{{Kind: "kill-many", From: at(5), To: at(6)}}, false},
}

// TestCheckPoison guards against a check that misses requests that crash upstreams again and again, or that counts those of which nodes
// could not know.
func TestCheckPoison(t *testing.T) {
	for _, c := range poisonCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var j Judge
			for i, seconds := range c.arrivals {
				id := strconv.Itoa(i)
				j.AddSent(SentAttempt{Attempt: caller.Attempt{ID: id}, Type: TypePoison, Idempotent: true})
				j.AddArrival(worker.Run{Attempt: id, Instance: id, At: at(seconds)})
			}
			for _, d := range c.disruptions {
				j.disruptions = append(j.disruptions, &d)
			}
			is.Equal(len(j.Finish()) > 0, c.found)
		})
	}
}
