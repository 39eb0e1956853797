package main

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"hornbeamcroft"
)

func codesCommand() *cli.Command {
	return &cli.Command{
		Name:  "codes",
		Usage: "list the result codes",
		Description: "The status is the HTTP status of an answer, or the exit status of hornbeamctl for codes from 500 on.\n" +
			"The claim states whether the request ran. --markdown writes the table of docs/codes.md.",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "markdown", Usage: "write the table as Markdown"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return writeOutput(cmd, hornbeamcroft.Codes, func(w io.Writer) { writeCodes(w, cmd.Bool("markdown")) })
		},
	}
}

// writeCodes writes the table of result codes, as Markdown or as a table for a terminal.
func writeCodes(w io.Writer, markdown bool) {
	t := newTable(w, "code", "name", "status", "claim", "meaning")
	for _, info := range hornbeamcroft.Codes {
		claim := ""
		if info.Code < hornbeamcroft.CodeAccepted {
			claim = info.Code.Claim().String()
		}
		t.AppendRow([]any{int(info.Code), info.Name, info.Status, claim, info.Meaning})
	}
	if markdown {
		t.RenderMarkdown()
		return
	}
	t.Render()
}

// version is the release; the linker flag -X replaces the default in release builds.
var version = "development"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			out := map[string]string{"version": version}
			if info, ok := debug.ReadBuildInfo(); ok {
				out["go"] = info.GoVersion
			}
			return writeOutput(cmd, out, func(w io.Writer) { writeLine(w, "hornbeamctl %s %s", out["version"], out["go"]) })
		},
	}
}
