package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
)

// writeOutput writes v to standard output as JSON if --json is set, and calls writeText with standard output otherwise.
func writeOutput(cmd *cli.Command, v any, writeText func(w io.Writer)) error {
	w := cmd.Root().Writer
	if !cmd.Bool("json") {
		writeText(w)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// newTable returns a table whose header keeps its letter case.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleLight
	style.Format.Header = 0
	t.SetStyle(style)
	t.AppendHeader(header)
	return t
}

// codeJSON holds the fields of a result code in JSON output. Outcome is set for edits only.
type codeJSON struct {
	Code    hornbeamcroft.Code `json:"code"`
	Name    string             `json:"name"`
	Outcome string             `json:"outcome,omitempty"`
	Meaning string             `json:"meaning"`
}

func newCodeJSON(code hornbeamcroft.Code) codeJSON {
	info := code.Info()
	return codeJSON{Code: code, Name: info.Name, Meaning: info.Meaning}
}

// writeLine writes one formatted line. Write errors are ignored.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
