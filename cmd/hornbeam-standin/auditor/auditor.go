// Package auditor compares what callers were told with what upstreams ran.
package auditor

import (
	"fmt"
	"slices"
	"strings"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// Auditor holds both sides of the comparison.
type Auditor struct {
	Actions    []caller.Action
	Executions []upstream.Execution
	// Idempotent names the request types, as service/type, that may run more than once.
	Idempotent map[string]bool
}

// Breach is a kind of broken promise.
type Breach string

// The breaches.
const (
	// BreachRanTwice is a second run of one key of a non-idempotent type (P5).
	BreachRanTwice Breach = "ran-twice"
	// BreachNotRunButRan is a run of a request that was claimed not to have run (P4).
	BreachNotRunButRan Breach = "not-run-but-ran"
	// BreachRanWithoutRun is a claim that a request ran, without a run.
	BreachRanWithoutRun Breach = "ran-without-run"
	// BreachDamaged is an answer that is truncated or belongs to another request (P3).
	BreachDamaged Breach = "damaged"
)

// Finding is one breach.
type Finding struct {
	Breach Breach `json:"breach"`
	Target string `json:"target"`
	Marker string `json:"marker"`
	Detail string `json:"detail"`
}

// String returns one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s %s: %s", f.Breach, f.Target, f.Marker, f.Detail)
}

// Audit returns all breaches, runs first.
func (a Auditor) Audit() []Finding {
	findings := a.twice()
	runs := make(map[string][]upstream.Execution)
	for _, e := range a.Executions {
		id := e.Service + "/" + e.Type + " " + e.Marker
		runs[id] = append(runs[id], e)
	}
	for _, action := range a.Actions {
		findings = append(findings, a.action(action, runs[action.Target+" "+action.Marker])...)
	}
	return findings
}

// twice finds non-idempotent requests that ran more than once. A run without a key counts under its marker.
func (a Auditor) twice() []Finding {
	runs := make(map[string][]upstream.Execution)
	for _, e := range a.Executions {
		target := e.Service + "/" + e.Type
		if a.Idempotent[target] {
			continue
		}
		id := target + " " + e.Key
		if e.Key == "" {
			id += e.Marker
		}
		runs[id] = append(runs[id], e)
	}
	var findings []Finding
	for id, es := range runs {
		if len(es) > 1 {
			target, key, _ := strings.Cut(id, " ")
			findings = append(findings, Finding{BreachRanTwice, target, es[0].Marker, fmt.Sprintf("key %s ran %d times", key, len(es))})
		}
	}
	slices.SortFunc(findings, func(x, y Finding) int { return strings.Compare(x.String(), y.String()) })
	return findings
}

// action compares the claims of one action's sends with its runs.
func (a Auditor) action(action caller.Action, runs []upstream.Execution) []Finding {
	var findings []Finding
	report := func(b Breach, detail string) {
		findings = append(findings, Finding{b, action.Target, action.Marker, detail})
	}
	refused := true // all sends so far were claimed not to have run
	for i, s := range action.Sends {
		refused = refused && s.Claim == hornbeamcroft.ClaimNotRun.String()
		if s.Result == caller.ResultDamaged {
			report(BreachDamaged, s.Fault)
		}
		switch s.Claim {
		case hornbeamcroft.ClaimRan.String():
			if len(runs) == 0 {
				report(BreachRanWithoutRun, fmt.Sprintf("send %d: code %s", i+1, s.Code))
			}
		case hornbeamcroft.ClaimNotRun.String():
			last := i == len(action.Sends)-1
			if a.coversEarlier(action, refused) && ranBefore(runs, s.Ended, last) {
				report(BreachNotRunButRan, fmt.Sprintf("send %d: code %s", i+1, s.Code))
			}
		}
	}
	return findings
}

// coversEarlier reports whether a claim of "not run" speaks for the earlier sends too: for a non-idempotent request the
// claim is about its key; for an idempotent one it is about the send, so it can be judged only if all were refused.
func (a Auditor) coversEarlier(action caller.Action, refused bool) bool {
	return refused || !a.Idempotent[action.Target]
}

// ranBefore reports whether a run began before the time, or ever if no later send could have caused it.
func ranBefore(runs []upstream.Execution, t int64, ever bool) bool {
	return slices.ContainsFunc(runs, func(e upstream.Execution) bool { return ever || e.Start < t })
}
