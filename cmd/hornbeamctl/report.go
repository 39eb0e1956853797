package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/parser"
	"hornbeamcroft/sloreporter"
	"hornbeamcroft/sloreporter/plotter"
)

// reportData is what the store and the nodes returned for a report.
type reportData struct {
	Revision uint64 `json:"revision"`
	// Counts maps the address of a node to its answer to GET /slo.
	Counts map[string]json.RawMessage `json:"counts"`
	// Missing maps the address of a node without usable counts to the reason.
	Missing map[string]string `json:"missing"`
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show error budgets and burn rates of all objectives",
		Description: "Requests the counts of all nodes. Time for which no counts exist is shown as a gap and reduces the budget.\n" +
			"Nodes that do not answer are named, and the exit status is then 8.\n\n" +
			"Example: hornbeamctl --settings ctl.ini report --html burn.html",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "also write the report as a self-contained HTML page with plots to this `FILE`"},
		},
		Action: report,
	}
}

// buildReport computes the report. Nodes whose counts are malformed are moved from data.Counts to data.Missing.
func buildReport(data *reportData, objectives map[string]hornbeamcroft.Objective) sloreporter.Report {
	in := sloreporter.Input{Wall: time.Now()}
	for _, address := range slices.Sorted(maps.Keys(data.Counts)) {
		var counts []sloreporter.Counts
		err := json.Unmarshal(data.Counts[address], &counts)
		for _, n := range counts {
			if err == nil {
				err = n.Check()
			}
		}
		if err != nil {
			data.Missing[address] = err.Error()
			delete(data.Counts, address)
			continue
		}
		in.Counts = append(in.Counts, counts...)
		name := address
		if len(counts) > 0 {
			name = counts[0].Node
		}
		in.Nodes = append(in.Nodes, name)
	}
	in.Nodes = append(in.Nodes, slices.Sorted(maps.Keys(data.Missing))...)
	for _, name := range slices.Sorted(maps.Keys(objectives)) {
		in.Objectives = append(in.Objectives, objectives[name])
	}
	return sloreporter.Build(in)
}

func report(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	data, objectives, err := fetchReportData(ctx, cmd)
	if err != nil {
		return err
	}
	r := buildReport(&data, objectives)
	if err := writeOutput(cmd, r, func(w io.Writer) { err = r.WriteText(w) }); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	if file := cmd.String("html"); file != "" {
		if err := writeHTMLFile(file, r); err != nil {
			return err
		}
	}
	if len(data.Missing) > 0 {
		return withCode(hornbeamcroft.CodeNodeUnreachable, errors.Errorf("%d nodes did not answer or sent malformed counts", len(data.Missing)))
	}
	return nil
}

// writeHTMLFile writes the report as an HTML page that only its owner may read.
func writeHTMLFile(file string, r sloreporter.Report) error {
	var page bytes.Buffer
	if err := (plotter.Plotter{}).WriteHTML(&page, r); err != nil {
		return err
	}
	if err := os.WriteFile(file, page.Bytes(), 0o600); err != nil {
		return errors.Wrap(err, "write HTML report")
	}
	return nil
}

// fetchReportData reads the objectives from the store and requests the counts of all nodes.
func fetchReportData(ctx context.Context, cmd *cli.Command) (reportData, map[string]hornbeamcroft.Objective, error) {
	data := reportData{Counts: map[string]json.RawMessage{}, Missing: map[string]string{}}
	s, err := loadSettings(cmd)
	if err != nil {
		return data, nil, err
	}
	if len(s.nodeAddresses) == 0 {
		return data, nil, usageErrorf("no node address: set --nodes, or addresses in section [nodes] of the settings file")
	}
	_, stored, err := fetchDocument(ctx, cmd)
	if err != nil {
		return data, nil, err
	}
	doc, err := parser.Parse(stored)
	if err != nil {
		return data, nil, withCode(hornbeamcroft.CodeInvalid, err)
	}
	data.Revision = doc.Revision
	for _, a := range s.collector().RequestAll(ctx, http.MethodGet, "/slo") {
		switch {
		case a.Err != nil:
			data.Missing[a.Address] = a.Err.Error()
		case !json.Valid(a.Body):
			data.Missing[a.Address] = "answer is not JSON"
		default:
			data.Counts[a.Address] = a.Body
		}
	}
	return data, doc.Objectives, nil
}
