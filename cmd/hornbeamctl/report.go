package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/parser"
)

// collected is what report knows before it is rendered.
type collected struct {
	Revision uint64 `json:"revision"`
	// Objectives are those of the accepted document, by "service/type".
	Objectives map[string]objectiveJSON `json:"objectives"`
	// Counts are the answers to GET /slo by address.
	Counts map[string]json.RawMessage `json:"counts"`
	// Missing are the reasons by address of the nodes that did not answer.
	Missing map[string]string `json:"missing"`
}

// objectiveJSON is an objective of the accepted document. Durations are text with a unit.
type objectiveJSON struct {
	Answered    float64 `json:"answered"`
	Within      string  `json:"within,omitempty"`
	WithinShare float64 `json:"within-share,omitempty"`
	Period      string  `json:"period"`
}

// renderReport writes the report as text. Package sloreporter replaces it.
var renderReport = func(w io.Writer, c collected) error {
	t := newTable(w, "node", "counts")
	for address, counts := range c.Counts {
		t.AppendRow([]any{address, string(counts)})
	}
	for address, reason := range c.Missing {
		t.AppendRow([]any{address, "missing: " + reason})
	}
	t.Render()
	return nil
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "collect the service-level counts of all nodes",
		Description: "Asks all nodes for their counts. Nodes that do not answer are named; the exit status is then 8.\n\n" +
			"Example: hornbeamctl --settings ctl.ini --json report",
		Action: report,
	}
}

func report(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	c, err := collect(ctx, cmd)
	if err != nil {
		return err
	}
	if err := emit(cmd, c, func(w io.Writer) { err = renderReport(w, c) }); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	if len(c.Missing) > 0 {
		return fail(hornbeamcroft.CodeNodeUnreachable, errors.Errorf("%d nodes", len(c.Missing)))
	}
	return nil
}

// collect asks the store for the objectives and the nodes for their counts.
func collect(ctx context.Context, cmd *cli.Command) (collected, error) {
	c := collected{Objectives: map[string]objectiveJSON{}, Counts: map[string]json.RawMessage{}, Missing: map[string]string{}}
	s, err := loadSettings(cmd)
	if err != nil {
		return c, err
	}
	if len(s.nodes) == 0 {
		return c, usage("no nodes: set --nodes or [nodes] addresses in the settings")
	}
	_, stored, err := fetch(ctx, cmd)
	if err != nil {
		return c, err
	}
	doc, err := parser.Parse(stored)
	if err != nil {
		return c, fail(hornbeamcroft.CodeInvalid, err)
	}
	c.Revision = doc.Revision
	for name, o := range doc.Objectives {
		c.Objectives[name] = objectiveOf(o)
	}
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
	return c, nil
}

func objectiveOf(o hornbeamcroft.Objective) objectiveJSON {
	j := objectiveJSON{Answered: o.Answered, WithinShare: o.WithinShare, Period: parser.FormatDuration(o.Period)}
	if o.Within > 0 {
		j.Within = parser.FormatDuration(o.Within)
	}
	return j
}
