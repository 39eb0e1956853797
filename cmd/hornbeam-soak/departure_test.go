package main

import (
	"testing"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/soaker"
)

// departure is a way in which the process that acknowledged a departure may forget it.
type departure struct {
	name  string
	steps []planner.Step
}

// lateHeartbeat is how late the last heartbeat of the upstream arrives. The nodes that were restarted are in use again by then.
const lateHeartbeat = 5500 * time.Millisecond

var departures = []departure{
	{"node killed", []planner.Step{
		{At: time.Second, Kind: "depart", Length: lateHeartbeat},
		{At: 1500 * time.Millisecond, Kind: "kill"},
	}},
	{"node stopped", []planner.Step{
		{At: time.Second, Kind: "depart", Length: 2 * lateHeartbeat / 3},
		{At: 1500 * time.Millisecond, Kind: "stop"},
	}},
	{"node killed, healthy", []planner.Step{
		{At: time.Second, Kind: "depart-healthy", Length: lateHeartbeat},
		{At: 1500 * time.Millisecond, Kind: "kill"},
	}},
	{"peers killed, then node", []planner.Step{
		{At: time.Second, Kind: "depart", Length: lateHeartbeat},
		{At: 1500 * time.Millisecond, Kind: "kill", Host: 1},
		{At: 1500 * time.Millisecond, Kind: "kill", Host: 2},
		{At: 2 * time.Second, Kind: "kill"},
	}},
	{"node killed twice", []planner.Step{
		{At: time.Second, Kind: "depart-healthy", Length: lateHeartbeat},
		{At: 1200 * time.Millisecond, Kind: "kill"},
		{At: 2 * time.Second, Kind: "kill"},
	}},
	{"node killed, store silent", []planner.Step{
		{At: 500 * time.Millisecond, Kind: "store-silent", Length: 10 * time.Second},
		{At: time.Second, Kind: "depart-healthy", Length: lateHeartbeat},
		{At: 2500 * time.Millisecond, Kind: "kill"},
	}},
}

// reviewSteps are further orders of events in which an upstream was used that must not be, or a request was taken for one that had not run.
var reviewSteps = []departure{
	{"departed before the first heartbeat", []planner.Step{{At: time.Second, Kind: "depart-early", Length: 3 * time.Second}}},
	{"drained before the first heartbeat", []planner.Step{{At: time.Second, Kind: "drain-early", Length: 3 * time.Second}}},
	{"departed, node killed in an outage", []planner.Step{{At: time.Second, Kind: "depart-stranger", Length: 2 * time.Second}}},
	{"address reused", []planner.Step{{At: time.Second, Kind: "reuse-address", Length: 2 * time.Second}}},
	{"failed with each status that promises", []planner.Step{
		{At: time.Second, Kind: "fail-unproven", Length: 2*time.Second + 0},
		{At: 3500 * time.Millisecond, Kind: "fail-unproven", Length: 2*time.Second + 1},
		{At: 6 * time.Second, Kind: "fail-unproven", Length: 2*time.Second + 2},
		{At: 8500 * time.Millisecond, Kind: "fail-unproven", Length: 2*time.Second + 3},
	}},
}

// TestStepsOfReview guards against the faults that the third review showed, with five nodes: requests at an upstream that left before its first
// heartbeat, or before its node was killed in an outage of the store; requests of a service at an upstream of another one; and answers that say
// "not run" for requests that ran.
func TestStepsOfReview(t *testing.T) { runDepartures(t, reviewSteps) }

// allKilled are departures after which no process is left that has heard of them.
var allKilled = []departure{
	{"departed in an outage", []planner.Step{
		{At: 500 * time.Millisecond, Kind: "store-busy", Length: 4500 * time.Millisecond},
		{At: 1500 * time.Millisecond, Kind: "depart", Length: 4 * time.Second},
		{At: 2 * time.Second, Kind: "kill-all"},
	}},
	{"drained in an outage, killed twice", []planner.Step{
		{At: 500 * time.Millisecond, Kind: "store-silent", Length: 4500 * time.Millisecond},
		{At: 1500 * time.Millisecond, Kind: "drain", Length: 8 * time.Second},
		{At: 2 * time.Second, Kind: "kill-all"},
		{At: 3500 * time.Millisecond, Kind: "kill-all"},
	}},
	{"departed as the outage ends", []planner.Step{
		{At: 500 * time.Millisecond, Kind: "store-busy", Length: 2 * time.Second},
		{At: 1500 * time.Millisecond, Kind: "depart-healthy", Length: 5 * time.Second},
		{At: 3 * time.Second, Kind: "kill-all"},
	}},
	{"departed before an outage", []planner.Step{
		{At: time.Second, Kind: "depart-healthy", Length: 5 * time.Second},
		{At: 1200 * time.Millisecond, Kind: "store-silent", Length: 3 * time.Second},
		{At: 1500 * time.Millisecond, Kind: "kill-all"},
	}},
	{"departed, then all nodes down until the record has ended", []planner.Step{
		{At: time.Second, Kind: "depart-healthy", Length: 6 * time.Second},
		{At: 1500 * time.Millisecond, Kind: "kill-all", Length: 4 * time.Second},
		{At: 2500 * time.Millisecond, Kind: "record-removed"},
	}},
}

// TestDepartureOutlivesAllProcesses guards against an upstream that was told that its leaving is acknowledged and gets calls again after
// all nodes were killed, because only their memory or a short lease held the leaving.
func TestDepartureOutlivesAllProcesses(t *testing.T) { runDepartures(t, allKilled) }

// TestDepartedUpstreamUsedAgain guards against an upstream that has left and gets calls again after its node was restarted: a late
// heartbeat, a health answer, a peer or a record of the store may bring it back, and the restarted process may know of no leaving.
func TestDepartedUpstreamUsedAgain(t *testing.T) { runDepartures(t, departures) }

// runDepartures plays each of the departures against five nodes.
func runDepartures(t *testing.T, departures []departure) {
	program := build(t, nil)
	for i, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := &soaker.Soaker{
				Seed: uint64(i + 1), Hosts: 5, Callers: 3, Length: 11 * time.Second, Program: program, Folder: t.TempDir(), Steps: d.steps,
			}
			r, err := s.Run()
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range r.Findings {
				t.Errorf("%s %s %s %s", f.At.Format("15:04:05.000"), f.Promise, f.Attempt, f.Text)
			}
		})
	}
}
