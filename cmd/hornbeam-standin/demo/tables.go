package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"hornbeamcroft/cmd/hornbeam-standin/auditor"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// maxPrintedFindings is the maximum number of findings that are printed.
const maxPrintedFindings = 20

// writeReport prints the tables of the requests and of the runs, and the findings of the audit.
func writeReport(w io.Writer, report caller.Report, runs []upstream.Execution, findings []auditor.Finding) {
	writeRequestTables(w, report)
	writeRunTable(w, runs)
	if len(findings) == 0 {
		_, _ = fmt.Fprintln(w, "Promises kept: nothing ran twice, every claim agrees with the runs, every answer is whole.")
	}
	for _, f := range findings[:min(len(findings), maxPrintedFindings)] {
		_, _ = fmt.Fprintln(w, "Broken:", f)
	}
}

// writeRequestTables prints what callers saw: a table by request type and a table by result code.
func writeRequestTables(w io.Writer, report caller.Report) {
	t := table.NewWriter()
	t.SetTitle("Requests")
	t.AppendHeader(table.Row{"Type", "Offered", "Whole", "Sends", "Ran", "Not run", "May have run", "No answer", "p50 ms", "p99 ms"})
	row := func(name string, c caller.Count) {
		t.AppendRow(table.Row{
			name, c.Offered, c.Succeeded, c.Sends, c.Claims["ran"], c.Claims["not-run"], c.Claims["may-have-run"], c.Claims["none"],
			c.Latency.P50, c.Latency.P99,
		})
	}
	for _, target := range slices.Sorted(maps.Keys(report.Types)) {
		row(target, *report.Types[target])
	}
	row("all", report.Total)
	_, _ = fmt.Fprintln(w, t.Render())
	codes := table.NewWriter()
	codes.SetTitle("Result codes of sends")
	codes.AppendHeader(table.Row{"Code", "Sends"})
	for _, code := range slices.Sorted(maps.Keys(report.Total.Codes)) {
		codes.AppendRow(table.Row{code, report.Total.Codes[code]})
	}
	_, _ = fmt.Fprintln(w, codes.Render())
}

// writeRunTable prints what upstreams ran, by request type. A run is unfinished if its upstream did not record its end.
func writeRunTable(w io.Writer, runs []upstream.Execution) {
	type count struct{ runs, cancelled, unfinished int }
	counts := make(map[string]count)
	requests := make(map[string]map[string]bool)
	for _, e := range runs {
		target := e.Service + "/" + e.Type
		c := counts[target]
		c.runs++
		if e.Cancelled {
			c.cancelled++
		}
		if e.End == 0 {
			c.unfinished++
		}
		counts[target] = c
		if requests[target] == nil {
			requests[target] = make(map[string]bool)
		}
		requests[target][e.Marker] = true
	}
	t := table.NewWriter()
	t.SetTitle("Runs at the upstreams")
	t.AppendHeader(table.Row{"Type", "Requests", "Runs", "Cancelled", "Unfinished"})
	for _, target := range slices.Sorted(maps.Keys(counts)) {
		c := counts[target]
		t.AppendRow(table.Row{target, len(requests[target]), c.runs, c.cancelled, c.unfinished})
	}
	_, _ = fmt.Fprintln(w, t.Render())
}
