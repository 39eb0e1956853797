package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"hornbeamcroft/agent"
	"hornbeamcroft/loader"
	"hornbeamcroft/logger"
	"hornbeamcroft/platform"
)

// settingsPollInterval is the time between two checks whether the settings file has changed: the file may change
// without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// collectorShare is the share of the host's memory, in percent, above which the garbage collector runs more often. The rest is
// for what it does not count: received bytes that were not read yet, and the code.
const collectorShare = 60

// agentCommand returns the subcommand that runs the node on a platform.
func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the node on a platform that has a store of its own",
		Description: "The node accepts the requests of the callers on its host and the calls of its upstream.\n" +
			"SIGTERM starts a planned stop; SIGHUP reloads the settings. docs/settings-agent.md lists the settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "INI `FILE` with the settings", Required: true,
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP) // before the settings are read: the default action would end the process
	path := cmd.String("settings")
	text, err := os.ReadFile(path)
	if err != nil {
		return &usageError{errors.Wrap(err, "read settings")}
	}
	cfg, bounds, err := platform.DecodeSettings(text)
	if err != nil {
		return &usageError{err}
	}
	if cmd.Bool("check") {
		return nil
	}
	debug.SetMemoryLimit(int64(cfg.Agent.MemoryMB) << 20 * collectorShare / 100)
	l, flush := logger.NewAsync(os.Stdout, cfg.Log.Level)
	defer flush()
	a := &agent.Agent{Settings: cfg, Bounds: bounds, Log: l, Reload: watchSettings(ctx, path, text, sighup, l.Logger)}
	return a.Run(ctx)
}

// watchSettings sends the settings to the returned channel each time the file differs from the text that was read last. It checks the file
// at regular intervals and on SIGHUP, which sighup receives. If the changed file is invalid, it logs the error and sends nothing.
func watchSettings(ctx context.Context, path string, last []byte, sighup <-chan os.Signal, l *log.Logger) <-chan loader.AgentSettings {
	changes := make(chan loader.AgentSettings)
	go func() {
		// SIGHUP is still caught after ctx has ended: during a planned stop its default action would end the process.
		t := time.NewTicker(settingsPollInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-sighup:
				l.Info().Msg("agent: SIGHUP")
			case <-t.C:
			}
			text, err := os.ReadFile(path)
			if err != nil || string(text) == string(last) {
				continue
			}
			last = text
			cfg, _, err := platform.DecodeSettings(text)
			if err != nil {
				l.Error().Err(err).Msg("agent: changed settings are invalid; keeping the settings in force")
				continue
			}
			select {
			case changes <- cfg:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes
}
