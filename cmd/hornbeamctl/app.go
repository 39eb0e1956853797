package main

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
)

const description = `The operators' document is one INI text with a section for the platform, each service, each request type
and each objective. Every section has an owner. An edit replaces whole sections.

An edit is accepted, refused or its outcome is unknown, and the exit status says which: 0 accepted, 4 unknown,
others refused. "hornbeamctl codes" lists them all. Repeating an interrupted apply is safe.

Addresses come from the settings file or from flags:

    [store]
    endpoints = 127.0.0.1:7001
    [nodes]
    addresses = 127.0.0.1:7201 127.0.0.1:7202
    [security]
    operators-key = ...`

// result is an error that carries a result code; its exit status is that of the code.
type result struct {
	code hornbeamcroft.Code
	err  error
}

func (r result) Error() string { return r.code.String() + ": " + r.err.Error() }

func (r result) Unwrap() error { return r.err }

// fail returns an error with a result code.
func fail(code hornbeamcroft.Code, err error) error { return result{code, err} }

// usage returns an error of the command line or the settings.
func usage(format string, args ...any) error {
	return fail(hornbeamcroft.CodeUsage, errors.Errorf(format, args...))
}

// run executes a command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newApp(stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	var r result
	if !errors.As(err, &r) {
		r = result{hornbeamcroft.CodeUsage, err} // the command line library reports wrong flags without a code
	}
	_, _ = fmt.Fprintln(stderr, "hornbeamctl:", r)
	return r.code.Info().Status
}

func newApp(stdout, stderr io.Writer) *cli.Command {
	app := &cli.Command{
		Name:                  "hornbeamctl",
		Usage:                 "check, edit and show the operators' document, and drain nodes",
		Description:           description,
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		Suggest:               true,
		HideVersion:           true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Sources: cli.EnvVars("HORNBEAMCTL_SETTINGS"), Usage: "INI `FILE` with addresses and the operators' key"},
			&cli.StringSliceFlag{Name: "store", Usage: "`ADDRESS` of a store endpoint; repeat for several"},
			&cli.StringSliceFlag{Name: "nodes", Usage: "`ADDRESS` of a node's operators' endpoint; repeat for several"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON to standard output"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "give up after this `TIME`"},
		},
		Action: noCommand,
		Commands: []*cli.Command{
			checkCommand(), diffCommand(), applyCommand(), showCommand(), drainCommand(), reportCommand(), explainCommand(), codesCommand(),
			versionCommand(),
		},
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
	}
	for _, c := range app.Commands {
		c.OnUsageError = usageError
	}
	return app
}

// noCommand shows the help, or reports an unknown command.
func noCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usage("unknown command %q; see hornbeamctl --help", cmd.Args().First())
	}
	return cli.ShowRootCommandHelp(cmd)
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fail(hornbeamcroft.CodeUsage, err)
}
