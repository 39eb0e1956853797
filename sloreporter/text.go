package sloreporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// fullCoverage is the coverage from which on a value counts as complete. Values with less are marked as having a gap. A
// gap of 3.6 s on each node in an hour is the most that is not marked; for 1,400 nodes that is 84 node-minutes.
const fullCoverage = 0.999

// WriteText prints the report as a table for a terminal.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "objective\ttarget\trequests\tmissed\tbudget left\tcounted")
	for _, p := range WindowPairs {
		fmt.Fprintf(t, "\t%s/%s", formatSpan(p.Short), formatSpan(p.Long))
	}
	fmt.Fprintln(t)
	for _, o := range r.Objectives {
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%s\t%.1f %%", o.Name(), formatTarget(o), o.Requests, o.Missed, o.Budget(), 100*o.Coverage)
		for _, b := range o.Burns {
			fmt.Fprintf(t, "\t%s", b)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.footnotes())
	return err
}

// footnotes returns the lines below the table: nodes without counts, nodes that began to count late, and the key to the
// marks.
func (r Report) footnotes() string {
	var b strings.Builder
	if len(r.Missing) > 0 {
		fmt.Fprintf(&b, "no counts from: %s\n", strings.Join(r.Missing, ", "))
	}
	for _, s := range r.Restarted {
		fmt.Fprintf(&b, "counts of %s begin at %s\n", s.Node, s.Since.UTC().Format(time.RFC3339))
	}
	b.WriteString("burn rates: short/long window; ! pages, ~ has a gap, - nothing counted\n")
	return b.String()
}

// formatTarget returns the target of an objective, for example "99.9 %" or "95 % in 1s".
func formatTarget(o ObjectiveReport) string {
	if o.Goal == GoalWithin {
		return fmt.Sprintf("%.6g %% in %s", 100*o.Target, o.Within)
	}
	return fmt.Sprintf("%.6g %%", 100*o.Target)
}

// Budget returns the share of the error budget that is left as text. If some requests were not counted, it returns the
// lower bound, "unknown" if that is negative, or "spent" if the upper bound is not positive. It never returns the upper
// bound as a number, because that bound rises when a node loses its counts.
func (o ObjectiveReport) Budget() string {
	switch {
	case o.Coverage >= fullCoverage:
		return fmt.Sprintf("%.1f %%", 100*o.BudgetAtLeast)
	case o.BudgetAtMost <= 0:
		return "spent"
	case o.BudgetAtLeast < 0:
		return "unknown"
	}
	return fmt.Sprintf("at least %.1f %%", 100*o.BudgetAtLeast)
}

// String returns the burn rates as the table shows them.
func (b BurnRate) String() string {
	mark := ""
	if b.Pages {
		mark = "!"
	}
	return formatBurnRate(b.Short, b.CoverageShort) + "/" + formatBurnRate(b.Long, b.CoverageLong) + mark
}

// formatBurnRate returns a burn rate, followed by ~ if it has a gap, or - if it is negative.
func formatBurnRate(v, coverage float64) string {
	switch {
	case v < 0:
		return "-"
	case coverage < fullCoverage:
		return fmt.Sprintf("%.1f~", v)
	}
	return fmt.Sprintf("%.1f", v)
}

// formatSpan returns d in whole days from 48 hours on, otherwise in whole hours or minutes.
func formatSpan(d time.Duration) string {
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
