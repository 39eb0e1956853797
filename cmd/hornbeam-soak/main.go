// Command hornbeam-soak runs nodes as processes of their own, strikes them with faults drawn from a seed, and holds what
// callers and upstreams see against the promises of the platform's users.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft/cmd/hornbeam-soak/soaker"
	"hornbeamcroft/cmd/hornbeam-soak/summarizer"
	"hornbeamcroft/platform/standin/caller"
)

func main() {
	cmd := &cli.Command{
		Name:  "hornbeam-soak",
		Usage: "hold nodes under drawn faults against what callers and upstreams see",
		Description: "Prints a line for each seed and ends with status 1 if a promise was broken. Settings, logs of the nodes\n" +
			"and report.json of each seed with a finding stay below the output folder.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "the node's `PROGRAM`", Value: "bin/hornbeam-node"},
			&cli.StringFlag{Name: "out", Usage: "output `FOLDER`", Value: "soak-out"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 draws one"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "hosts", Usage: "number of hosts", Value: 5},
			&cli.IntFlag{Name: "callers", Usage: "callers on each host", Value: 3},
			&cli.DurationFlag{Name: "length", Usage: "time in which faults begin", Value: 12 * time.Second},
			&cli.Float64Flag{Name: "per-second", Usage: "mean number of steps that begin each second; 0 plays a calm day", Value: 0.7},
			&cli.BoolFlag{Name: "table", Usage: "print what callers saw of each kind of request"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(rand.Uint32())
	}
	broken := 0
	for i := range cmd.Int("seeds") {
		found, err := play(cmd, seed+uint64(i))
		if err != nil {
			return err
		}
		if found {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", broken, cmd.Int("seeds"))
	}
	return nil
}

// play runs one seed and keeps its files if it found something.
func play(cmd *cli.Command, seed uint64) (bool, error) {
	s := &soaker.Soaker{
		Seed: seed, Hosts: cmd.Int("hosts"), Callers: cmd.Int("callers"), Length: cmd.Duration("length"),
		PerSecond: cmd.Float64("per-second"), Program: cmd.String("node"), Folder: cmd.String("out"),
	}
	r, err := s.Run()
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	fmt.Printf("seed %d: %d steps, %d requests, %.3f served, %.3f in calm, %d findings\n",
		seed, len(r.Steps), r.Requests, r.Served, r.Calm, len(r.Findings))
	if cmd.Bool("table") {
		if err := table(s.Outcomes()); err != nil {
			return false, err
		}
	}
	folder := filepath.Join(cmd.String("out"), "seed-"+strconv.FormatUint(seed, 10))
	if len(r.Findings) == 0 {
		return false, os.RemoveAll(folder)
	}
	for _, f := range r.Findings {
		fmt.Printf("  %s %s %s %s\n", f.At.Format("15:04:05.000"), f.Promise, f.Attempt, f.Text)
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return true, err
	}
	return true, os.WriteFile(filepath.Join(folder, "report.json"), data, 0o600)
}

// table prints a page of results.
func table(outcomes []caller.Outcome) error {
	var sum summarizer.Summarizer
	for _, o := range outcomes {
		sum.Add(o)
	}
	return sum.Write(os.Stdout)
}
