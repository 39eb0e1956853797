package upstream

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Command returns the subcommand "upstream".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "runs a simulated service instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "INI `file` with the section [upstream] and sections [type ...]", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := Load(cmd.String("settings"))
			if err != nil {
				return err
			}
			u, err := New(cfg)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			fmt.Fprintf(cmd.Root().Writer, "upstream: calls %s control %s\n", u.Address(), u.ControlAddress())
			return u.Run(ctx)
		},
	}
}
