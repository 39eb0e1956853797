// Package bench starts deployments of nodes and stand-in services on this machine, sends them a load and measures this build
// against baselines. The arrivals and service times of a measurement follow from one seed.
package bench

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft/cmd/hornbeam-standin/fleet"
)

// Command returns the subcommand "bench".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure goodput and recovery of this build and of the baselines",
		Flags: append(commonFlags(),
			&cli.IntFlag{Name: "runs", Usage: "number of runs of each scenario; the table shows medians", Value: 1},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only the scenario with this `id` (a, b, c, d, e, fa or fc); repeatable"},
			&cli.StringSliceFlag{Name: "deployment", Usage: "measure only the `deployment` regie or omuramba; repeatable"},
			&cli.StringSliceFlag{Name: "system", Usage: "measure only the `system` 'no control', 'plain limit' or 'this build'; repeatable"},
		),
		Action:   runBench,
		Commands: []*cli.Command{edgeCommand(), nodeCommand(), configCommand()},
	}
}

// openFleet starts a deployment with the programs and the directory that the flags of the command name. The returned function
// stops the deployment, as that of fleet.Open does.
func openFleet(ctx context.Context, cmd *cli.Command, d fleet.Deployment) (*fleet.Fleet, func() []string, error) {
	binaries, err := fleet.BinariesDir(cmd)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fleet.Open(ctx, d, binaries, cmd.String("dir"))
}

// commonFlags returns the flags that all measurements share.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		fleet.BinariesFlag(),
		fleet.DirFlag(),
		&cli.StringFlag{Name: "out", Usage: "`folder` for the JSON results and the plots", Value: "bench-out"},
		&cli.BoolFlag{Name: "quick", Usage: "measure for a shorter time, with fewer scenarios or changes"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals and service times", Value: 1},
		&cli.DurationFlag{Name: "bound", Usage: "time after which no further scenario or point is started", Value: 340 * time.Second},
	}
}

// plan lists what a benchmark measures.
type plan struct {
	workloads []Workload
	scenarios map[string][]string // scenario IDs by the name of the deployment
	systems   []System
	times     Times
	runs      int
}

// newPlan builds the plan that the flags select. By default, omuramba runs only scenarios a and b: the others do not depend on
// the shape of the deployment, and without them the default run takes less than six minutes.
func newPlan(cmd *cli.Command) plan {
	p := plan{
		workloads: []Workload{regie(), omuramba()}, systems: slices.Clone(systems), times: fullTimes, runs: cmd.Int("runs"),
		scenarios: map[string][]string{"regie": {"a", "b", "c", "e", "fa", "fc", "d"}, "omuramba": {"a", "b"}},
	}
	if cmd.Bool("quick") {
		p.times = quickTimes
		p.scenarios = map[string][]string{"regie": {"a", "b", "c"}}
	}
	if ids := cmd.StringSlice("scenario"); len(ids) > 0 {
		p.scenarios = map[string][]string{"regie": ids, "omuramba": ids}
	}
	if only := cmd.StringSlice("deployment"); len(only) > 0 {
		p.workloads = slices.DeleteFunc(p.workloads, func(w Workload) bool { return !slices.Contains(only, w.Deployment.Name) })
	}
	if only := cmd.StringSlice("system"); len(only) > 0 {
		p.systems = slices.DeleteFunc(p.systems, func(s System) bool { return !slices.Contains(only, s.Name) })
	}
	return p
}

func runBench(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	binaries, err := fleet.BinariesDir(cmd)
	if err != nil {
		return err
	}
	p := newPlan(cmd)
	res := Results{Header: newHeader(cmd.Uint64("seed"), p.runs), Times: p.times}
	m := measurement{plan: p, binaries: binaries, dir: cmd.String("dir"), seed: cmd.Uint64("seed"), w: cmd.Root().Writer}
	m.deadline = time.Now().Add(cmd.Duration("bound"))
	for n := range p.runs {
		for _, w := range p.workloads {
			for _, s := range p.systems {
				res.Runs = append(res.Runs, m.runSystem(ctx, w, s, n)...)
			}
		}
	}
	res.writeTables(cmd.Root().Writer)
	if err := writeJSON(cmd.String("out"), "bench.json", res); err != nil {
		return err
	}
	if err := res.writePlots(cmd.String("out")); err != nil {
		return err
	}
	return res.checkComplete()
}

// checkComplete returns an error if at least one run was not measured.
func (res Results) checkComplete() error {
	for _, r := range res.Runs {
		if r.Error != "" {
			return errors.New("bench: some runs were not measured; their errors are listed below the tables")
		}
	}
	return nil
}

// measurement runs a plan until its deadline.
type measurement struct {
	plan     plan
	binaries string // directory of the programs
	dir      string // directory for settings, logs and records; empty for a temporary one
	seed     uint64
	deadline time.Time
	w        io.Writer
}

// runSystem starts the deployment of a workload with the policy of a system and runs the planned scenarios on it, one after the
// other. A scenario that fails, or that cannot be started, gives a Run with an error. number counts the repetitions from 0.
func (m measurement) runSystem(ctx context.Context, w Workload, s System, number int) []Run {
	ids := m.plan.scenarios[w.Deployment.Name]
	if len(ids) == 0 {
		return nil
	}
	w.Deployment.Policy, w.Deployment.Seed = s.Policy, m.seed+uint64(number)
	startCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	f, stop, openErr := m.openFleet(startCtx, w.Deployment)
	if openErr == nil {
		defer stop()
	}
	r := &runner{workload: w, times: m.plan.times, seed: m.seed + uint64(number), fleet: f}
	var runs []Run
	for _, sc := range scenarios(w) {
		if !slices.Contains(ids, sc.ID) {
			continue
		}
		run, err := Run{}, openErr
		if err == nil {
			run, err = m.runScenario(ctx, r, sc)
		}
		if err != nil {
			run = Run{Scenario: sc.ID, Error: err.Error()}
		}
		run.Deployment, run.System, run.Number = w.Deployment.Name, s.Name, number+1
		_, _ = fmt.Fprintf(m.w, "bench: %s, %s, %s: %d of %d whole %s\n", run.Deployment, s.Name, sc.Name, run.Whole, run.Offered, run.Error)
		runs = append(runs, run)
	}
	return runs
}

var errNotStarted = errors.New("not started: interrupted, or the time bound has passed")

// halted reports whether the measurement was interrupted or its deadline has passed, so that nothing more is started.
func (m measurement) halted(ctx context.Context) bool {
	return ctx.Err() != nil || time.Now().After(m.deadline)
}

func (m measurement) openFleet(ctx context.Context, d fleet.Deployment) (*fleet.Fleet, func() []string, error) {
	if m.halted(ctx) {
		return nil, nil, errNotStarted
	}
	return fleet.Open(ctx, d, m.binaries, m.dir)
}

func (m measurement) runScenario(ctx context.Context, r *runner, sc Scenario) (Run, error) {
	if m.halted(ctx) {
		return Run{}, errNotStarted
	}
	if r.loadCount > 0 {
		if err := r.restore(ctx); err != nil {
			return Run{}, err
		}
	}
	return r.run(ctx, sc)
}
