package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeamctl/explainer"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from the logs of nodes how a request was handled",
		ArgsUsage: "ID FILE...",
		Description: "Reads the logs of nodes on a platform, one FILE for each node, and prints the log lines about the attempt ID and\n" +
			"the calls that it made, with other lines that the same nodes logged within 2 s. docs/OPERATIONS.md shows examples.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return usageErrorf("explain needs an id and at least one log file")
			}
			e := &explainer.Explainer{ID: cmd.Args().First()}
			for _, path := range cmd.Args().Tail() {
				if err := readLog(e, path); err != nil {
					return usageErrorf("%s: %v", path, err)
				}
			}
			step, err := e.Explain()
			if err != nil {
				return withCode(hornbeamcroft.CodeNotFound, err)
			}
			return writeOutput(cmd, step, func(w io.Writer) { writeStep(w, step, "") })
		},
	}
}

// readLog passes a log file to e. The name of the file without its extension is the name of the node until the log
// itself states another one.
func readLog(e *explainer.Explainer, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return e.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
}

// fieldOrder lists the fields of a log line that are printed first, in this order. The others follow, sorted by name.
var fieldOrder = []string{
	"code", "status", "route", "service", "depth", "importance", "idempotent", "remaining-ms", "age-ms", "routes-version",
	"hosts", "codes", "pressed", "instance", "outcome", "waited-us", "running", "waiting", "limit", "admits", "took-us",
}

// writeStep writes the log lines about an attempt and, indented below it, those about its calls.
func writeStep(w io.Writer, s *explainer.Step, indent string) {
	writeLine(w, "%sattempt %s", indent, s.Attempt)
	indent += "  "
	for _, l := range s.Runs {
		writeLine(w, "%sat the upstream of %s: %s", indent, l.Node, formatFields(l))
	}
	for _, c := range s.Calls {
		writeStep(w, c, indent)
	}
	if s.Entered != nil {
		writeLine(w, "%sentered at %s: %s", indent, s.Entered.Node, formatFields(*s.Entered))
	} else {
		writeLine(w, "%sno line of the node where it entered: the line was omitted under load, or the log of that node was not given", indent)
	}
	if text, ok := codeMeaning(s); ok {
		writeLine(w, "%smeaning: %s", indent, text)
	}
	for _, l := range s.Context {
		writeLine(w, "%snear it, %s %s %s: %s", indent, l.Node, l.Time.Format("15:04:05.000"), l.Message, formatFields(l))
	}
}

// codeMeaning returns the documented meaning of the result code in s.Entered, or false if that line or a known code is
// missing.
func codeMeaning(s *explainer.Step) (string, bool) {
	if s.Entered == nil {
		return "", false
	}
	number, _, _ := strings.Cut(fmt.Sprint(s.Entered.Fields["code"]), " ")
	for _, c := range hornbeamcroft.Codes {
		if fmt.Sprint(int(c.Code)) == number {
			return c.Meaning, true
		}
	}
	return "", false
}

// formatFields returns the fields of a log line as name=value pairs, without time, level, message and id.
func formatFields(l explainer.Line) string {
	rest := make(map[string]any)
	for name, v := range l.Fields {
		switch name {
		case "time", "level", "message", "id":
		default:
			rest[name] = v
		}
	}
	var parts []string
	for _, name := range fieldOrder {
		if v, ok := rest[name]; ok {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
			delete(rest, name)
		}
	}
	names := make([]string, 0, len(rest))
	for name := range rest {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, rest[name]))
	}
	return strings.Join(parts, " ")
}
