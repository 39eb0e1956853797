// Package planner draws the faults and planned operations of one soak run at random from a seed.
package planner

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one fault or planned operation. At is when it starts, counted from the start of the run.
type Step struct {
	At     time.Duration `json:"at"`
	Length time.Duration `json:"for"`
	Kind   string        `json:"kind"`
	// Host is the index of the host at which the step is aimed. Some kinds affect other hosts too, or only the store.
	Host int `json:"host"`
}

// PlannedKinds lists the kinds of planned operations. They must interrupt no request.
var PlannedKinds = []string{"stop", "hangup", "replace", "routes"}

// FaultKinds lists the kinds of faults.
var FaultKinds = []string{
	"kill", "kill-many", "pause", "crash", "slow", "refuse", "refuse-all", "lose", "truncate",
	"store-busy", "store-silent", "store-reset", "store-slow", "store-lose", "store-lapse", "store-compact",
	"store-stale", "record-removed", "store-cut", "store-one-way", "links-delayed", "links-silent", "links-one-way",
	"links-reset", "upstream-reset", "upstream-delayed", "upstream-silent",
}

const (
	// firstStep is when the first step starts. The time before it is for the start of the nodes.
	firstStep = time.Second
	// minLength and maxLength bound the drawn length of a step. Steps that consist of a single operation end when the
	// operation is complete, whatever their length.
	minLength = 300 * time.Millisecond
	maxLength = 4 * time.Second
	// plannedOnlyShare is the share of seeds that have planned operations only. All their requests must be answered.
	plannedOnlyShare = 0.3
	// seriesShare is the share of drawn steps that one to three more steps on the same host follow, seriesInterval
	// apart.
	seriesShare    = 0.25
	seriesInterval = 700 * time.Millisecond
)

// Plan returns the steps of a run of the given length on the given number of hosts, in the order of their start. On
// average perSecond of them start per second, not counting the later steps of a series. Plan returns none if perSecond
// is zero or less.
func Plan(seed uint64, hosts int, length time.Duration, perSecond float64) []Step {
	if perSecond <= 0 {
		return nil
	}
	rnd := rand.New(rand.NewPCG(seed, 0))
	kinds := PlannedKinds
	if rnd.Float64() >= plannedOnlyShare {
		kinds = slices.Concat(PlannedKinds, FaultKinds)
	}
	var steps []Step
	for at := firstStep; at < length; {
		s := Step{
			At: at, Kind: kinds[rnd.IntN(len(kinds))], Host: rnd.IntN(hosts),
			Length: minLength + time.Duration(rnd.Float64()*float64(maxLength-minLength)),
		}
		steps = append(steps, s)
		if rnd.Float64() < seriesShare {
			for range 1 + rnd.IntN(3) {
				s.At += seriesInterval
				s.Kind = kinds[rnd.IntN(len(kinds))]
				steps = append(steps, s)
			}
		}
		at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
