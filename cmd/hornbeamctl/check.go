package main

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/parser"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a file as a whole document",
		ArgsUsage: "FILE",
		Description: "Reports all problems at once, each with section, key, value and what is allowed. Needs neither\n" +
			"store nor nodes. Exit status 0 if the document is valid, 1 if not.\n\nExample: hornbeamctl check document.ini",
		Action: check,
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	sections, err := readSections(cmd)
	if err != nil {
		return err
	}
	stored := hornbeamcroft.StoredDocument{Revision: 1, Sections: sections}
	problems := parser.AsProblems(applier.Check(stored))
	return reportProblems(cmd, len(sections), problems)
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
		out.Meaning = "The document is valid."
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

// readSections reads the file that the first argument names.
func readSections(cmd *cli.Command) ([]hornbeamcroft.Section, error) {
	file := cmd.Args().First()
	if file == "" {
		return nil, usage("%s needs a FILE", cmd.Name)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("%v", err)
	}
	sections, err := parser.Split(text)
	if err != nil {
		return nil, fail(hornbeamcroft.CodeInvalid, err)
	}
	return parser.TakeGenerations(sections), nil
}
