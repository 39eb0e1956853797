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

// collected is what report knows before it is rendered.
type collected struct {
	Revision uint64 `json:"revision"`
	// Counts are the answers to GET /slo by address.
	Counts map[string]json.RawMessage `json:"counts"`
	// Missing are the reasons by address of the nodes that did not answer.
	Missing map[string]string `json:"missing"`
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show error budgets and burn rates of all objectives",
		Description: "Asks all nodes for their counts. Time that nobody counted is shown as a gap and counts against the budget.\n" +
			"Nodes that do not answer are named; the exit status is then 8.\n\n" +
			"Example: hornbeamctl --settings ctl.ini report --html burn.html",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "write a self-contained page with plots to this `FILE`, too"},
		},
		Action: report,
	}
}

// build makes the report from what was collected. Counts that are malformed make their node a missing one.
func build(c *collected, objectives map[string]hornbeamcroft.Objective) sloreporter.Report {
	in := sloreporter.Input{Wall: time.Now()}
	for _, address := range slices.Sorted(maps.Keys(c.Counts)) {
		var counts []sloreporter.Counts
		err := json.Unmarshal(c.Counts[address], &counts)
		for _, n := range counts {
			if err == nil {
				err = n.Check()
			}
		}
		if err != nil {
			c.Missing[address] = err.Error()
			delete(c.Counts, address)
			continue
		}
		in.Counts = append(in.Counts, counts...)
		name := address
		if len(counts) > 0 {
			name = counts[0].Node
		}
		in.Nodes = append(in.Nodes, name)
	}
	in.Nodes = append(in.Nodes, slices.Sorted(maps.Keys(c.Missing))...)
	for _, name := range slices.Sorted(maps.Keys(objectives)) {
		in.Objectives = append(in.Objectives, objectives[name])
	}
	return sloreporter.Build(in)
}

func report(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	c, objectives, err := collect(ctx, cmd)
	if err != nil {
		return err
	}
	r := build(&c, objectives)
	if err := emit(cmd, r, func(w io.Writer) { err = r.WriteText(w) }); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	if file := cmd.String("html"); file != "" {
		if err := writePage(file, r); err != nil {
			return err
		}
	}
	if len(c.Missing) > 0 {
		return fail(hornbeamcroft.CodeNodeUnreachable, errors.Errorf("%d nodes", len(c.Missing)))
	}
	return nil
}

// writePage writes the report as a page.
func writePage(file string, r sloreporter.Report) error {
	var page bytes.Buffer
	if err := (plotter.Plotter{}).WriteHTML(&page, r); err != nil {
		return err
	}
	if err := os.WriteFile(file, page.Bytes(), 0o600); err != nil {
		return errors.Wrap(err, "report")
	}
	return nil
}

// collect asks the store for the objectives and the nodes for their counts.
func collect(ctx context.Context, cmd *cli.Command) (collected, map[string]hornbeamcroft.Objective, error) {
	c := collected{Counts: map[string]json.RawMessage{}, Missing: map[string]string{}}
	s, err := loadSettings(cmd)
	if err != nil {
		return c, nil, err
	}
	if len(s.nodes) == 0 {
		return c, nil, usage("no nodes: set --nodes or [nodes] addresses in the settings")
	}
	_, stored, err := fetch(ctx, cmd)
	if err != nil {
		return c, nil, err
	}
	doc, err := parser.Parse(stored)
	if err != nil {
		return c, nil, fail(hornbeamcroft.CodeInvalid, err)
	}
	c.Revision = doc.Revision
	for _, a := range s.collector().Ask(ctx, http.MethodGet, "/slo") {
		switch {
		case a.Err != nil:
			c.Missing[a.Address] = a.Err.Error()
		case !json.Valid(a.Body):
			c.Missing[a.Address] = "answer is not JSON"
		default:
			c.Counts[a.Address] = a.Body
		}
	}
	return c, doc.Objectives, nil
}
