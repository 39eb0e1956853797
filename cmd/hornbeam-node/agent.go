package main

import (
	"context"
	"os"
	"os/signal"
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

// settingsLook is how often the settings file is compared with what is in force; it may change without a signal.
const settingsLook = 5 * time.Second

// agentCommand runs the node on a platform.
func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the node on a platform that has a store of its own",
		Description: "The node takes the requests of the callers on its host and the calls of its upstream.\n" +
			"SIGTERM starts a planned stop; SIGHUP reads the settings again. docs/settings-agent.md lists the settings.",
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
	path := cmd.String("settings")
	cfg, bounds, err := readAgent(path)
	if err != nil {
		return &usageError{err}
	}
	if cmd.Bool("check") {
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, flush := logger.NewAsync(os.Stdout, cfg.Log.Level)
	defer flush()
	a := &agent.Agent{Settings: cfg, Bounds: bounds, Log: l, Reload: watchSettings(ctx, path, l.Logger)}
	return a.Run(ctx)
}

func readAgent(path string) (loader.AgentSettings, platform.Bounds, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return loader.AgentSettings{}, platform.Bounds{}, errors.Wrap(err, "settings")
	}
	return platform.DecodeSettings(text)
}

// watchSettings delivers the settings when the file has changed or SIGHUP came. A file that is wrong is reported and
// changes nothing.
func watchSettings(ctx context.Context, path string, l *log.Logger) <-chan loader.AgentSettings {
	changed := make(chan loader.AgentSettings)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		// The signal stays caught after ctx has ended: it may come during a planned stop, and would end the process.
		last, _ := os.ReadFile(path)
		t := time.NewTicker(settingsLook)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
				l.Info().Msg("agent: SIGHUP")
			case <-t.C:
			}
			text, err := os.ReadFile(path)
			if err != nil || string(text) == string(last) {
				continue
			}
			last = text
			cfg, _, err := readAgent(path)
			if err != nil {
				l.Error().Err(err).Msg("agent: changed settings are wrong and not taken")
				continue
			}
			select {
			case changed <- cfg:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changed
}
