package main

import (
	"net/http"
	"testing"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/soaker"
)

// longWork are mean times that a request takes in its upstream: half of the time that a stop leaves a request taken late, and
// nearly all of it. Each request takes 0.5 to 1.5 times the mean time.
var longWork = []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond}

// TestTakenAtStopIsAnswered guards against requests of callers, and calls of other nodes, that a node takes after SIGTERM and cuts off:
// callers stay with it, as those of a zone with one node do, and their requests need seconds.
func TestTakenAtStopIsAnswered(t *testing.T) {
	program := build(t, nil)
	for i, work := range longWork {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			s := &soaker.Soaker{
				Seed: uint64(i + 1), Hosts: 5, Callers: 12, Length: 20 * time.Second, Work: work, Program: program, Folder: "/tmp/s/st-" + work.String(),
				Steps: []planner.Step{
					{At: 5 * time.Second, Kind: "stop"},
					{At: 7 * time.Second, Kind: "stop", Host: 3},
					{At: 13 * time.Second, Kind: "stop", Host: 1},
					{At: 13 * time.Second, Kind: "stop", Host: 4},
				},
			}
			r, err := s.Run()
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Findings {
				t.Errorf("%s %s %s %s", f.At.Format("15:04:05.000"), f.Promise, f.Attempt, f.Text)
			}
			statuses := make(map[int]int)
			for _, o := range s.Outcomes() {
				statuses[o.Status]++
				if o.Status == http.StatusBadGateway && o.Attempt.Method == http.MethodPost {
					t.Errorf("%s: the outcome of %s is unknown", o.EndedAt.Format("15:04:05.000"), o.Attempt.ID)
				}
			}
			t.Logf("%d requests, %.3f served; answers by status: %v", r.Requests, r.Served, statuses)
		})
	}
}
