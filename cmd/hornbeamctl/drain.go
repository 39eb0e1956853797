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
		Description: "Requests each node at its operators' address to finish its work, hand over its records and leave.\n" +
			"Repeating the command is safe. It needs the operators' key in the settings file.\n\n" +
			"Example: hornbeamctl --settings ctl.ini drain 127.0.0.1:7201",
		Action: drain,
	}
}

// drainJSON is the JSON output of the drain command for one node.
type drainJSON struct {
	Address string `json:"address"`
	// Done is true if the node accepted the request. The planned stop itself may still be under way.
	Done  bool   `json:"done"`
	Error string `json:"error,omitempty"`
}

func drain(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	s, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	if s.nodeAddresses = cmd.Args().Slice(); len(s.nodeAddresses) == 0 {
		return usageErrorf("drain needs the ADDRESS of a node")
	}
	var out []drainJSON
	failed := 0
	for _, a := range s.collector().RequestAll(ctx, http.MethodPost, "/drain") {
		n := drainJSON{Address: a.Address, Done: a.Err == nil}
		if a.Err != nil {
			n.Error = a.Err.Error()
			failed++
		}
		out = append(out, n)
	}
	if err := writeOutput(cmd, out, func(w io.Writer) {
		for _, n := range out {
			if n.Done {
				writeLine(w, "%s: drain started", n.Address)
			} else {
				writeLine(w, "%s: %s", n.Address, n.Error)
			}
		}
	}); err != nil {
		return err
	}
	if failed > 0 {
		return withCode(hornbeamcroft.CodeNodeUnreachable, errors.Errorf("%d of %d nodes did not start to drain", failed, len(out)))
	}
	return nil
}
