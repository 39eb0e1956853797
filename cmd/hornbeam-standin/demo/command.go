// Package demo runs a small deployment, kills a node while requests are running and shows what came of the requests.
package demo

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft/cmd/hornbeam-standin/auditor"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
)

// startTime is the default bound of the start of the deployment.
const startTime = 60 * time.Second

// Command returns the subcommand "demo".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "runs four services with two instances each, kills a node and audits the answers",
		Flags: []cli.Flag{
			fleet.BinariesFlag(),
			fleet.DirFlag(),
			&cli.DurationFlag{Name: "time", Usage: "time over which requests arrive", Value: 8 * time.Second},
			&cli.DurationFlag{Name: "start-time", Usage: "bound of the start", Value: startTime},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second", Value: 60},
			&cli.StringFlag{Name: "kill", Usage: "`name` of the node to kill halfway", Value: "stock-2"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	binaries, err := fleet.BinariesOf(cmd)
	if err != nil {
		return err
	}
	w := cmd.Root().Writer
	_, _ = fmt.Fprintln(w, "demo: starting 8 upstreams with their nodes")
	startCtx, cancelStart := context.WithTimeout(ctx, cmd.Duration("start-time"))
	defer cancelStart()
	f, stop, err := fleet.Open(startCtx, fleet.Demo(), binaries, cmd.String("dir"))
	if err != nil {
		return err
	}
	defer stop()
	report, err := load(ctx, cmd, f)
	if err != nil {
		return err
	}
	runs, err := f.Executions()
	if err != nil {
		return err
	}
	findings := auditor.Auditor{Actions: report.Actions, Executions: runs, Idempotent: f.Deployment.Idempotent()}.Audit()
	show(w, report, runs, findings)
	if len(findings) > 0 {
		return errors.Errorf("demo: %d broken promises", len(findings))
	}
	if report.Total.Whole == 0 {
		return errors.New("demo: no request got its answer")
	}
	return nil
}

// load sends the requests and kills a node halfway.
func load(ctx context.Context, cmd *cli.Command, f *fleet.Fleet) (caller.Report, error) {
	var victim *fleet.Member
	for _, m := range f.Members {
		if m.Name == cmd.String("kill") {
			victim = m
		}
	}
	if victim == nil {
		return caller.Report{}, errors.Errorf("demo: no node %q", cmd.String("kill"))
	}
	c := caller.Caller{Settings: caller.Settings{
		Nodes: f.Ingress(), Rate: cmd.Float64("rate"), Time: cmd.Duration("time"), Seed: cmd.Uint64("seed"),
		Tries: 3, Timeout: 2 * time.Second, AnswerBytes: 2000,
		Mix: []caller.Mix{{Target: "sizing/size", Share: 0.6}, {Target: "sizing/order", Share: 0.4}},
	}}
	timer := time.AfterFunc(cmd.Duration("time")/2, func() {
		_, _ = fmt.Fprintf(cmd.Root().Writer, "demo: killing the node %s\n", victim.Name)
		victim.Node.Kill()
	})
	defer timer.Stop()
	return c.Run(ctx)
}
