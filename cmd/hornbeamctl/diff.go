package main

import (
	"context"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/editor"
	"hornbeamcroft/parser"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare sections of a file with the accepted document",
		ArgsUsage: "FILE [SECTION...]",
		Description: "Shows what apply would change, and checks the resulting document. Without SECTION, all sections of\n" +
			"the file are compared. Exit status 0 if the resulting document is valid, 1 if not.\n\n" +
			"Example: hornbeamctl diff document.ini \"service cash-office\"",
		Action: diff,
	}
}

// diffJSON is the JSON output of the diff command.
type diffJSON struct {
	Revision    uint64          `json:"revision"`
	Differences []difference    `json:"differences"`
	Problems    parser.Problems `json:"problems"`
}

// difference is the unified diff of one section between the accepted document and the file.
type difference struct {
	Section string `json:"section"`
	Owner   string `json:"owner"`
	Text    string `json:"text"`
}

func diff(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	sections, err := readSections(cmd)
	if err != nil {
		return err
	}
	if sections, err = selectSections(sections, cmd.Args().Tail()); err != nil {
		return err
	}
	_, stored, err := fetchDocument(ctx, cmd)
	if err != nil {
		return err
	}
	out := compare(stored, sections)
	if err := writeOutput(cmd, out, out.writeText); err != nil {
		return err
	}
	if len(out.Problems) > 0 {
		return withCode(hornbeamcroft.CodeInvalid, out.Problems)
	}
	return nil
}

// compare replaces or adds sections in stored. It returns the changed sections as diffs and all problems of the
// resulting document.
func compare(stored hornbeamcroft.StoredDocument, sections []hornbeamcroft.Section) diffJSON {
	out := diffJSON{Revision: stored.Revision, Differences: []difference{}, Problems: parser.Problems{}}
	for _, s := range sections {
		var old string
		i := slices.IndexFunc(stored.Sections, func(o hornbeamcroft.Section) bool { return o.Name == s.Name })
		if i < 0 {
			stored.Sections = append(stored.Sections, s)
		} else {
			old = stored.Sections[i].Text
			stored.Sections[i] = s
		}
		if text := editor.Diff("accepted ["+s.Name+"]", old, "file ["+s.Name+"]", s.Text); text != "" {
			out.Differences = append(out.Differences, difference{s.Name, s.Owner, text})
		}
	}
	out.Problems = append(out.Problems, parser.AsProblems(applier.Check(stored))...)
	return out
}

func (d diffJSON) writeText(w io.Writer) {
	for _, c := range d.Differences {
		writeLine(w, "%s", c.Text)
	}
	if len(d.Differences) == 0 {
		writeLine(w, "no differences from revision %d", d.Revision)
	}
}

// selectSections returns the sections with the given names in the order of names, or all sections if names is empty. A
// name without a section is a usage error.
func selectSections(sections []hornbeamcroft.Section, names []string) ([]hornbeamcroft.Section, error) {
	if len(names) == 0 {
		return sections, nil
	}
	var found []hornbeamcroft.Section
	for _, name := range names {
		i := slices.IndexFunc(sections, func(s hornbeamcroft.Section) bool { return s.Name == name })
		if i < 0 {
			return nil, usageErrorf("the file has no section [%s]", name)
		}
		found = append(found, sections[i])
	}
	return found, nil
}

// fetchDocument connects to the store of the settings and reads the accepted document.
func fetchDocument(ctx context.Context, cmd *cli.Command) (hornbeamcroft.Store, hornbeamcroft.StoredDocument, error) {
	s, err := loadSettings(cmd)
	if err != nil {
		return nil, hornbeamcroft.StoredDocument{}, err
	}
	client, err := s.storeClient()
	if err != nil {
		return nil, hornbeamcroft.StoredDocument{}, err
	}
	stored, _, err := applier.Fetch(ctx, client)
	if err != nil {
		return nil, stored, withCode(hornbeamcroft.CodeStoreUnreachable, err)
	}
	return client, stored, nil
}
