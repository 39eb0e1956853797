// Package auditor checks the claims that callers received against the executions that upstreams recorded. P3, P4 and P5
// are the numbers of guarantees in docs/design.md.
package auditor

import (
	"fmt"
	"slices"
	"strings"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// Auditor holds the actions of callers and the executions of upstreams that Audit compares.
type Auditor struct {
	Actions    []caller.Action
	Executions []upstream.Execution
	// Idempotent names the request types, as service/type, that may run more than once.
	Idempotent map[string]bool
}

// Breach is a kind of violated guarantee.
type Breach string

// The kinds of breaches, each with the number of the guarantee that it violates, if there is one.
const (
	// BreachRanTwice means that a request of a non-idempotent type ran more than once under one key (P5).
	BreachRanTwice Breach = "ran-twice"
	// BreachNotRunButRan means that a request ran although an answer claimed that it did not (P4).
	BreachNotRunButRan Breach = "not-run-but-ran"
	// BreachRanWithoutRun means that an answer claimed that a request ran, but no run was recorded.
	BreachRanWithoutRun Breach = "ran-without-run"
	// BreachDamaged means that an answer was truncated or belongs to another request (P3).
	BreachDamaged Breach = "damaged"
)

// Finding is one breach that Audit found.
type Finding struct {
	Breach Breach `json:"breach"`
	// Target is service/type.
	Target string `json:"target"`
	// Marker is that of the action, or of the first of several runs.
	Marker string `json:"marker"`
	Detail string `json:"detail"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s %s: %s", f.Breach, f.Target, f.Marker, f.Detail)
}

// Audit returns all findings: first repeated runs, then those of each action in order.
func (a Auditor) Audit() []Finding {
	findings := a.repeatedRuns()
	runs := make(map[string][]upstream.Execution)
	for _, e := range a.Executions {
		id := e.Service + "/" + e.Type + " " + e.Marker
		runs[id] = append(runs[id], e)
	}
	for _, action := range a.Actions {
		findings = append(findings, a.auditAction(action, runs[action.Target+" "+action.Marker])...)
	}
	return findings
}

// repeatedRuns returns a finding for each non-idempotent request that ran more than once, sorted by text. Runs are
// grouped by target and key, or by marker if they have no key.
func (a Auditor) repeatedRuns() []Finding {
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

// auditAction compares the claims and results of an action's sends with the runs of that action.
func (a Auditor) auditAction(action caller.Action, runs []upstream.Execution) []Finding {
	var findings []Finding
	add := func(b Breach, detail string) {
		findings = append(findings, Finding{b, action.Target, action.Marker, detail})
	}
	allRefused := true // each send so far was answered with the claim not-run
	for i, s := range action.Sends {
		allRefused = allRefused && s.Claim == hornbeamcroft.ClaimNotRun.String()
		if s.Result == caller.ResultDamaged {
			add(BreachDamaged, s.Fault)
		}
		switch s.Claim {
		case hornbeamcroft.ClaimRan.String():
			if len(runs) == 0 {
				add(BreachRanWithoutRun, fmt.Sprintf("send %d: code %s", i+1, s.Code))
			}
		case hornbeamcroft.ClaimNotRun.String():
			last := i == len(action.Sends)-1
			if a.coversEarlierSends(action, allRefused) && ranBefore(runs, s.Ended, last) {
				add(BreachNotRunButRan, fmt.Sprintf("send %d: code %s", i+1, s.Code))
			}
		}
	}
	return findings
}

// coversEarlierSends reports whether the claim not-run also covers the earlier sends of the action. For a
// non-idempotent request it always does, because the claim is about the key. For an idempotent request the claim is
// about one send only: a run may belong to an earlier send that was not refused, so the claim can be checked only if
// all sends so far were refused.
func (a Auditor) coversEarlierSends(action caller.Action, allRefused bool) bool {
	return allRefused || !a.Idempotent[action.Target]
}

// ranBefore reports whether a run started before t, a Unix time in nanoseconds. If anyTime is true, a run counts whenever
// it started; the caller sets it for the last send, because no later send can have caused the run.
func ranBefore(runs []upstream.Execution, t int64, anyTime bool) bool {
	return slices.ContainsFunc(runs, func(e upstream.Execution) bool { return anyTime || e.Start < t })
}
