package main

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "start a planned stop of nodes",
		ArgsUsage: "ADDRESS...",
		Description: "Asks each node at its operators' address to finish its work, hand over its records and leave.\n" +
			"Asking again is harmless. Needs the operators' key in the settings.\n\n" +
			"Example: hornbeamctl --settings ctl.ini drain 127.0.0.1:7201",
		Action: drain,
	}
}

// nodeJSON is the outcome of a request to one node.
type nodeJSON struct {
	Address string `json:"address"`
	Done    bool   `json:"done"`
	Error   string `json:"error,omitempty"`
}

func drain(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	s, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	if s.nodes = cmd.Args().Slice(); len(s.nodes) == 0 {
		return usage("drain needs the ADDRESS of a node")
	}
	var out []nodeJSON
	failed := 0
	for _, a := range s.collector().Ask(ctx, http.MethodPost, "/drain") {
		n := nodeJSON{Address: a.Address, Done: a.Err == nil}
		if a.Err != nil {
			n.Error = a.Err.Error()
			failed++
		}
		out = append(out, n)
	}
	if err := emit(cmd, out, func(w io.Writer) {
		for _, n := range out {
			if n.Done {
				line(w, "%s: drain started", n.Address)
			} else {
				line(w, "%s: %s", n.Address, n.Error)
			}
		}
	}); err != nil {
		return err
	}
	if failed > 0 {
		return fail(hornbeamcroft.CodeNodeUnreachable, errors.Errorf("%d of %d nodes", failed, len(out)))
	}
	return nil
}
