package main

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/soaker"
	"hornbeamcroft/cmd/hornbeamctl/explainer"
	"hornbeamcroft/platform/standin/caller"
)

// failure is a kind of failed request. docs/OPERATIONS.md describes how to find its cause from the attempt id.
type failure struct {
	name    string
	matches func(o caller.Outcome) bool
	// fields are the names of the fields that the log line of the node where the request entered must have.
	fields []string
	// refusedAtIngress is true for a request that was refused at its ingress and sent to no host.
	refusedAtIngress bool
}

var failures = []failure{
	{
		"refused under load",
		func(o caller.Outcome) bool { return o.PromisesNotRun() && o.RetryAfter > 0 },
		[]string{"code", "route", "importance", "routes-version", "remaining-ms", "pressed", "admits", "level-age-ms"},
		true,
	},
	{
		"unknown outcome",
		func(o caller.Outcome) bool { return o.Status == http.StatusBadGateway && !o.Signed },
		[]string{"code", "hosts", "codes", "idempotent"},
		false,
	},
	{
		"no route",
		func(o caller.Outcome) bool { return o.Status == http.StatusNotFound },
		[]string{"code", "target", "routes-version", "routes-age-ms", "routes-source"},
		false,
	},
}

// TestExplain guards against logs in which the cause of a failed request cannot be found by its attempt id.
func TestExplain(t *testing.T) {
	is := is.New(t)
	s := &soaker.Soaker{
		Seed: 1, Hosts: 5, Callers: 16, Program: build(t, nil), Folder: t.TempDir(),
		// Hosts 3 and 4 run the service deep, to which the service that callers use makes child calls.
		Steps: []planner.Step{
			{At: time.Second, Kind: "routes"},
			{At: time.Second, Length: 3 * time.Second, Kind: "slow", Host: 3},
			{At: time.Second, Length: 3 * time.Second, Kind: "slow", Host: 4},
			// Both upstreams of the service lose answers: with only one, the nodes would send the calls to the other.
			{At: 5 * time.Second, Length: 3 * time.Second, Kind: "lose", Host: 3},
			{At: 5 * time.Second, Length: 3 * time.Second, Kind: "lose", Host: 4},
		},
	}
	_, err := s.Run()
	is.NoErr(err)
	statuses := make(map[int]int)
	for _, o := range s.Outcomes() {
		statuses[o.Status]++
	}
	t.Log("answers by status:", statuses)
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) { checkExplained(t, f, s) })
	}
}

// checkExplained fails the test unless the logs explain at least one request that failed in this way. Nodes omit log
// lines under load, so that not every request has its own.
func checkExplained(t *testing.T, f failure, s *soaker.Soaker) {
	t.Helper()
	matching := 0
	for _, o := range s.Outcomes() {
		if !f.matches(o) {
			continue
		}
		matching++
		step := explainAttempt(t, s, o.Attempt.ID)
		if step == nil || step.Entered == nil || f.refusedAtIngress && step.Entered.Fields["hosts"] != "" {
			continue
		}
		for _, name := range f.fields {
			if _, ok := step.Entered.Fields[name]; !ok {
				t.Errorf("the log line of %s has no field %s: %v", o.Attempt.ID, name, step.Entered.Fields)
			}
		}
		t.Logf("%s: %v", o.Attempt.ID, step.Entered.Fields)
		return
	}
	t.Errorf("the logs explain none of %d requests", matching)
}

// explainAttempt returns the explanation of the attempt from the logs of all nodes, or nil if there is none.
func explainAttempt(t *testing.T, s *soaker.Soaker, id string) *explainer.Step {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(s.Folder, "seed-1", "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	e := &explainer.Explainer{ID: id}
	for _, path := range logs {
		f, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		err = e.Read(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
	}
	step, err := e.Explain()
	if err != nil {
		return nil
	}
	return step
}
