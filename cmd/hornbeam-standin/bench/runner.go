package bench

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/cmd/hornbeam-standin/auditor"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
	"hornbeamcroft/cmd/hornbeam-standin/platform"
	"hornbeamcroft/cmd/hornbeam-standin/scorer"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// readyTimeout bounds the start of a deployment, the stop of a node, the wait for a document change, and the wait between
// scenarios until all services are reachable.
const readyTimeout = 30 * time.Second

// sendTimeout bounds each send of a caller. No request type has a longer timeout at the nodes.
const sendTimeout = time.Second

// runner runs scenarios of one workload on one system, one at a time.
type runner struct {
	workload Workload
	times    Times
	seed     uint64
	fleet    *fleet.Fleet
	// loadCount is the number of loads sent so far. It makes the labels of the loads on one fleet unique.
	loadCount int
}

// run sends the load of one scenario, injects its faults and computes the figures.
func (r *runner) run(ctx context.Context, sc Scenario) (Run, error) {
	if sc.Prepare != nil {
		if err := sc.Prepare(ctx, r.fleet); err != nil {
			return Run{}, err
		}
	}
	r.loadCount++
	label := fmt.Sprintf("l%d-%s-", r.loadCount, sc.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waitFaults := r.scheduleFaults(ctx, sc)
	c := caller.Caller{Settings: r.callerSettings(sc, label)}
	report, err := c.Run(ctx)
	cancel()
	restarts, faultErr := waitFaults()
	if err == nil {
		err = faultErr
	}
	if err != nil {
		return Run{}, err
	}
	runs, err := r.fleet.Executions()
	if err != nil {
		return Run{}, err
	}
	run := score(r.workload, sc, r.times, report, withLabel(runs, label))
	run.Restarts = restarts
	return run, nil
}

// withLabel returns the executions of requests whose marker begins with the label.
func withLabel(runs []upstream.Execution, label string) []upstream.Execution {
	var selected []upstream.Execution
	for _, e := range runs {
		if strings.HasPrefix(e.Marker, label) {
			selected = append(selected, e)
		}
	}
	return selected
}

// callerSettings returns the load of a scenario.
func (r *runner) callerSettings(sc Scenario, label string) caller.Settings {
	cfg := caller.Settings{
		Rate: r.workload.Rate, Length: r.times.total(), Seed: r.seed, Label: label, MaxSends: max(1, sc.Tries),
		Timeout: sendTimeout, AnswerBytes: 500, Mix: r.workload.Mix,
	}
	for _, m := range r.fleet.Members {
		if m.Zone != sc.AvoidedZone {
			cfg.Nodes = append(cfg.Nodes, m.Listen)
		}
	}
	if sc.Surge > 1 {
		cfg.Phases = []caller.Phase{{At: r.times.Before, Factor: sc.Surge}, {At: r.times.Before + r.times.Fault, Factor: 1}}
	}
	return cfg
}

// scheduleFaults starts the faults of the scenario, each at its time from now; faults that have not started when ctx ends are
// left out. The returned function waits until all of them have ended and returns the number of node restarts.
func (r *runner) scheduleFaults(ctx context.Context, sc Scenario) func() (int, error) {
	var wg sync.WaitGroup
	var restarts int
	var errInject, errHeal, errRestart error
	runAfter := func(d time.Duration, fn func()) {
		wg.Go(func() {
			select {
			case <-time.After(d):
				fn()
			case <-ctx.Done():
			}
		})
	}
	if sc.Inject != nil {
		runAfter(r.times.Before, func() { errInject = sc.Inject(ctx, r.fleet) })
	}
	if sc.Heal != nil {
		runAfter(r.times.Before+r.times.Fault, func() { errHeal = sc.Heal(ctx, r.fleet) })
	}
	if sc.Rolling {
		runAfter(r.times.Before, func() { restarts, errRestart = r.restartNodes(ctx) })
	}
	return func() (int, error) {
		wg.Wait()
		for _, err := range []error{errInject, errHeal, errRestart} {
			if err != nil {
				return restarts, err
			}
		}
		return restarts, nil
	}
}

// restartNodes restarts each node once, one after the other and alternating between services. It stops early when ctx ends. It
// returns the number of restarts.
func (r *runner) restartNodes(ctx context.Context) (int, error) {
	restarts := 0
	for _, m := range interleaveServices(r.fleet) {
		if ctx.Err() != nil {
			break
		}
		if !m.NodeProcess.Stop(readyTimeout) {
			return restarts, errors.Errorf("node %s did not stop after SIGTERM and was killed", m.Name)
		}
		if err := r.fleet.StartNode(m); err != nil {
			return restarts, err
		}
		if err := r.fleet.WaitServing(ctx, m); err != nil && ctx.Err() == nil {
			return restarts, err
		}
		restarts++
	}
	return restarts, nil
}

// interleaveServices returns the members ordered so that those of one service are as far apart as possible.
func interleaveServices(f *fleet.Fleet) []*fleet.Member {
	var order []*fleet.Member
	for n := 0; len(order) < len(f.Members); n++ {
		for _, s := range f.Deployment.Services {
			if members := f.MembersOf(s.Name); n < len(members) {
				order = append(order, members[n])
			}
		}
	}
	return order
}

// restore clears the faults of the platform, restarts the processes that a scenario ended, and waits until every node reaches
// every service again.
func (r *runner) restore(ctx context.Context) error {
	if err := r.fleet.SetFaults(platform.Faults{}); err != nil {
		return err
	}
	for _, m := range r.fleet.Members {
		if !m.UpstreamProcess.Running() {
			if err := r.fleet.StartUpstream(m); err != nil {
				return err
			}
		}
		if !m.NodeProcess.Running() {
			if err := r.fleet.StartNode(m); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return r.fleet.WaitReady(ctx, r.fleet.Members)
}

// score computes the figures of one run from the report of the callers and the executions at the upstreams.
func score(w Workload, sc Scenario, t Times, report caller.Report, runs []upstream.Execution) Run {
	faultEnd := t.Before + t.Fault
	if sc.Permanent {
		faultEnd = t.Before
	}
	bins := scorer.Bins(report.Actions, t.total())
	run := Run{
		Scenario: sc.ID, Bins: bins, Offered: report.Total.Offered, Whole: report.Total.Succeeded, Unsent: report.Unsent,
		GoodputBefore: scorer.Goodput(bins, 0, t.Before),
		GoodputFault:  scorer.Goodput(bins, t.Before, t.Before+t.Fault),
		GoodputAfter:  scorer.Goodput(bins, t.Before+t.Fault, t.total()),
		P99:           report.Total.Latency.P99,
		Codes:         report.Total.Codes,
		Breaches:      make(map[auditor.Breach]int),
	}
	recovery, ok := scorer.Recovery(bins, t.Before, faultEnd)
	run.Recovery, run.Recovered = recovery.Seconds(), ok
	all := func(string) bool { return true }
	run.Waste = scorer.WastedShare(runs, scorer.SucceededMarkers(report.Actions), all)
	run.RunsMean, run.RunsMost = scorer.RunsPerAction(runs, w.DeepService, all)
	run.Lookups, run.Orders = succeededShares(w, t, report.Actions)
	for _, f := range (auditor.Auditor{Actions: report.Actions, Executions: runs, Idempotent: w.Deployment.Idempotent()}).Audit() {
		run.Breaches[f.Breach]++
	}
	return run
}

// succeededShares returns which share of the requests that arrived during the fault succeeded, for lookups and for all
// other requests; 0 if there were none.
func succeededShares(w Workload, t Times, actions []caller.Action) (lookups, orders float64) {
	var offered, succeeded [2]float64
	for _, a := range actions {
		if a.At < t.Before || a.At >= t.Before+t.Fault {
			continue
		}
		n := 0
		if !w.Lookups[a.Target] {
			n = 1
		}
		offered[n]++
		if a.Succeeded() {
			succeeded[n]++
		}
	}
	return succeeded[0] / max(1, offered[0]), succeeded[1] / max(1, offered[1])
}
