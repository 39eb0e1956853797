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

// failure is a kind of failed request for which docs/OPERATIONS.md tells the way from the id to the cause.
type failure struct {
	name string
	is   func(o caller.Outcome) bool
	// fields must be in the line of the node where the request entered.
	fields []string
	// unsent is true for a request that was refused where it entered, and not by each host that it was sent to.
	unsent bool
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

// TestExplain guards against a failed request whose id does not lead to its cause in the logs.
func TestExplain(t *testing.T) {
	is := is.New(t)
	s := &soaker.Soaker{
		Seed: 1, Hosts: 5, Callers: 16, Program: build(t, nil), Folder: t.TempDir(),
		// The hosts from deep on run the service below the one that callers use.
		Steps: []planner.Step{
			{At: time.Second, Kind: "routes"},
			{At: time.Second, For: 3 * time.Second, Kind: "slow", Host: 3},
			{At: time.Second, For: 3 * time.Second, Kind: "slow", Host: 4},
			// Both lose answers: one alone would be avoided.
			{At: 5 * time.Second, For: 3 * time.Second, Kind: "lose", Host: 3},
			{At: 5 * time.Second, For: 3 * time.Second, Kind: "lose", Host: 4},
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
		t.Run(f.name, func(t *testing.T) { explain(t, f, s) })
	}
}

// explain fails unless the logs explain some request that failed in this way. Lines are left out under load, so that not
// every request has its own.
func explain(t *testing.T, f failure, s *soaker.Soaker) {
	t.Helper()
	seen := 0
	for _, o := range s.Outcomes() {
		if !f.is(o) {
			continue
		}
		seen++
		step := account(t, s, o.Attempt.ID)
		if step == nil || step.Entered == nil || f.unsent && step.Entered.Fields["hosts"] != "" {
			continue
		}
		for _, name := range f.fields {
			if _, ok := step.Entered.Fields[name]; !ok {
				t.Errorf("the line about %s has no %s: %v", o.Attempt.ID, name, step.Entered.Fields)
			}
		}
		t.Logf("%s: %v", o.Attempt.ID, step.Entered.Fields)
		return
	}
	t.Errorf("none of %d requests is explained", seen)
}

func account(t *testing.T, s *soaker.Soaker, id string) *explainer.Step {
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
