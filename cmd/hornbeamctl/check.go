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

// kinds of files that check knows.
const (
	ofDocument = "document"
	ofNode     = "node"
	ofAgent    = "agent"
	ofDeploy   = "deploy"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document, a settings file or a deploy file",
		ArgsUsage: "FILE",
		Description: "Reports all problems at once, each with section, key, value and what is allowed. Needs neither\n" +
			"store nor nodes. Exit status 0 if the file is valid, 1 if not.\n\n" +
			"A deploy file is checked together with its templates, filled in for an example host; their paths are\n" +
			"relative to the folder in which the command runs.\n\n" +
			"Examples: hornbeamctl check document.ini\n" +
			"          hornbeamctl check --of deploy deploy/system.toml",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "of", Value: ofDocument, Usage: "`KIND` of file: document, node or agent for settings, deploy",
		}},
		Action: check,
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	kind := cmd.String("of")
	if kind == ofDocument {
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
	case ofNode:
		_, err = loader.Load(text)
	case ofAgent:
		_, _, err = platform.DecodeSettings(text)
	case ofDeploy:
		return reportProblems(cmd, sections, inspector.Inspector{Files: os.DirFS(".")}.Inspect(text))
	default:
		return usage("unknown kind %q: document, node, agent or deploy", kind)
	}
	return reportProblems(cmd, sections, parser.AsProblems(err))
}

// checkJSON is the output of check.
type checkJSON struct {
	codeJSON
	Sections int             `json:"sections"`
	Problems parser.Problems `json:"problems"`
}

// reportProblems writes the problems; it returns an error if there are any.
func reportProblems(cmd *cli.Command, sections int, problems parser.Problems) error {
	code := hornbeamcroft.CodeAccepted
	if len(problems) > 0 {
		code = hornbeamcroft.CodeInvalid
	}
	out := checkJSON{codeOf(code), sections, append(parser.Problems{}, problems...)}
	if code == hornbeamcroft.CodeAccepted {
		out.Meaning = "The file is valid."
	}
	if err := emit(cmd, out, func(w io.Writer) {
		for _, p := range problems {
			line(w, "%s", p.Error())
		}
		if len(problems) == 0 {
			line(w, "valid: %d sections", sections)
		}
	}); err != nil {
		return err
	}
	if len(problems) > 0 {
		return fail(code, errors.Errorf("%d problems", len(problems)))
	}
	return nil
}

// readFile reads the file that the first argument names.
func readFile(cmd *cli.Command) ([]byte, error) {
	file := cmd.Args().First()
	if file == "" {
		return nil, usage("%s needs a FILE", cmd.Name)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("%v", err)
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
		return nil, fail(hornbeamcroft.CodeInvalid, err)
	}
	return parser.TakeGenerations(sections), nil
}
