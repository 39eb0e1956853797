package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
)

// emit writes v as JSON if --json is set and calls text otherwise.
func emit(cmd *cli.Command, v any, text func(w io.Writer)) error {
	w := cmd.Root().Writer
	if !cmd.Bool("json") {
		text(w)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// newTable returns a table with a header that is written as it is.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleLight
	style.Format.Header = 0
	t.SetStyle(style)
	t.AppendHeader(header)
	return t
}

// codeJSON is a result code in JSON output.
type codeJSON struct {
	Code    hornbeamcroft.Code `json:"code"`
	Name    string             `json:"name"`
	Outcome string             `json:"outcome,omitempty"`
	Meaning string             `json:"meaning"`
}

func codeOf(code hornbeamcroft.Code) codeJSON {
	info := code.Info()
	return codeJSON{Code: code, Name: info.Name, Meaning: info.Meaning}
}

// line writes one formatted line.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
