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
		Usage: "generates an open-loop load and prints a report as JSON",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Usage: "`address` of an ingress node; repeatable", Required: true},
			&cli.BoolFlag{Name: "direct", Usage: "the addresses given by --node are those of upstreams; calls go to them without a node"},
			&cli.Float64Flag{Name: "rate", Usage: "mean number of new actions per second", Value: 50},
			&cli.DurationFlag{Name: "time", Usage: "length of the load; no action arrives later", Value: 10 * time.Second},
			&cli.StringSliceFlag{Name: "mix", Usage: "`service/type=share`: relative frequency of a request type; repeatable", Required: true},
			&cli.StringSliceFlag{Name: "phase", Usage: "`time=factor`: multiplies the rate from that time on; repeatable, in ascending order of time"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random arrivals, request types and nodes", Value: 1},
			&cli.IntFlag{Name: "tries", Usage: "maximum number of sends of an action, all with the same key", Value: 1},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of each send", Value: 2 * time.Second},
			&cli.IntFlag{Name: "answer-bytes", Usage: "`bytes` of filler in each answer"},
			&cli.BoolFlag{Name: "actions", Usage: "include every action in the output"},
			&cli.StringFlag{Name: "out", Usage: "`file` for the JSON output; standard output if empty"},
		},
		Action: run,
	}
}

// run generates the load and writes the report.
func run(ctx context.Context, cmd *cli.Command) error {
	cfg, err := settingsFromFlags(cmd)
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

func settingsFromFlags(cmd *cli.Command) (Settings, error) {
	cfg := Settings{
		Nodes: cmd.StringSlice("node"), BypassNodes: cmd.Bool("direct"), Rate: cmd.Float64("rate"), Length: cmd.Duration("time"),
		Seed: cmd.Uint64("seed"), MaxSends: cmd.Int("tries"), Timeout: cmd.Duration("timeout"), AnswerBytes: cmd.Int("answer-bytes"),
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
