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

// readyTime bounds the start of a deployment and the wait between scenarios.
const readyTime = 30 * time.Second

// callerTimeout bounds each send; the nodes' timeouts by request type are shorter or equal.
const callerTimeout = time.Second

// runner runs scenarios of one workload on one system.
type runner struct {
	workload Workload
	times    Times
	seed     uint64
	fleet    *fleet.Fleet
	loads    int
}

// run runs one scenario and scores it.
func (r *runner) run(ctx context.Context, sc Scenario) (Run, error) {
	if sc.Begin != nil {
		if err := sc.Begin(ctx, r.fleet); err != nil {
			return Run{}, err
		}
	}
	r.loads++
	label := fmt.Sprintf("l%d-%s-", r.loads, sc.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faults := r.faults(ctx, sc)
	c := caller.Caller{Settings: r.settings(sc, label)}
	report, err := c.Run(ctx)
	cancel()
	restarts, faultErr := faults()
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
	run := score(r.workload, sc, r.times, report, labelled(runs, label))
	run.Restarts = restarts
	return run, nil
}

func labelled(runs []upstream.Execution, label string) []upstream.Execution {
	var own []upstream.Execution
	for _, e := range runs {
		if strings.HasPrefix(e.Marker, label) {
			own = append(own, e)
		}
	}
	return own
}

func (r *runner) settings(sc Scenario, label string) caller.Settings {
	cfg := caller.Settings{
		Rate: r.workload.Rate, Time: r.times.total(), Seed: r.seed, Label: label, Tries: max(1, sc.Tries),
		Timeout: callerTimeout, AnswerBytes: 500, Mix: r.workload.Mix,
	}
	for _, m := range r.fleet.Members {
		if m.Zone != sc.AwayFrom {
			cfg.Nodes = append(cfg.Nodes, m.Listen)
		}
	}
	if sc.Surge > 1 {
		cfg.Phases = []caller.Phase{{At: r.times.Before, Factor: sc.Surge}, {At: r.times.Before + r.times.Fault, Factor: 1}}
	}
	return cfg
}

// faults starts the faults of the scenario in time. The returned function waits for their end and returns the number of
// restarts.
func (r *runner) faults(ctx context.Context, sc Scenario) func() (int, error) {
	var wg sync.WaitGroup
	var restarts int
	var errInject, errHeal, errRoll error
	at := func(d time.Duration, fn func()) {
		wg.Go(func() {
			select {
			case <-time.After(d):
				fn()
			case <-ctx.Done():
			}
		})
	}
	if sc.Inject != nil {
		at(r.times.Before, func() { errInject = sc.Inject(ctx, r.fleet) })
	}
	if sc.Heal != nil {
		at(r.times.Before+r.times.Fault, func() { errHeal = sc.Heal(ctx, r.fleet) })
	}
	if sc.Rolling {
		at(r.times.Before, func() { restarts, errRoll = r.roll(ctx) })
	}
	return func() (int, error) {
		wg.Wait()
		for _, err := range []error{errInject, errHeal, errRoll} {
			if err != nil {
				return restarts, err
			}
		}
		return restarts, nil
	}
}

// roll restarts one node after the other, services in turn, until ctx ends.
func (r *runner) roll(ctx context.Context) (int, error) {
	restarts := 0
	for _, m := range byTurns(r.fleet) {
		if ctx.Err() != nil {
			break
		}
		if !m.Node.Stop(readyTime) {
			return restarts, errors.Errorf("%s did not stop by itself", m.Name)
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

// byTurns orders members so that two of the same service are far apart.
func byTurns(f *fleet.Fleet) []*fleet.Member {
	var order []*fleet.Member
	for n := 0; len(order) < len(f.Members); n++ {
		for _, s := range f.Deployment.Services {
			if of := f.Of(s.Name); n < len(of) {
				order = append(order, of[n])
			}
		}
	}
	return order
}

// settle undoes what a scenario left behind and waits until all services are reachable again.
func (r *runner) settle(ctx context.Context) error {
	if err := r.fleet.SetFaults(platform.Faults{}); err != nil {
		return err
	}
	for _, m := range r.fleet.Members {
		if !m.UpstreamRun.Running() {
			if err := r.fleet.StartUpstream(m); err != nil {
				return err
			}
		}
		if !m.Node.Running() {
			if err := r.fleet.StartNode(m); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return r.fleet.WaitReady(ctx, r.fleet.Members)
}

// score computes the figures of one run.
func score(w Workload, sc Scenario, t Times, report caller.Report, runs []upstream.Execution) Run {
	end := t.Before + t.Fault
	if sc.Instant {
		end = t.Before
	}
	bins := scorer.Bins(report.Actions, t.total())
	run := Run{
		Scenario: sc.ID, Bins: bins, Offered: report.Total.Offered, Whole: report.Total.Whole, Unsent: report.Unsent,
		GoodputBefore: scorer.Goodput(bins, 0, t.Before),
		GoodputFault:  scorer.Goodput(bins, t.Before, t.Before+t.Fault),
		GoodputAfter:  scorer.Goodput(bins, t.Before+t.Fault, t.total()),
		P99:           report.Total.Latency.P99,
		Codes:         report.Total.Codes,
		Breaches:      make(map[auditor.Breach]int),
	}
	recovery, ok := scorer.Recovery(bins, t.Before, end)
	run.Recovery, run.Recovered = recovery.Seconds(), ok
	all := func(string) bool { return true }
	run.Waste = scorer.Waste(runs, scorer.WholeMarkers(report.Actions), all)
	run.RunsMean, run.RunsMost = scorer.PerRequest(runs, w.Deep, all)
	run.Lookups, run.Orders = shares(w, t, report.Actions)
	for _, f := range (auditor.Auditor{Actions: report.Actions, Executions: runs, Idempotent: w.Deployment.Idempotent()}).Audit() {
		run.Breaches[f.Breach]++
	}
	return run
}

// shares returns whole answers as a share of the offered, for those that arrived during the fault.
func shares(w Workload, t Times, actions []caller.Action) (lookups, orders float64) {
	var offered, whole [2]float64
	for _, a := range actions {
		if a.At < t.Before || a.At >= t.Before+t.Fault {
			continue
		}
		n := 0
		if !w.Lookups[a.Target] {
			n = 1
		}
		offered[n]++
		if a.Whole() {
			whole[n]++
		}
	}
	return whole[0] / max(1, offered[0]), whole[1] / max(1, offered[1])
}
