package sloreporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// gapShare is the coverage below which a figure is marked as one with a gap. Less than one minute of 1,400 nodes'
// hour falls below it.
const gapShare = 0.999

// WriteText prints the report as a table for a terminal.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "objective\ttarget\trequests\tmissed\tbudget left\tcounted")
	for _, p := range Pairs {
		fmt.Fprintf(t, "\t%s/%s", short(p.Short), short(p.Long))
	}
	fmt.Fprintln(t)
	for _, o := range r.Objectives {
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%s\t%.1f %%", o.Name(), target(o), o.Requests, o.Missed, o.Budget(), 100*o.Coverage)
		for _, b := range o.Burns {
			fmt.Fprintf(t, "\t%s", b)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.notes())
	return err
}

func (r Report) notes() string {
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

func target(o ObjectiveReport) string {
	if o.Goal == GoalWithin {
		return fmt.Sprintf("%.6g %% in %s", 100*o.Target, o.Within)
	}
	return fmt.Sprintf("%.6g %%", 100*o.Target)
}

// Budget returns the share of the error budget that is left. If some requests were not counted, it is the lower bound;
// the upper one would rise when a node loses its counts.
func (o ObjectiveReport) Budget() string {
	switch {
	case o.Coverage >= gapShare:
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
	return rate(b.Short, b.CoverageShort) + "/" + rate(b.Long, b.CoverageLong) + mark
}

func rate(v, coverage float64) string {
	switch {
	case v < 0:
		return "-"
	case coverage < gapShare:
		return fmt.Sprintf("%.1f~", v)
	}
	return fmt.Sprintf("%.1f", v)
}

func short(d time.Duration) string {
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
