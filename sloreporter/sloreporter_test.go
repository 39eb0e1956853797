package sloreporter

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hornbeamcroft"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
	"pgregory.net/rapid"
)

// init fixes the seed of package rapid, so that a failure in CI can be reproduced.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

var objective = hornbeamcroft.Objective{
	Service: "order-desk", RequestType: "order", Answered: 0.9, Within: time.Second, WithinShare: 0.8, Period: 24 * time.Hour,
}

// fleet simulates nodes on a virtual wall clock.
type fleet struct {
	wall time.Time
	// nodes holds the running nodes by name. names lists all nodes that were ever started.
	nodes map[string]*Reporter
	names []string
	// steady holds reporters that record the same outcomes and never stop, for comparison.
	steady map[string]*Reporter
}

func newFleet() *fleet {
	return &fleet{wall: epoch, nodes: map[string]*Reporter{}, steady: map[string]*Reporter{}}
}

// start starts a node, or starts it again without its counts.
func (f *fleet) start(name string) {
	r := New(f.wall, name, uint64(f.wall.UnixMilli()))
	if err := r.Register(f.wall, objective.Service, objective.RequestType); err != nil {
		panic(err)
	}
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
		f.steady[name] = New(f.wall, name, 0)
		_ = f.steady[name].Register(f.wall, objective.Service, objective.RequestType)
	}
	f.nodes[name] = r
}

// run advances the clock by d. Once a second, each running node ticks and records its outcome; nodes that outcomes does
// not name record OutcomeGood.
func (f *fleet) run(d time.Duration, outcomes map[string]Outcome) {
	for end := f.wall.Add(d); f.wall.Before(end); {
		f.wall = f.wall.Add(time.Second)
		for _, name := range f.names {
			for _, r := range []*Reporter{f.nodes[name], f.steady[name]} {
				if r != nil {
					r.Tick(f.wall)
					r.Record(f.wall, objective.Service, objective.RequestType, outcomes[name])
				}
			}
		}
	}
}

// report builds a report from the counts of the given nodes.
func (f *fleet) report(nodes map[string]*Reporter) Report {
	in := Input{Wall: f.wall, Nodes: f.names, Objectives: []hornbeamcroft.Objective{objective}}
	for _, n := range f.names {
		if nodes[n] != nil {
			in.Counts = append(in.Counts, nodes[n].Snapshot(f.wall)...)
		}
	}
	return Build(in)
}

// TestScripts runs the scenarios under testdata.
func TestScripts(t *testing.T) {
	up := func(e *testscript.Env) error {
		e.Values["fleet"] = newFleet()
		return nil
	}
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: up, Cmds: map[string]func(*testscript.TestScript, bool, []string){
		"start": cmdStart, "run": cmdRun, "halt": cmdHalt, "report": cmdReport, "budget-not-better": cmdNotBetter,
	}})
}

// cmdStart implements "start NODE...".
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, n := range args {
		ts.Value("fleet").(*fleet).start(n)
	}
}

// cmdRun implements "run TIME [NODE=OUTCOME]...". The other nodes record good requests.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	outcomes := map[string]Outcome{}
	for _, a := range args[1:] {
		n, o, _ := strings.Cut(a, "=")
		outcomes[n] = map[string]Outcome{"bad": OutcomeBad, "slow": OutcomeSlow, "refused": OutcomeRefused}[o]
	}
	ts.Value("fleet").(*fleet).run(d, outcomes)
}

// cmdHalt implements "halt NODE [RECEIVER]". It stops a node. If a receiver is given, the node first hands its counts over
// to it; otherwise they are lost.
func cmdHalt(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value("fleet").(*fleet)
	if len(args) > 1 {
		for range 2 { // the message may arrive twice
			for _, c := range f.nodes[args[0]].Snapshot(f.wall) {
				ts.Check(c.Check())
				ts.Check(f.nodes[args[1]].Merge(f.wall, c))
			}
		}
	}
	f.nodes[args[0]] = nil
}

// cmdReport implements "report". It writes the table to standard output.
func cmdReport(ts *testscript.TestScript, _ bool, _ []string) {
	f := ts.Value("fleet").(*fleet)
	ts.Check(f.report(f.nodes).WriteText(ts.Stdout()))
}

// cmdNotBetter implements "budget-not-better [at-most]". It fails if the lower bound of the remaining budget, or with
// at-most the upper one, is higher than it would be if no node had stopped.
func cmdNotBetter(ts *testscript.TestScript, neg bool, args []string) {
	f := ts.Value("fleet").(*fleet)
	got, want := f.report(f.nodes).Objectives[0], f.report(f.steady).Objectives[0]
	better := got.BudgetAtLeast > want.BudgetAtLeast+1e-9
	if len(args) > 0 {
		better = got.BudgetAtMost > want.BudgetAtMost+1e-9
	}
	if better != neg {
		ts.Fatalf("budget %f to %f; without restarts %f", got.BudgetAtLeast, got.BudgetAtMost, want.BudgetAtLeast)
	}
}

// TestMergeOrder guards against a report that depends on the order of the counts or adds the same counts twice.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		f := newFleet()
		for i := range 4 {
			f.start(strconv.Itoa(i))
			f.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds"))*time.Second, map[string]Outcome{"0": OutcomeBad})
		}
		in := Input{Wall: f.wall, Nodes: f.names, Objectives: []hornbeamcroft.Objective{objective}}
		for _, n := range f.names {
			in.Counts = append(in.Counts, f.nodes[n].Snapshot(f.wall)...)
		}
		shuffled := in
		shuffled.Counts = rapid.Permutation(append(in.Counts, in.Counts...)).Draw(t, "mixed")
		is.Equal(Build(in), Build(shuffled))
	})
}

// TestBurnRates guards against wrong burn rates and pages. Half of the requests miss the goal and 10 % may, which gives a
// burn rate of 5.
func TestBurnRates(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.start("a")
	f.start("b")
	f.run(7*time.Hour, map[string]Outcome{"a": OutcomeBad})
	o := f.report(f.nodes).Objectives[0]
	for _, b := range o.Burns {
		is.True(math.Abs(b.Short-5) < 1e-9)
		is.True(math.Abs(b.Long-5) < 1e-9)
	}
	is.Equal([]bool{o.Burns[0].Pages, o.Burns[1].Pages, o.Burns[2].Pages, o.Burns[3].Pages}, []bool{false, false, true, true})
	is.Equal(o.Burns[0].CoverageLong, 1.0)
	is.True(o.Burns[2].CoverageLong < 0.31) // 7 of 24 hours
	b, err := json.Marshal(f.report(f.nodes))
	is.NoErr(err)
	is.True(strings.Contains(string(b), `"budget-at-least"`))
}

// TestFrameSize guards against counts that exceed the frame size of 64 KiB between nodes.
func TestFrameSize(t *testing.T) {
	is := is.New(t)
	name := strings.Repeat("n", maxNameLength)
	c := Counts{Node: name, Service: name, Request: name, Incarnation: math.MaxUint64, Since: math.MaxInt64}
	w := Window{Good: 1e6, Bad: 1e6, Slow: 1e6, Refused: 1e6, Covered: math.MaxUint32}
	for w.Index = 30_000_000; len(c.Fine) < FineCount; w.Index++ {
		c.Fine = append(c.Fine, w)
	}
	for w.Index = 500_000; len(c.Coarse) < CoarseCount; w.Index++ {
		c.Coarse = append(c.Coarse, w)
	}
	is.NoErr(c.Check())
	b, err := cbor.Marshal(c)
	is.NoErr(err)
	t.Logf("%d bytes", len(b))
	is.True(len(b) < 64<<10)
}

// FuzzCounts guards against received counts that pass Check but make Merge or Build panic.
func FuzzCounts(f *testing.F) {
	r := New(epoch, "a", 1)
	_ = r.Register(epoch, objective.Service, objective.RequestType)
	r.Tick(epoch.Add(time.Second))
	b, err := cbor.Marshal(r.Snapshot(epoch.Add(time.Second))[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var c Counts
		if cbor.Unmarshal(b, &c) != nil || c.Check() != nil {
			return
		}
		_ = New(epoch, "b", 2).Merge(epoch, c)
		Build(Input{Wall: epoch, Counts: []Counts{c}, Objectives: []hornbeamcroft.Objective{objective}})
	})
}

func BenchmarkRecord(b *testing.B) {
	r := New(epoch, "a", 1)
	_ = r.Register(epoch, objective.Service, objective.RequestType)
	for b.Loop() {
		r.Record(epoch, objective.Service, objective.RequestType, OutcomeGood)
	}
}

// BenchmarkBuild1400 measures Build with the counts of 1,400 nodes over 30 days.
func BenchmarkBuild1400(b *testing.B) {
	in := Input{Wall: epoch, Objectives: []hornbeamcroft.Objective{objective}}
	r := New(epoch.Add(-30*24*time.Hour), "a", 1)
	_ = r.Register(epoch.Add(-30*24*time.Hour), objective.Service, objective.RequestType)
	for at := epoch.Add(-30 * 24 * time.Hour); at.Before(epoch); at = at.Add(5 * time.Second) {
		r.Tick(at)
	}
	for i := range 1400 {
		c := r.Snapshot(epoch)[0]
		c.Node = fmt.Sprint(i)
		in.Counts = append(in.Counts, c)
		in.Nodes = append(in.Nodes, c.Node)
	}
	for b.Loop() {
		Build(in)
	}
}
