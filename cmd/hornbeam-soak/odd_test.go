package main

import (
	"testing"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/soaker"
)

// TestOddEntries guards against nodes that end, or stop following the records of the others, because another writer left an entry
// that is nested deeply or holds a number or a port out of range.
func TestOddEntries(t *testing.T) {
	s := &soaker.Soaker{
		Seed: 1, Hosts: 5, Callers: 3, Length: 9 * time.Second, Program: build(t, nil), Folder: t.TempDir(),
		Steps: []planner.Step{
			{At: time.Second, Kind: "odd-entries"},
			{At: 2 * time.Second, Kind: "stop", Host: 1}, // starts with the odd entries, and has a new record
			{At: 2 * time.Second, Kind: "odd-entries", Host: 3},
			{At: 4 * time.Second, Kind: "replace", Host: 4},
			{At: 7 * time.Second, Kind: "odd-entries", Host: 1},
		},
	}
	r, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Findings {
		t.Errorf("%s %s %s %s", f.At.Format("15:04:05.000"), f.Promise, f.Attempt, f.Text)
	}
}
