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

// targetEdge is the latency that nodes may add to a call at the 99th percentile, in milliseconds (design page,
// section 1).
const targetEdge = 0.63

// edgeRate is the planned load of a node in calls per second.
const edgeRate = 115

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name: "edge", Usage: "measures what nodes add to a call", Action: runEdge,
		Flags: append(commonFlags(), &cli.IntFlag{Name: "runs", Usage: "runs of each way, in turn; the table shows medians", Value: 3}),
	}
}

// edgeDeployment has an entry node and one upstream behind its own node, so that a call passes two nodes and one link.
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

// EdgeRun is one load on one way to the upstream.
type EdgeRun struct {
	Way     string         `json:"way"`
	Target  string         `json:"target"`
	Rate    float64        `json:"rate"`
	Offered int            `json:"offered"`
	Whole   int            `json:"whole"`
	Latency caller.Latency `json:"latency"`
}

// Ways to the upstream.
const (
	wayDirect = "direct"
	wayNodes  = "through two nodes"
)

// edgeTypes are the request types that are measured.
var edgeTypes = []string{"edge/look-up", "edge/order"}

func runEdge(ctx context.Context, cmd *cli.Command) error {
	f, stop, err := open(ctx, cmd, edgeDeployment())
	if err != nil {
		return err
	}
	defer stop()
	length := 8 * time.Second
	if cmd.Bool("quick") {
		length = 2 * time.Second
	}
	h := newHeader(cmd.Uint64("seed"), cmd.Int("runs"))
	var runs []EdgeRun
	for n := range cmd.Int("runs") {
		for _, rate := range []float64{edgeRate, 10 * edgeRate} {
			for _, target := range edgeTypes {
				for _, way := range []string{wayDirect, wayNodes} {
					r, err := edgeRun(ctx, f, way, target, rate, length, h.Seed+uint64(n))
					if err != nil {
						return err
					}
					runs = append(runs, r)
				}
			}
		}
	}
	_, _ = fmt.Fprintln(cmd.Root().Writer, h.line())
	_, _ = fmt.Fprintln(cmd.Root().Writer, edgeTable(runs))
	return writeJSON(cmd.String("out"), "edge.json", struct {
		Header Header    `json:"header"`
		Runs   []EdgeRun `json:"runs"`
	}{h, runs})
}

// edgeLabels numbers the loads, since a repeated key would be answered from the record.
var edgeLabels int

func edgeRun(ctx context.Context, f *fleet.Fleet, way, target string, rate float64, length time.Duration, seed uint64) (EdgeRun, error) {
	edgeLabels++
	cfg := caller.Settings{
		Rate: rate, Time: length, Seed: seed, Tries: 1, Timeout: time.Second, Label: fmt.Sprintf("e%d-", edgeLabels),
		Mix: []caller.Mix{{Target: target, Share: 1}}, Nodes: []string{f.Of("entry")[0].Listen},
	}
	if way == wayDirect {
		cfg.Direct, cfg.Nodes = true, []string{f.Of("edge")[0].Upstream}
	}
	report, err := (&caller.Caller{Settings: cfg}).Run(ctx)
	return EdgeRun{way, target, rate, report.Total.Offered, report.Total.Whole, report.Total.Latency}, err
}

// edgeTable shows the medians of both ways and their difference.
func edgeTable(runs []EdgeRun) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Calls/s", "Type", "Quantile", "Direct ms", "Nodes ms", "Added ms", "Target ms", "Whole direct", "Whole nodes"})
	quantiles := []struct {
		name, target string
		of           func(caller.Latency) float64
	}{
		{"p50", "", func(l caller.Latency) float64 { return l.P50 }},
		{"p99", fmt.Sprint(targetEdge), func(l caller.Latency) float64 { return l.P99 }},
		{"p99.9", "", func(l caller.Latency) float64 { return l.P999 }},
	}
	for _, rate := range []float64{edgeRate, 10 * edgeRate} {
		for _, target := range edgeTypes {
			for _, q := range quantiles {
				direct, wholeDirect := edgeMedian(runs, wayDirect, target, rate, q.of)
				nodes, wholeNodes := edgeMedian(runs, wayNodes, target, rate, q.of)
				t.AppendRow(table.Row{
					rate, target, q.name, fmt.Sprintf("%.3f", direct), fmt.Sprintf("%.3f", nodes),
					fmt.Sprintf("%.3f", nodes-direct), q.target, wholeDirect, wholeNodes,
				})
			}
		}
	}
	return t.Render()
}

func edgeMedian(runs []EdgeRun, way, target string, rate float64, of func(caller.Latency) float64) (float64, string) {
	var values []float64
	offered, whole := 0, 0
	for _, r := range runs {
		if r.Way == way && r.Target == target && r.Rate == rate {
			values = append(values, of(r.Latency))
			offered += r.Offered
			whole += r.Whole
		}
	}
	return scorer.Median(values), fmt.Sprintf("%d of %d", whole, offered)
}
