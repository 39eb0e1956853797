package main

import (
	"net/http"
	"testing"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/soaker"
)

// longWork are mean times that a request takes in its upstream, up to nearly all of the time that a stop leaves a request taken late.
// Each request takes 0.5 to 1.5 times the mean time.
var longWork = []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond}

// runLongStops stops four of five nodes in series that overlap, while callers stay with their nodes and send requests of the mean
// work. It returns the findings and the soaker after its run.
func runLongStops(t *testing.T, program string, seed uint64, work time.Duration) ([]judge.Finding, *soaker.Soaker) {
	t.Helper()
	s := &soaker.Soaker{
		Seed: seed, Hosts: 5, Callers: 12, Length: 20 * time.Second, Work: work, Program: program, Folder: t.TempDir(),
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
	statuses := make(map[int]int)
	for _, o := range s.Outcomes() {
		statuses[o.Status]++
	}
	t.Logf("%d requests, %.3f served, %.3f in calm; answers by status: %v", r.Requests, r.Served, r.ServedInCalm, statuses)
	return r.Findings, s
}

// recovery is the promise of package judge that TestLongRequestsAfterStops checks.
const recovery = "recovery"

// TestTakenAtStopIsAnswered guards against requests of callers, and calls of other nodes, that a node takes after SIGTERM and cuts off:
// callers stay with it, as those of a zone with one node do, and their requests need seconds.
func TestTakenAtStopIsAnswered(t *testing.T) {
	program := build(t, nil)
	for i, work := range longWork {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			findings, s := runLongStops(t, program, uint64(i+1), work)
			for _, f := range findings {
				if f.Promise != recovery {
					t.Errorf("%s %s %s %s", f.At.Format("15:04:05.000"), f.Promise, f.Attempt, f.Text)
				}
			}
			for _, o := range s.Outcomes() {
				if o.Status == http.StatusBadGateway && o.Attempt.Method == http.MethodPost {
					t.Errorf("%s: the outcome of %s is unknown", o.EndedAt.Format("15:04:05.000"), o.Attempt.ID)
				}
			}
		})
	}
}

// TestLongRequestsAfterStops guards against requests of seconds that are refused although slots of their service are free on other
// hosts, after the stops of TestTakenAtStopIsAnswered.
func TestLongRequestsAfterStops(t *testing.T) {
	program := build(t, nil)
	for i, work := range longWork {
		t.Run(work.String(), func(t *testing.T) {
			t.Parallel()
			findings, _ := runLongStops(t, program, uint64(i+1), work)
			for _, f := range findings {
				if f.Promise == recovery {
					t.Errorf("%s %s %s", f.At.Format("15:04:05.000"), f.Promise, f.Text)
				}
			}
		})
	}
}
