// Package scenarios runs scripted simulations of admission, balancing, retries and propagation together, on a virtual
// clock. The scripts are in testdata.
package scenarios

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
)

// TestScenarios guards against a mechanism that has no effect: each script runs the mechanism and a baseline without
// it, and the baseline must miss the bound that the mechanism meets.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["results"] = map[string]float64{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"chain": runChain, "layers": runLayers, "expect": expect},
	})
}

// runChain implements the command chain, which runs a chain and replaces the results: "chain name=value...".
func runChain(ts *testscript.TestScript, _ bool, args []string) {
	cfg, err := parse(args)
	ts.Check(err)
	c := newChain(cfg)
	c.generateActions(cfg.low, hornbeamcroft.ImportanceLow, "low")
	c.generateActions(cfg.high, hornbeamcroft.ImportanceHigh, "high")
	c.generateActions(cfg.background, hornbeamcroft.ImportanceLow, "background")
	c.run(cfg.end)
	results := ts.Value("results").(map[string]float64)
	clear(results)
	c.stats.report(cfg, results)
	for name, v := range results {
		ts.Logf("%s %.4g", name, v)
	}
}

// expect implements the command expect, which compares a result with a bound: "expect name >= value", or <=. With a
// leading "!" the comparison must fail.
func expect(ts *testscript.TestScript, neg bool, args []string) {
	got, ok := ts.Value("results").(map[string]float64)[args[0]]
	bound, err := strconv.ParseFloat(args[2], 64)
	ts.Check(err)
	if !ok {
		ts.Fatalf("there is no result %s", args[0])
	}
	holds := got <= bound
	if args[1] == ">=" {
		holds = got >= bound
	}
	if holds == neg {
		ts.Fatalf("the result %s is %.4g", args[0], got)
	}
}

// bucket is the time resolution of the counts.
const bucket = 500 * time.Millisecond

// stats holds sums by name and bucket, and peaks by name.
type stats struct {
	counts map[string][]float64
	peaks  map[string]float64
}

func (s *stats) init(cfg config) {
	s.counts, s.peaks = map[string][]float64{}, map[string]float64{}
	for _, name := range []string{"offered-low", "offered-high", "done-low", "done-high", "latency-low", "latency-high", "work", "wasted"} {
		s.counts[name] = make([]float64, cfg.end/bucket+1)
	}
}

func (s *stats) add(name string, at time.Duration, v float64) {
	b := int(at / bucket)
	for len(s.counts[name]) <= b {
		s.counts[name] = append(s.counts[name], 0)
	}
	s.counts[name][b] += v
}

func (s *stats) max(name string, v float64) { s.peaks[name] = max(s.peaks[name], v) }

// sum returns the sum of the buckets that begin in the time between from and to.
func sum(vs []float64, from, to time.Duration) float64 {
	t := 0.0
	for i, v := range vs {
		if at := time.Duration(i) * bucket; at >= from && at < to {
			t += v
		}
	}
	return t
}

// report adds the results to the map: shares of the actions, calls and work between cfg.from and cfg.to, and the
// recovery time after cfg.to. If cfg.to is 0, the time ends one deadline before the end of the run.
func (s *stats) report(cfg config, results map[string]float64) {
	from, to := cfg.from, cfg.to
	if to == 0 {
		to = cfg.end - cfg.deadline
	}
	for _, i := range []string{"low", "high"} {
		offered := s.counts["offered-"+i]
		results[i] = sum(s.counts["done-"+i], from, to) / sum(offered, from, to)
		results["latency-"+i] = sum(s.counts["latency-"+i], from, to) / sum(s.counts["done-"+i], from, to)
		results["recovery-"+i] = s.recovery(cfg, s.counts["done-"+i], offered)
	}
	total := 0.0
	for name, vs := range s.counts {
		if rest, ok := strings.CutPrefix(name, "arrived-"); ok {
			results["calls-"+rest] = sum(vs, from, to)
			if strings.HasPrefix(rest, "s0-") {
				total += sum(vs, from, to)
			}
		}
	}
	for i := range cfg.upstreams {
		calls := fmt.Sprintf("calls-s0-%d", i)
		results[calls] += 0 // an upstream without calls has a result too
		results[fmt.Sprintf("share-%d", i)] = results[calls] / total
	}
	results["wasted"] = sum(s.counts["wasted"], from, to) / math.Max(1, sum(s.counts["work"], from, to))
	results["ejected"] = s.peaks["ejected"]
}

// recovery returns the seconds from cfg.to until the end of the last bucket in which less than 95 % of the actions
// offered were done.
func (s *stats) recovery(cfg config, done, offered []float64) float64 {
	last := cfg.to
	for i := range offered {
		at := time.Duration(i) * bucket
		if at >= cfg.to && at < cfg.end-cfg.deadline && done[i] < 0.95*offered[i] {
			last = at + bucket
		}
	}
	return (last - cfg.to).Seconds()
}
