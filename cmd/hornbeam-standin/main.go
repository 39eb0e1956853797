// Command hornbeam-standin runs the stand-ins for callers, upstreams and the platform, the demo and the measurements.
// It is a tool for tests and is not part of the system.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamcroft/cmd/hornbeam-standin/bench"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/demo"
	"hornbeamcroft/cmd/hornbeam-standin/platform"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

func main() {
	logx.Disable() // the periodic statistics of go-zero would mix with the output
	cmd := &cli.Command{
		Name:  "hornbeam-standin",
		Usage: "stand-ins for tests, the demo and measurements",
		Commands: []*cli.Command{
			bench.Command(),
			caller.Command(),
			demo.Command(),
			platform.Command(),
			upstream.Command(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
