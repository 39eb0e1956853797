// Command hornbeam-node is the process beside one upstream: it routes, admits, retries, deduplicates and drains.
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
	cmd := &cli.Command{
		Name:  "hornbeam-node",
		Usage: "run the node beside an upstream",
		Description: "The node takes calls from outside callers and from its own upstream, and links from other nodes.\n" +
			"SIGTERM starts a planned stop, which cuts no request in flight. docs/settings-node.md lists the settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI `FILE` with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{agentCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus is 2 for wrong settings or a wrong command line, and 1 for a failure while running.
func exitStatus(err error) int {
	var wrong *usageError
	if errors.As(err, &wrong) {
		return hornbeamcroft.CodeUsage.Info().Status
	}
	return 1
}

// usageError says that the settings or the command line are wrong.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func run(ctx context.Context, cmd *cli.Command) error {
	text, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return &usageError{errors.Wrap(err, "settings")}
	}
	cfg, err := loader.Load(text)
	if err != nil {
		return &usageError{err}
	}
	if cmd.Bool("check") {
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := &server.Server{Settings: cfg, Log: logger.New(os.Stderr, cfg.Log.Level), Store: store(cfg.Store)}
	return s.Run(ctx)
}

func store(cfg loader.StoreSettings) hornbeamcroft.Store {
	if len(cfg.Endpoints) == 0 {
		return nil
	}
	c := &etcdclient.Client{Endpoints: cfg.Endpoints, Timeout: cfg.Timeout}
	c.Init()
	return c
}
