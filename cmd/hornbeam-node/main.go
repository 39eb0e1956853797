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
			&cli.StringFlag{Name: "settings", Usage: "INI `FILE` with the settings", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	text, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	cfg, err := loader.Load(text)
	if err != nil || cmd.Bool("check") {
		return err
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
