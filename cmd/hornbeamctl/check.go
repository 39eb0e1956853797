package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/loader"
	"hornbeamcroft/parser"
	"hornbeamcroft/platform"
	"hornbeamcroft/platform/inspector"
)

// The kinds of files that the check command accepts in --of.
const (
	kindDocument = "document"
	kindNode     = "node"
	kindAgent    = "agent"
	kindDeploy   = "deploy"
	kindRoutes   = "routes"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document, a settings file or a deploy file",
		ArgsUsage: "FILE",
		Description: "Reports all problems at once, each with section, key, value and what is allowed. Contacts neither\n" +
			"the store nor nodes. Exit status 0 if the file is valid, 1 if not.\n\n" +
			"A deploy file is checked together with its templates, which are filled in for an example host. The\n" +
			"paths of templates are relative to the working directory of the command.\n\n" +
			"A configuration of routes is valid if a node can read each entry. A node puts the others in force.\n\n" +
			"Examples: hornbeamctl check document.ini\n" +
			"          hornbeamctl check --of deploy deploy/system.toml",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "of", Value: kindDocument, Usage: "`KIND` of file: document, node or agent for settings, deploy, routes",
		}},
		Action: check,
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	kind := cmd.String("of")
	if kind == kindDocument {
		sections, err := readSections(cmd)
		if err != nil {
			return err
		}
		stored := hornbeamcroft.StoredDocument{Revision: 1, Sections: sections}
		return reportProblems(cmd, len(sections), parser.AsProblems(applier.Check(stored)))
	}
	text, err := readFile(cmd)
	if err != nil {
		return err
	}
	sections := strings.Count("\n"+string(text), "\n[")
	switch kind {
	case kindNode:
		_, err = loader.Load(text)
	case kindAgent:
		_, _, err = platform.DecodeSettings(text)
	case kindDeploy:
		return reportProblems(cmd, sections, inspector.Inspector{Files: os.DirFS(".")}.Inspect(text))
	case kindRoutes:
		return reportRoutes(cmd, text)
	default:
		return usageErrorf("unknown kind %q: must be one of document, node, agent, deploy, routes", kind)
	}
	return reportProblems(cmd, sections, parser.AsProblems(err))
}

// reportRoutes reports the entries of a configuration of routes that a node cannot read.
func reportRoutes(cmd *cli.Command, text []byte) error {
	table, err := platform.DecodeRoutes(text)
	if err != nil {
		return reportProblems(cmd, 0, parser.Problems{{Section: "routes", Allowed: err.Error()}})
	}
	var problems parser.Problems
	for _, p := range table.Problems {
		problems = append(problems, parser.Problem{Section: p.Entry, Allowed: p.Reason})
	}
	return reportProblems(cmd, len(table.Routes)+len(table.Services)+len(table.Tenants), problems)
}

// checkJSON is the JSON output of the check command.
type checkJSON struct {
	codeJSON
	Sections int             `json:"sections"`
	Problems parser.Problems `json:"problems"`
}

// reportProblems writes the problems, or the number of sections if there are none. It returns an error with
// hornbeamcroft.CodeInvalid if there are problems.
func reportProblems(cmd *cli.Command, sections int, problems parser.Problems) error {
	code := hornbeamcroft.CodeAccepted
	if len(problems) > 0 {
		code = hornbeamcroft.CodeInvalid
	}
	out := checkJSON{newCodeJSON(code), sections, append(parser.Problems{}, problems...)}
	if code == hornbeamcroft.CodeAccepted {
		out.Meaning = "The file is valid."
	}
	if err := writeOutput(cmd, out, func(w io.Writer) {
		for _, p := range problems {
			writeLine(w, "%s", p.Error())
		}
		if len(problems) == 0 {
			writeLine(w, "valid: %d sections", sections)
		}
	}); err != nil {
		return err
	}
	if len(problems) > 0 {
		return withCode(code, errors.Errorf("the file has %d problems", len(problems)))
	}
	return nil
}

// readFile reads the file that the first argument names.
func readFile(cmd *cli.Command) ([]byte, error) {
	file := cmd.Args().First()
	if file == "" {
		return nil, usageErrorf("%s needs a FILE", cmd.Name)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usageErrorf("%v", err)
	}
	return text, nil
}

// readSections reads the sections of the file that the first argument names.
func readSections(cmd *cli.Command) ([]hornbeamcroft.Section, error) {
	text, err := readFile(cmd)
	if err != nil {
		return nil, err
	}
	sections, err := parser.Split(text)
	if err != nil {
		return nil, withCode(hornbeamcroft.CodeInvalid, err)
	}
	return parser.ExtractGenerations(sections), nil
}
