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
		Description: "Status is the HTTP status of an answer, or the exit status of this command for codes from 500 on.\n" +
			"The claim says whether the request ran. --markdown writes the table of docs/codes.md.",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "markdown", Usage: "write the table as Markdown"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return emit(cmd, hornbeamcroft.Codes, func(w io.Writer) { codes(w, cmd.Bool("markdown")) })
		},
	}
}

func codes(w io.Writer, markdown bool) {
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

// version is set by the linker for releases.
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
			return emit(cmd, out, func(w io.Writer) { line(w, "hornbeamctl %s %s", out["version"], out["go"]) })
		},
	}
}
