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
//   - stop: stops the node with SIGTERM and starts it again
//   - hangup: sends SIGHUP to the node
//   - replace: drains the upstream and starts a new instance at the same address
//   - routes: writes the next version of the configuration to the store
var PlannedKinds = []string{"stop", "hangup", "replace", "routes"}

// FaultKinds lists the kinds of faults. Package soaker injects them and holds their figures.
//   - kill: kills the node and starts it again
//   - kill-many: kills several nodes, drawn at random, at the same time, and starts them again
//   - pause: pauses the process of the node with SIGSTOP
//   - crash: ends the upstream without a drain and starts a new instance
//   - slow: requests take longer in the upstream
//   - refuse: the upstream refuses a share of the requests without running them
//   - refuse-all: all upstreams of the service refuse a share of the requests without running them
//   - lose: the upstream runs a share of the requests without answering them
//   - truncate: the upstream cuts off a share of its answers
//   - store-busy: the store rejects each call with status 503
//   - store-silent: the store does not answer, and no lease expires
//   - store-reset: the store closes the connection of each call
//   - store-slow: the store delays each call
//   - store-lose: the store carries out a share of the writes without answering them
//   - store-lapse: the store does not answer, and leases expire
//   - store-compact: the store compacts its history
//   - store-stale: the store answers stale reads from an old snapshot
//   - record-removed: the member record of the node is removed from the store
//   - store-cut: the host's connections to the store carry nothing, and new ones are reset
//   - store-one-way: the answers of the store do not reach the host
//   - links-delayed, links-silent, links-one-way: the links of other nodes to the node are delayed, carry nothing, or
//     carry nothing that the node sends
//   - links-reset: the links of other nodes to the node are reset
//   - upstream-reset, upstream-delayed, upstream-silent: the connections of the node to its upstream are reset, are
//     delayed, or carry nothing
var FaultKinds = []string{
	"kill", "kill-many", "pause", "crash", "slow", "refuse", "refuse-all", "lose", "truncate",
	"store-busy", "store-silent", "store-reset", "store-slow", "store-lose", "store-lapse", "store-compact",
	"store-stale", "record-removed", "store-cut", "store-one-way", "links-delayed", "links-silent", "links-one-way",
	"links-reset", "upstream-reset", "upstream-delayed", "upstream-silent",
}

// StatementKinds lists further kinds of faults, which are drawn in addition to the others.
//   - limit: the upstream states a rate limit in its answers
//   - leave: the upstream states in its answers, but not in its heartbeats, that it leaves, and then ends
//   - store-restore: the store does not answer, and comes back from an older copy
var StatementKinds = []string{"limit", "leave", "store-restore"}

// DepartureKinds lists further kinds of planned operations, which are drawn in addition to the others. In both, the upstream
// deregisters, runs on for seconds and ends, and its last heartbeat arrives late.
//   - depart: the upstream answers health checks as leaving
//   - depart-healthy: the upstream answers health checks as healthy
var DepartureKinds = []string{"depart", "depart-healthy"}

// ForeignKinds lists what another writer may do, drawn in addition to the other steps. It must affect no request.
//   - odd-entries: another writer puts entries among the records of the nodes, replaces one of them, and sends heartbeats to the
//     node, all of which name no upstream and cannot be read
var ForeignKinds = []string{"odd-entries"}

// ReviewKinds lists further kinds that faults found in reviews gave rise to. Each has random numbers of its own. Those with the value true
// are planned operations, or need a run in which nothing else disturbs the nodes, and are drawn for all seeds.
//   - depart-stop, depart-kill: the upstream deregisters and runs on, and its node is restarted before a late heartbeat arrives
//   - stop-long: stops the node while requests last nearly as long as the time from SIGTERM to SIGKILL
//   - large-answers: sends bursts of non-idempotent requests whose answers are large
//   - poison-rolling: requests that crash upstreams come again and again while the nodes of a service are restarted in turn
//   - corrupt: the upstream changes one byte in the heads of a share of its answers
//   - depart-outage: the upstream deregisters while the store is away and runs on, and all nodes are killed and restarted, once or twice,
//     before a late heartbeat arrives
//   - fail-unproven: the upstream fails a share of the requests that it has run with a status that promises that they have not run
//   - depart-early, drain-early: the upstream crashes and is back under its id; it leaves before its first heartbeat, which is late, arrives
//   - depart-stranger: the upstream deregisters and runs on, the store goes away, and its node is killed and restarted meanwhile
//   - reuse-address: the upstream ends for good, its node is killed and restarted, and an upstream of another service starts at its address
var ReviewKinds = []ReviewKind{
	{"depart-stop", true},
	{"depart-kill", false},
	{"stop-long", true},
	{"large-answers", true},
	{"poison-rolling", true},
	{"corrupt", false},
	{"depart-outage", false},
	{"fail-unproven", false},
	{"depart-early", false},
	{"drain-early", false},
	{"depart-stranger", false},
	{"reuse-address", false},
}

// ReviewKind is one of ReviewKinds. Always is true if it is drawn for seeds with planned operations only, too.
type ReviewKind struct {
	Kind   string
	Always bool
}

// firstReviewStream is the number of the stream of random numbers of the first of ReviewKinds.
const firstReviewStream = 4

// MaxLength is the greatest drawn length of a step.
const MaxLength = 4 * time.Second

const (
	// firstStep is when the first step starts. The time before it is for the start of the nodes.
	firstStep = time.Second
	// minLength is the least drawn length of a step. Steps that consist of a single operation end when the
	// operation is complete, whatever their length.
	minLength = 300 * time.Millisecond
	// plannedOnlyShare is the share of seeds that have planned operations only. All their requests must be answered.
	plannedOnlyShare = 0.3
	// seriesShare is the probability with which a drawn step begins a series: one to three more steps on the same host,
	// of newly drawn kinds, start seriesInterval after one another.
	seriesShare    = 0.25
	seriesInterval = 700 * time.Millisecond
	// statementShare is the mean number of steps of StatementKinds for each other step, departureShare that of
	// DepartureKinds, and foreignShare that of ForeignKinds.
	statementShare = 0.3
	departureShare = 0.15
	foreignShare   = 0.15
	// reviewShare is the same for each kind of ReviewKinds.
	reviewShare = 0.04
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
			Length: minLength + time.Duration(rnd.Float64()*float64(MaxLength-minLength)),
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
	if len(kinds) > len(PlannedKinds) {
		steps = append(steps, planFurther(seed, 1, StatementKinds, hosts, length, perSecond*statementShare)...)
		steps = append(steps, planFurther(seed, 2, DepartureKinds, hosts, length, perSecond*departureShare)...)
	}
	steps = append(steps, planFurther(seed, 3, ForeignKinds, hosts, length, perSecond*foreignShare)...)
	for i, k := range ReviewKinds {
		if k.Always || len(kinds) > len(PlannedKinds) {
			steps = append(steps, planReview(seed, firstReviewStream+uint64(i), k.Kind, hosts, length, perSecond*reviewShare)...)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// planFurther returns the steps of further kinds. They have random numbers of their own, from the stream with the given number,
// so that the other steps of a seed do not depend on them.
func planFurther(seed, stream uint64, kinds []string, hosts int, length time.Duration, perSecond float64) []Step {
	return planFrom(firstStep, rand.New(rand.NewPCG(seed, stream)), kinds, hosts, length, perSecond)
}

// planReview returns the steps of one kind of ReviewKinds. Unlike planFurther it draws the start of the first one, so that most seeds have
// few of the kinds, which take long.
func planReview(seed, stream uint64, kind string, hosts int, length time.Duration, perSecond float64) []Step {
	rnd := rand.New(rand.NewPCG(seed, stream))
	return planFrom(firstStep+nextAfter(rnd, perSecond), rnd, []string{kind}, hosts, length, perSecond)
}

// planFrom returns the steps of the kinds, of which the first starts at the given time.
func planFrom(at time.Duration, rnd *rand.Rand, kinds []string, hosts int, length time.Duration, perSecond float64) []Step {
	var steps []Step
	for ; at < length; at += nextAfter(rnd, perSecond) {
		steps = append(steps, Step{
			At: at, Kind: kinds[rnd.IntN(len(kinds))], Host: rnd.IntN(hosts),
			Length: minLength + time.Duration(rnd.Float64()*float64(MaxLength-minLength)),
		})
	}
	return steps
}

// nextAfter draws the time between two steps of which perSecond start per second on average.
func nextAfter(rnd *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second))
}
