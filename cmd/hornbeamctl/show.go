package main

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/cmd/hornbeamctl/collector"
	"hornbeamcroft/editor"
	"hornbeamcroft/parser"
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the accepted document, its history and where it is in force",
		ArgsUsage: "[SECTION...]",
		Description: `Without flags it lists the sections of the accepted document with owner, generation and writer, and the nodes with
the revision that each has in force. Nodes that do not answer are listed as "not heard". If the store is
unreachable, the nodes are still listed and the exit status is 5.

Examples:
   hornbeamctl show
   hornbeamctl show --text "service cash-office" > edit.ini
   hornbeamctl show --history`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "text", Usage: "write the sections as INI, to be edited and applied"},
			&cli.BoolFlag{Name: "history", Usage: "show the last accepted edits"},
		},
		Action: show,
	}
}

// showJSON is the JSON output of the show command.
type showJSON struct {
	Revision uint64                  `json:"revision"`
	Sections []hornbeamcroft.Section `json:"sections"`
	History  []editor.HistoryEntry   `json:"history,omitempty"`
	Nodes    []collector.Status      `json:"nodes"`
	// Missing lists the members that a node reported but that did not answer themselves.
	Missing []collector.Member `json:"missing,omitempty"`
	// StoreError is the error message if the selected sections or the history could not be read; empty otherwise.
	StoreError string `json:"store-error,omitempty"`
}

func show(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	s, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	out := showJSON{Sections: []hornbeamcroft.Section{}}
	storeErr := out.load(ctx, cmd)
	out.Nodes = s.collector().Statuses(ctx)
	out.Missing = collector.Missing(out.Nodes)
	if storeErr != nil {
		out.StoreError = storeErr.Error()
	}
	if cmd.Bool("text") && storeErr == nil && !cmd.Bool("json") {
		_, err = cmd.Root().Writer.Write(parser.JoinWithGenerations(out.Sections))
		return err
	}
	if err := writeOutput(cmd, out, out.writeText); err != nil {
		return err
	}
	return storeErr
}

// load reads the selected sections and, with --history, the last accepted edits from the store.
func (out *showJSON) load(ctx context.Context, cmd *cli.Command) error {
	store, stored, err := fetchDocument(ctx, cmd)
	if err != nil {
		return err
	}
	out.Revision = stored.Revision
	if out.Sections, err = selectSections(parser.WithoutRemoved(stored.Sections), cmd.Args().Slice()); err != nil {
		return err
	}
	if !cmd.Bool("history") {
		return nil
	}
	if out.History, err = applier.FetchHistory(ctx, store); err != nil {
		return withCode(hornbeamcroft.CodeStoreUnreachable, err)
	}
	return nil
}

func (out showJSON) writeText(w io.Writer) {
	if out.StoreError == "" {
		writeLine(w, "revision %d", out.Revision)
		t := newTable(w, "section", "owner", "generation", "writer")
		for _, s := range out.Sections {
			t.AppendRow([]any{s.Name, s.Owner, s.Generation, s.Writer})
		}
		t.Render()
	}
	if len(out.History) > 0 {
		out.writeHistory(w)
	}
	if len(out.Nodes) > 0 {
		out.writeNodes(w)
	}
}

func (out showJSON) writeHistory(w io.Writer) {
	t := newTable(w, "revision", "time", "owner", "writer", "sections")
	for _, c := range out.History {
		var names string
		for i, s := range c.Sections {
			if i > 0 {
				names += "\n"
			}
			names += s.Name
			if s.Removed {
				names += " (removed)"
			}
		}
		t.AppendRow([]any{c.Revision, time.UnixMilli(c.At).UTC().Format(time.RFC3339), c.Owner, c.Writer, names})
	}
	t.Render()
}

func (out showJSON) writeNodes(w io.Writer) {
	highest, _ := collector.Highest(out.Nodes)
	t := newTable(w, "node", "service", "zone", "state", "revision", "note")
	for _, s := range out.Nodes {
		switch {
		case !s.Heard:
			t.AppendRow([]any{s.Address, "", "", "not heard", "", s.Error})
		case s.StoreBehind:
			t.AppendRow([]any{s.Name, s.Service, s.Zone, s.State, s.Revision, "reports that the store is behind"})
		case s.Diverged:
			t.AppendRow([]any{s.Name, s.Service, s.Zone, s.State, s.Revision, "merges diverged documents"})
		case s.Revision < max(highest, out.Revision):
			t.AppendRow([]any{s.Name, s.Service, s.Zone, s.State, s.Revision, "behind"})
		default:
			t.AppendRow([]any{s.Name, s.Service, s.Zone, s.State, s.Revision, ""})
		}
	}
	t.Render()
	writeLine(w, "%s", newInForceJSON(out.Nodes, max(highest, out.Revision)))
	if out.StoreError == "" && highest > out.Revision {
		writeLine(w, "the store is behind: it has revision %d, the nodes have %d", out.Revision, highest)
	}
	if len(out.Missing) > 0 {
		writeLine(w, "known to other nodes, not heard here:")
		for _, m := range out.Missing {
			writeLine(w, "  %s (service %s, zone %s)", m.Name, m.Service, m.Zone)
		}
	}
}
