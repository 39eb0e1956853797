package bench

import (
	"fmt"
	"io"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"hornbeamcroft/cmd/hornbeam-standin/scorer"
)

// figure is one row of a table: a value of a Run, its target and the format in which it is printed.
type figure struct {
	name, target string
	value        func(Run) float64
	format       string
}

// figures lists the rows of a table in order. A target is given where docs/design.md states one, in section 1 or in a guarantee.
var figures = []figure{
	{"goodput before, 1/s", "", func(r Run) float64 { return r.GoodputBefore }, "%.0f"},
	{"goodput during the fault, 1/s", "", func(r Run) float64 { return r.GoodputFault }, "%.0f"},
	{"goodput after, 1/s", "as before", func(r Run) float64 { return r.GoodputAfter }, "%.0f"},
	{"recovery to 95 %, s", "", recoverySeconds, "%.2f"},
	{"orders and deposits whole, %", "above lookups", func(r Run) float64 { return 100 * r.Orders }, "%.1f"},
	{"lookups whole, %", "", func(r Run) float64 { return 100 * r.Lookups }, "%.1f"},
	{"wasted work, %", "", func(r Run) float64 { return 100 * r.Waste }, "%.1f"},
	{"runs per request at the deep service, mean", "1", func(r Run) float64 { return r.RunsMean }, "%.3f"},
	{"runs per request at the deep service, most", "1", func(r Run) float64 { return r.RunsMost }, "%.0f"},
	{"p99 of whole answers, ms", "", func(r Run) float64 { return r.P99 }, "%.0f"},
	{"broken promises", "0", func(r Run) float64 { return float64(totalBreaches(r)) }, "%.0f"},
}

// notRecovered is the recovery time, in seconds, of a run that did not recover within the measurement. It is larger than any
// measured time, so that medians order such runs last.
const notRecovered = 1e9

// recoverySeconds returns the recovery time of a run, or notRecovered.
func recoverySeconds(r Run) float64 {
	if !r.Recovered {
		return notRecovered
	}
	return r.Recovery
}

// totalBreaches returns the number of broken promises of all kinds in a run.
func totalBreaches(r Run) int {
	n := 0
	for _, count := range r.Breaches {
		n += count
	}
	return n
}

// medianOf returns the median of the figure over the runs that were measured, and whether there is at least one.
func medianOf(runs []Run, f figure) (float64, bool) {
	var values []float64
	for _, r := range runs {
		if r.Error == "" {
			values = append(values, f.value(r))
		}
	}
	return scorer.Median(values), len(values) > 0
}

// formatValue formats the median of a figure. after is the length in seconds of the part after the fault, in which a recovery is
// looked for.
func formatValue(f figure, v float64, measured bool, after float64) string {
	switch {
	case !measured:
		return "not measured"
	case v >= notRecovered/2:
		return fmt.Sprintf("not within %.1f", after)
	}
	return fmt.Sprintf(f.format, v)
}

// ratio returns this build's value as a multiple of a baseline's; empty if one of the two is missing or the baseline is 0.
func ratio(build, baseline float64, measured bool) string {
	if !measured || baseline == 0 || build >= notRecovered/2 || baseline >= notRecovered/2 {
		return ""
	}
	return fmt.Sprintf("%.2f", build/baseline)
}

// summary returns the header as one line of text.
func (h Header) summary() string {
	return fmt.Sprintf("Commit %s (modified: %t), %d cores, load average %.1f at the start, %.0f GiB, %s, seed %d, %d runs",
		h.Commit, h.Modified, h.Cores, h.Load, float64(h.Memory)/(1<<30), h.Go, h.Seed, h.Runs)
}

// writeTables prints one table per deployment and scenario.
func (res Results) writeTables(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, slots and connections at 1/%d\n", res.Header.summary(), res.Header.Scale)
	for _, group := range res.groups() {
		res.writeTable(w, group)
	}
}

// group identifies the runs that share a table and a plot: those of one scenario on one deployment.
type group struct{ deployment, scenario string }

// groups returns the groups in the order of their first run.
func (res Results) groups() []group {
	var groups []group
	for _, r := range res.Runs {
		if g := (group{r.Deployment, r.Scenario}); !slices.Contains(groups, g) {
			groups = append(groups, g)
		}
	}
	return groups
}

// runsOf returns the runs of a group on a system.
func (res Results) runsOf(g group, system string) []Run {
	var runs []Run
	for _, r := range res.Runs {
		if r.Deployment == g.deployment && r.Scenario == g.scenario && r.System == system {
			runs = append(runs, r)
		}
	}
	return runs
}

// writeTable prints the table of a group and below it the errors of the runs that were not measured.
func (res Results) writeTable(w io.Writer, g group) {
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
		allMeasured := true
		for _, s := range systems {
			v, measured := medianOf(res.runsOf(g, s.Name), f)
			row = append(row, formatValue(f, v, measured, res.Times.After.Seconds()))
			medians = append(medians, v)
			allMeasured = allMeasured && measured
		}
		build := medians[len(medians)-1]
		t.AppendRow(append(row, ratio(build, medians[0], allMeasured), ratio(build, medians[1], allMeasured)))
	}
	_, _ = fmt.Fprintln(w, t.Render())
	for _, s := range systems {
		for _, r := range res.runsOf(g, s.Name) {
			if r.Error != "" {
				_, _ = fmt.Fprintf(w, "%s, run %d: %s\n", s.Name, r.Number, r.Error)
			}
		}
	}
}

// scenarioName returns the name of the scenario of a group. Names are the same for all workloads.
func scenarioName(g group) string {
	for _, sc := range scenarios(regie()) {
		if sc.ID == g.scenario {
			return sc.Name
		}
	}
	return ""
}
