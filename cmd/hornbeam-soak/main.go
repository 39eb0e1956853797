// Command hornbeam-soak runs nodes as separate processes, injects faults that are drawn at random from a seed, and
// checks that what callers and upstreams observe keeps the promises made to the platform's users.
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
		Usage: "run nodes under random faults and check what callers and upstreams observe",
		Description: "Prints one line per seed and exits with status 1 if a promise was broken. For each seed with findings, the\n" +
			"settings and logs of the nodes and report.json are kept below the output folder.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node", Usage: "`PROGRAM` of the node", Value: "bin/hornbeam-node"},
			&cli.StringFlag{Name: "out", Usage: "output `FOLDER`", Value: "soak-out"},
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 chooses one at random"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "hosts", Usage: "number of hosts", Value: 5},
			&cli.IntFlag{Name: "callers", Usage: "callers on each host", Value: 3},
			&cli.DurationFlag{Name: "length", Usage: "time during which faults start", Value: 12 * time.Second},
			&cli.Float64Flag{Name: "per-second", Usage: "mean number of steps that start per second; 0 injects no faults", Value: 0.7},
			&cli.BoolFlag{Name: "table", Usage: "print the results of each request type"},
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
	brokenSeeds := 0
	for i := range cmd.Int("seeds") {
		found, err := runSeed(cmd, seed+uint64(i))
		if err != nil {
			return err
		}
		if found {
			brokenSeeds++
		}
	}
	if brokenSeeds > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", brokenSeeds, cmd.Int("seeds"))
	}
	return nil
}

// runSeed runs one seed and reports whether it has findings. It removes the seed's files if there are none.
func runSeed(cmd *cli.Command, seed uint64) (bool, error) {
	s := &soaker.Soaker{
		Seed: seed, Hosts: cmd.Int("hosts"), Callers: cmd.Int("callers"), Length: cmd.Duration("length"),
		StepsPerSecond: cmd.Float64("per-second"), Program: cmd.String("node"), Folder: cmd.String("out"),
	}
	r, err := s.Run()
	if err != nil {
		return false, errors.Wrapf(err, "seed %d", seed)
	}
	fmt.Printf("seed %d: %d steps, %d requests, %.3f served, %.3f in calm, %d findings\n",
		seed, len(r.Steps), r.Requests, r.Served, r.ServedInCalm, len(r.Findings))
	if cmd.Bool("table") {
		if err := printTable(s.Outcomes()); err != nil {
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

// printTable prints the results of each request type.
func printTable(outcomes []caller.Outcome) error {
	var sum summarizer.Summarizer
	for _, o := range outcomes {
		sum.Add(o)
	}
	return sum.Write(os.Stdout)
}
