// Package planner draws the faults of one run of the soak from a seed.
package planner

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Step is one fault or piece of planned work.
type Step struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind string        `json:"kind"`
	// Host is the index of the host that it strikes.
	Host int `json:"host"`
}

// Planned are the kinds of work that must cut no request.
var Planned = []string{"stop", "hangup", "replace", "routes"}

// Faults are the kinds of trouble.
var Faults = []string{
	"kill", "kill-many", "pause", "crash", "slow", "refuse", "refuse-all", "lose", "truncate",
	"store-busy", "store-silent", "store-reset", "store-slow", "store-lose", "store-lapse", "store-compact",
	"store-stale", "record-removed", "store-cut", "store-one-way", "links-delayed", "links-silent", "links-one-way",
	"links-reset", "upstream-reset", "upstream-delayed", "upstream-silent",
}

const (
	// begin leaves time for the start of the nodes.
	begin = time.Second
	// longest and shortest bound a step; some end when what they began is over.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	// plannedShare is the share of seeds with planned work only, whose requests must all be answered.
	plannedShare = 0.3
	// seriesShare is the share of steps that come as a series on the same host.
	seriesShare = 0.25
	seriesGap   = 700 * time.Millisecond
)

// Plan draws the steps of a run of the given length on the hosts; about perSecond of them start each second, none if it is
// zero.
func Plan(seed uint64, hosts int, length time.Duration, perSecond float64) []Step {
	if perSecond <= 0 {
		return nil
	}
	rnd := rand.New(rand.NewPCG(seed, 0))
	kinds := Planned
	if rnd.Float64() >= plannedShare {
		kinds = slices.Concat(Planned, Faults)
	}
	var steps []Step
	for at := begin; at < length; {
		s := Step{
			At: at, Kind: kinds[rnd.IntN(len(kinds))], Host: rnd.IntN(hosts),
			For: shortest + time.Duration(rnd.Float64()*float64(longest-shortest)),
		}
		steps = append(steps, s)
		if rnd.Float64() < seriesShare {
			for range 1 + rnd.IntN(3) {
				s.At += seriesGap
				s.Kind = kinds[rnd.IntN(len(kinds))]
				steps = append(steps, s)
			}
		}
		at += time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}
