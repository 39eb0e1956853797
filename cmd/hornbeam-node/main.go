// A listening socket with Multipath TCP cannot have the filter that a planned stop needs (package finisher).
//go:debug multipathtcp=0

// Command hornbeam-node runs beside one upstream. It routes, admits, retries and deduplicates requests, and drains the
// upstream on a planned stop.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"hornbeamcroft"
	"hornbeamcroft/etcdclient"
	"hornbeamcroft/loader"
	"hornbeamcroft/logger"
	"hornbeamcroft/server"
)

func main() {
	// SIGTERM is caught before anything else. go-zero catches it when its packages are initialized: a SIGTERM that only go-zero
	// catches starts no planned stop, and go-zero closes the sockets a second later.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := &cli.Command{
		Name:  "hornbeam-node",
		Usage: "run the node beside an upstream",
		Description: "The node accepts requests of external callers, calls of the local upstream, and links from other nodes.\n" +
			"SIGTERM starts a planned stop, which interrupts no request in flight. docs/settings-node.md lists the settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI `FILE` with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{agentCommand()},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus returns the exit status for an error: 2 if the settings or the command line are invalid, and 1 for a
// failure at run time.
func exitStatus(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return hornbeamcroft.CodeUsage.Info().Status
	}
	return 1
}

// usageError is the error for invalid settings or an invalid command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func run(ctx context.Context, cmd *cli.Command) error {
	text, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return &usageError{errors.Wrap(err, "read settings")}
	}
	cfg, err := loader.Load(text)
	if err != nil {
		return &usageError{err}
	}
	if cmd.Bool("check") {
		return nil
	}
	s := &server.Server{Settings: cfg, Log: logger.New(os.Stderr, cfg.Log.Level), Store: newStore(cfg.Store)}
	return s.Run(ctx)
}

// newStore returns a client of the store, or nil if no endpoint is set.
func newStore(cfg loader.StoreSettings) hornbeamcroft.Store {
	if len(cfg.Endpoints) == 0 {
		return nil
	}
	c := &etcdclient.Client{Endpoints: cfg.Endpoints, Timeout: cfg.Timeout}
	c.Init()
	return c
}
