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
		Usage:     "tell from the logs of nodes what became of a request",
		ArgsUsage: "ID FILE...",
		Description: "Reads the logs of nodes on a platform, a FILE each, and prints what happened to the attempt with the ID and to\n" +
			"the calls that it made, with what the nodes involved believed at that time. docs/OPERATIONS.md shows examples.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return usage("explain needs an id and at least one log")
			}
			e := &explainer.Explainer{ID: cmd.Args().First()}
			for _, path := range cmd.Args().Tail() {
				if err := readLog(e, path); err != nil {
					return usage("%s: %v", path, err)
				}
			}
			step, err := e.Explain()
			if err != nil {
				return fail(hornbeamcroft.CodeNotFound, err)
			}
			return emit(cmd, step, func(w io.Writer) { explain(w, step, "") })
		},
	}
}

func readLog(e *explainer.Explainer, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return e.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
}

// shown are the fields of each line in the order in which they are printed; others follow by name.
var shown = []string{
	"code", "status", "route", "service", "depth", "importance", "idempotent", "remaining-ms", "age-ms", "routes-version",
	"hosts", "codes", "pressed", "instance", "outcome", "waited-us", "running", "waiting", "limit", "admits", "took-us",
}

func explain(w io.Writer, s *explainer.Step, indent string) {
	line(w, "%sattempt %s", indent, s.Attempt)
	indent += "  "
	for _, l := range s.Runs {
		line(w, "%sat the upstream of %s: %s", indent, l.Node, fields(l))
	}
	for _, c := range s.Calls {
		explain(w, c, indent)
	}
	if s.Entered != nil {
		line(w, "%sentered at %s: %s", indent, s.Entered.Node, fields(*s.Entered))
	} else {
		line(w, "%sno line of the node where it entered: left out under load, or its log was not given", indent)
	}
	if text, ok := meaning(s); ok {
		line(w, "%smeaning: %s", indent, text)
	}
	for _, l := range s.Context {
		line(w, "%snear it, %s %s %s: %s", indent, l.Node, l.Time.Format("15:04:05.000"), l.Message, fields(l))
	}
}

// meaning returns what the result code of the attempt says.
func meaning(s *explainer.Step) (string, bool) {
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

func fields(l explainer.Line) string {
	rest := make(map[string]any)
	for name, v := range l.Fields {
		switch name {
		case "time", "level", "message", "id":
		default:
			rest[name] = v
		}
	}
	var parts []string
	for _, name := range shown {
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
