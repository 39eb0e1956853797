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

An edit is accepted, refused, or its outcome is unknown. The exit status is 0 for accepted, 4 for unknown, and
another number for refused; "hornbeamctl codes" lists all of them. Repeating an interrupted apply with the --writer ID
that it printed is safe.

Addresses come from the settings file or from flags:

    [store]
    endpoints = 127.0.0.1:7001
    [nodes]
    addresses = 127.0.0.1:7201 127.0.0.1:7202
    [security]
    operators-key = ...`

// codedError is an error with a result code, which determines the exit status.
type codedError struct {
	code hornbeamcroft.Code
	err  error
}

func (r codedError) Error() string { return r.code.String() + ": " + r.err.Error() }

func (r codedError) Unwrap() error { return r.err }

// withCode adds a result code to err.
func withCode(code hornbeamcroft.Code, err error) error { return codedError{code, err} }

// usageErrorf returns an error in the command line or the settings file.
func usageErrorf(format string, args ...any) error {
	return withCode(hornbeamcroft.CodeUsage, errors.Errorf(format, args...))
}

// run executes the command line args, writes errors to stderr and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newApp(stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	var r codedError
	if !errors.As(err, &r) {
		r = codedError{hornbeamcroft.CodeUsage, err} // package cli reports invalid flags without a result code
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
		OnUsageError:          onUsageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Sources: cli.EnvVars("HORNBEAMCTL_SETTINGS"), Usage: "INI `FILE` with addresses and the operators' key"},
			&cli.StringSliceFlag{Name: "store", Usage: "`ADDRESS` of a store endpoint; repeat for several"},
			&cli.StringSliceFlag{Name: "nodes", Usage: "`ADDRESS` of a node's operators' endpoint; repeat for several"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON to standard output"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "stop waiting for the store and the nodes after this `TIME`"},
		},
		Action: rootAction,
		Commands: []*cli.Command{
			checkCommand(), diffCommand(), applyCommand(), showCommand(), drainCommand(), reportCommand(), explainCommand(), placeCommand(),
			codesCommand(), versionCommand(),
		},
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
	}
	for _, c := range app.Commands {
		c.OnUsageError = onUsageError
	}
	return app
}

// rootAction runs if no command matches: it prints the help, or reports an unknown command.
func rootAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageErrorf("unknown command %q; see hornbeamctl --help", cmd.Args().First())
	}
	return cli.ShowRootCommandHelp(cmd)
}

// onUsageError adds hornbeamcroft.CodeUsage to the errors of package cli about flags.
func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withCode(hornbeamcroft.CodeUsage, err)
}
