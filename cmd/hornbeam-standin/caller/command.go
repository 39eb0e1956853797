package caller

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand "caller".
func Command() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "sends an open-loop load and prints the account as JSON",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "`address` of an ingress node; repeatable", Required: true},
			&cli.BoolFlag{Name: "direct", Usage: "the addresses are upstreams, not nodes"},
			&cli.Float64Flag{Name: "rate", Usage: "mean new actions per second", Value: 50},
			&cli.DurationFlag{Name: "time", Usage: "time over which actions arrive", Value: 10 * time.Second},
			&cli.StringSliceFlag{Name: "mix", Usage: "`service/type=share`; repeatable", Required: true},
			&cli.StringSliceFlag{Name: "phase", Usage: "`time=factor` of the rate; repeatable"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals and mix", Value: 1},
			&cli.IntFlag{Name: "tries", Usage: "sends of an action with the same key", Value: 1},
			&cli.DurationFlag{Name: "timeout", Usage: "bound of each send", Value: 2 * time.Second},
			&cli.IntFlag{Name: "answer-bytes", Usage: "filler of answers"},
			&cli.BoolFlag{Name: "actions", Usage: "list every action in the output"},
			&cli.StringFlag{Name: "out", Usage: "`file` for the JSON output in place of the standard output"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	cfg, err := fromFlags(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := (&Caller{Settings: cfg}).Run(ctx)
	if err != nil {
		return err
	}
	if !cmd.Bool("actions") {
		report.Actions = nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	data = append(data, '\n')
	if name := cmd.String("out"); name != "" {
		return os.WriteFile(name, data, 0o600)
	}
	_, err = io.Writer(cmd.Root().Writer).Write(data)
	return err
}

func fromFlags(cmd *cli.Command) (Settings, error) {
	cfg := Settings{
		Nodes: cmd.StringSlice("node"), Direct: cmd.Bool("direct"), Rate: cmd.Float64("rate"), Time: cmd.Duration("time"),
		Seed: cmd.Uint64("seed"), Tries: cmd.Int("tries"), Timeout: cmd.Duration("timeout"), AnswerBytes: cmd.Int("answer-bytes"),
	}
	for _, text := range cmd.StringSlice("mix") {
		m, err := parseMix(text)
		if err != nil {
			return cfg, err
		}
		cfg.Mix = append(cfg.Mix, m)
	}
	for _, text := range cmd.StringSlice("phase") {
		p, err := parsePhase(text)
		if err != nil {
			return cfg, err
		}
		cfg.Phases = append(cfg.Phases, p)
	}
	return cfg, nil
}
