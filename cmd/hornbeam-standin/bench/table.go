package bench

import (
	"fmt"
	"io"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"hornbeamcroft/cmd/hornbeam-standin/scorer"
)

// figure is one row of the table.
type figure struct {
	name, target string
	value        func(Run) float64
	format       string
}

// figures in the order of the rows. A target is given where the design page or a promise states one.
var figures = []figure{
	{"goodput before, 1/s", "", func(r Run) float64 { return r.GoodputBefore }, "%.0f"},
	{"goodput during the fault, 1/s", "", func(r Run) float64 { return r.GoodputFault }, "%.0f"},
	{"goodput after, 1/s", "as before", func(r Run) float64 { return r.GoodputAfter }, "%.0f"},
	{"recovery to 95 %, s", "", recoveryOf, "%.2f"},
	{"orders and deposits whole, %", "above lookups", func(r Run) float64 { return 100 * r.Orders }, "%.1f"},
	{"lookups whole, %", "", func(r Run) float64 { return 100 * r.Lookups }, "%.1f"},
	{"wasted work, %", "", func(r Run) float64 { return 100 * r.Waste }, "%.1f"},
	{"runs per request at the deep service, mean", "1", func(r Run) float64 { return r.RunsMean }, "%.3f"},
	{"runs per request at the deep service, most", "1", func(r Run) float64 { return r.RunsMost }, "%.0f"},
	{"p99 of whole answers, ms", "", func(r Run) float64 { return r.P99 }, "%.0f"},
	{"broken promises", "0", func(r Run) float64 { return float64(breaches(r)) }, "%.0f"},
}

// notRecovered stands for a recovery that did not happen within the measurement; it is larger than any time measured.
const notRecovered = 1e9

func recoveryOf(r Run) float64 {
	if !r.Recovered {
		return notRecovered
	}
	return r.Recovery
}

func breaches(r Run) int {
	n := 0
	for _, count := range r.Breaches {
		n += count
	}
	return n
}

// medianOf returns the median of the figure over the runs of a system, and whether there is one.
func medianOf(runs []Run, f figure) (float64, bool) {
	var values []float64
	for _, r := range runs {
		if r.Error == "" {
			values = append(values, f.value(r))
		}
	}
	return scorer.Median(values), len(values) > 0
}

func text(f figure, v float64, ok bool, after float64) string {
	switch {
	case !ok:
		return "not measured"
	case v >= notRecovered/2:
		return fmt.Sprintf("not within %.1f", after)
	}
	return fmt.Sprintf(f.format, v)
}

// ratio returns this build's value as a multiple of the last baseline's.
func ratio(build, baseline float64, ok bool) string {
	if !ok || baseline == 0 || build >= notRecovered/2 || baseline >= notRecovered/2 {
		return ""
	}
	return fmt.Sprintf("%.2f", build/baseline)
}

// line says in one line what was measured and where.
func (h Header) line() string {
	return fmt.Sprintf("Commit %s (modified: %t), %d cores, load average %.1f at the start, %.0f GiB, %s, seed %d, %d runs",
		h.Commit, h.Modified, h.Cores, h.Load, float64(h.Memory)/(1<<30), h.Go, h.Seed, h.Runs)
}

// show prints one table per deployment and scenario.
func (res Results) show(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, slots and connections at 1/%d\n", res.Header.line(), res.Header.Scale)
	for _, group := range res.groups() {
		res.showGroup(w, group)
	}
}

// group is one scenario of one deployment.
type group struct{ deployment, scenario string }

func (res Results) groups() []group {
	var groups []group
	for _, r := range res.Runs {
		if g := (group{r.Deployment, r.Scenario}); !slices.Contains(groups, g) {
			groups = append(groups, g)
		}
	}
	return groups
}

// of returns the runs of a group on a system.
func (res Results) of(g group, system string) []Run {
	var runs []Run
	for _, r := range res.Runs {
		if r.Deployment == g.deployment && r.Scenario == g.scenario && r.System == system {
			runs = append(runs, r)
		}
	}
	return runs
}

func (res Results) showGroup(w io.Writer, g group) {
	t := table.NewWriter()
	t.SetTitle("%s (%s) %s", g.deployment, g.scenario, scenarioName(g))
	header := table.Row{"Figure", "Target"}
	for _, s := range systems {
		header = append(header, s.Name)
	}
	t.AppendHeader(append(header, "Build / no control", "Build / plain limit"))
	for _, f := range figures {
		row := table.Row{f.name, f.target}
		var medians []float64
		ok := true
		for _, s := range systems {
			v, has := medianOf(res.of(g, s.Name), f)
			row = append(row, text(f, v, has, res.Times.After.Seconds()))
			medians = append(medians, v)
			ok = ok && has
		}
		build := medians[len(medians)-1]
		t.AppendRow(append(row, ratio(build, medians[0], ok), ratio(build, medians[1], ok)))
	}
	_, _ = fmt.Fprintln(w, t.Render())
	for _, s := range systems {
		for _, r := range res.of(g, s.Name) {
			if r.Error != "" {
				_, _ = fmt.Fprintf(w, "%s, run %d: %s\n", s.Name, r.Number, r.Error)
			}
		}
	}
}

func scenarioName(g group) string {
	for _, sc := range scenarios(regie()) {
		if sc.ID == g.scenario {
			return sc.Name
		}
	}
	return ""
}
