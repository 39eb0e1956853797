// Package demo runs a small deployment, kills a node while requests are running, and checks and prints the outcome of
// the requests.
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

// startTimeout is the default timeout for the start of the deployment.
const startTimeout = 60 * time.Second

// Command returns the subcommand "demo".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run four services with two instances each, kill a node and audit the answers",
		Flags: []cli.Flag{
			fleet.BinariesFlag(),
			fleet.DirFlag(),
			&cli.DurationFlag{Name: "time", Usage: "time over which requests arrive", Value: 8 * time.Second},
			&cli.DurationFlag{Name: "start-time", Usage: "timeout for the start of the deployment", Value: startTimeout},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second", Value: 60},
			&cli.StringFlag{Name: "kill", Usage: "`name` of the node to kill when half of the time has passed", Value: "stock-2"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrivals of requests", Value: 1},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	binaries, err := fleet.BinariesDir(cmd)
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
	report, err := sendLoad(ctx, cmd, f)
	if err != nil {
		return err
	}
	runs, err := f.Executions()
	if err != nil {
		return err
	}
	findings := auditor.Auditor{Actions: report.Actions, Executions: runs, Idempotent: f.Deployment.Idempotent()}.Audit()
	writeReport(w, report, runs, findings)
	if len(findings) > 0 {
		return errors.Errorf("demo: the audit found %d broken promises", len(findings))
	}
	if report.Total.Succeeded == 0 {
		return errors.New("demo: no request got a whole answer")
	}
	return nil
}

// sendLoad sends the requests of the demo and kills the chosen node when half of the time has passed.
func sendLoad(ctx context.Context, cmd *cli.Command, f *fleet.Fleet) (caller.Report, error) {
	var killed *fleet.Member
	for _, m := range f.Members {
		if m.Name == cmd.String("kill") {
			killed = m
		}
	}
	if killed == nil {
		return caller.Report{}, errors.Errorf("demo: there is no node %q to kill", cmd.String("kill"))
	}
	c := caller.Caller{Settings: caller.Settings{
		Nodes: f.NodeAddresses(), Rate: cmd.Float64("rate"), Length: cmd.Duration("time"), Seed: cmd.Uint64("seed"),
		MaxSends: 3, Timeout: 2 * time.Second, AnswerBytes: 2000,
		Mix: []caller.Mix{{Target: "sizing/size", Share: 0.6}, {Target: "sizing/order", Share: 0.4}},
	}}
	timer := time.AfterFunc(cmd.Duration("time")/2, func() {
		_, _ = fmt.Fprintf(cmd.Root().Writer, "demo: killing the node %s\n", killed.Name)
		killed.NodeProcess.Kill()
	})
	defer timer.Stop()
	return c.Run(ctx)
}
