package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
	"hornbeamcroft/cmd/hornbeam-standin/scorer"
)

// targetAddedMs is the latency in milliseconds that the nodes may add to a call at the 99th percentile (section 1 of the design
// page).
const targetAddedMs = 0.63

// edgeRate is the planned load of a node in calls per second. The measurement runs at this load and at ten times as much.
const edgeRate = 115

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name: "edge", Usage: "measure the latency that nodes add to a call", Action: runEdge,
		Flags: append(commonFlags(), &cli.IntFlag{Name: "runs", Usage: "number of runs of each path; the table shows medians", Value: 3}),
	}
}

// edgeDeployment returns two services with one upstream each. A call that enters at the node of the first and targets the second
// passes two nodes and one link.
func edgeDeployment() fleet.Deployment {
	service := func(name string) fleet.Service {
		return fleet.Service{Name: name, Count: 1, Slots: 200, Connections: 1000, Types: []fleet.Type{
			{Name: "look-up", Importance: "low", Idempotent: true, Timeout: time.Second},
			{Name: "order", Importance: "high", Timeout: time.Second},
		}}
	}
	return fleet.Deployment{
		Name: "edge", Zones: []string{"quimper"}, Services: []fleet.Service{service("entry"), service("edge")}, Policy: fleet.PolicyFull,
	}
}

// EdgeRun holds the figures of one load that was sent along one path to the upstream.
type EdgeRun struct {
	CallPath string         `json:"way"`
	Target   string         `json:"target"`
	Rate     float64        `json:"rate"`
	Offered  int            `json:"offered"`
	Whole    int            `json:"whole"`
	Latency  caller.Latency `json:"latency"`
}

// The compared paths from the caller to the upstream.
const (
	pathDirect = "direct"
	pathNodes  = "through two nodes"
)

// edgeTargets lists the measured request types as service/type.
var edgeTargets = []string{"edge/look-up", "edge/order"}

func runEdge(ctx context.Context, cmd *cli.Command) error {
	f, stop, err := openFleet(ctx, cmd, edgeDeployment())
	if err != nil {
		return err
	}
	defer stop()
	duration := 8 * time.Second
	if cmd.Bool("quick") {
		duration = 2 * time.Second
	}
	h := newHeader(cmd.Uint64("seed"), cmd.Int("runs"))
	var runs []EdgeRun
	for n := range cmd.Int("runs") {
		for _, rate := range []float64{edgeRate, 10 * edgeRate} {
			for _, target := range edgeTargets {
				for _, path := range []string{pathDirect, pathNodes} {
					r, err := measureEdge(ctx, f, path, target, rate, duration, h.Seed+uint64(n))
					if err != nil {
						return err
					}
					runs = append(runs, r)
				}
			}
		}
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, h.summary())
	_, _ = fmt.Fprintln(cmd.Root().Writer, edgeTable(runs))
	return writeJSON(cmd.String("out"), "edge.json", struct {
		Header Header    `json:"header"`
		Runs   []EdgeRun `json:"runs"`
	}{h, runs})
}

// edgeLoadCount is the number of loads sent so far. It makes labels unique: the node would answer a repeated key from its record
// instead of calling the upstream.
var edgeLoadCount int

// measureEdge sends one load along the path and returns its figures.
func measureEdge(ctx context.Context, f *fleet.Fleet, path, target string, rate float64, duration time.Duration, seed uint64) (EdgeRun, error) {
	edgeLoadCount++
	cfg := caller.Settings{
		Rate: rate, Length: duration, Seed: seed, MaxSends: 1, Timeout: time.Second, Label: fmt.Sprintf("e%d-", edgeLoadCount),
		Mix: []caller.Mix{{Target: target, Share: 1}}, Nodes: []string{f.MembersOf("entry")[0].Listen},
	}
	if path == pathDirect {
		cfg.BypassNodes, cfg.Nodes = true, []string{f.MembersOf("edge")[0].Upstream}
	}
	report, err := (&caller.Caller{Settings: cfg}).Run(ctx)
	return EdgeRun{path, target, rate, report.Total.Offered, report.Total.Succeeded, report.Total.Latency}, err
}

// edgeTable renders the median latencies of both paths and their difference, which is the latency that the nodes add.
func edgeTable(runs []EdgeRun) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Calls/s", "Type", "Quantile", "Direct ms", "Nodes ms", "Added ms", "Target ms", "Whole direct", "Whole nodes"})
	quantiles := []struct {
		name, target string
		quantile     func(caller.Latency) float64
	}{
		{"p50", "", func(l caller.Latency) float64 { return l.P50 }},
		{"p99", fmt.Sprint(targetAddedMs), func(l caller.Latency) float64 { return l.P99 }},
		{"p99.9", "", func(l caller.Latency) float64 { return l.P999 }},
	}
	for _, rate := range []float64{edgeRate, 10 * edgeRate} {
		for _, target := range edgeTargets {
			for _, q := range quantiles {
				direct, wholeDirect := edgeMedian(runs, pathDirect, target, rate, q.quantile)
				nodes, wholeNodes := edgeMedian(runs, pathNodes, target, rate, q.quantile)
				t.AppendRow(table.Row{
					rate, target, q.name, fmt.Sprintf("%.3f", direct), fmt.Sprintf("%.3f", nodes),
					fmt.Sprintf("%.3f", nodes-direct), q.target, wholeDirect, wholeNodes,
				})
			}
		}
	}
	return t.Render()
}

// edgeMedian returns the median over the runs of a latency quantile, and the numbers of whole answers and of requests as text.
func edgeMedian(runs []EdgeRun, path, target string, rate float64, quantile func(caller.Latency) float64) (float64, string) {
	var values []float64
	offered, whole := 0, 0
	for _, r := range runs {
		if r.CallPath == path && r.Target == target && r.Rate == rate {
			values = append(values, quantile(r.Latency))
			offered += r.Offered
			whole += r.Whole
		}
	}
	return scorer.Median(values), fmt.Sprintf("%d of %d", whole, offered)
}
