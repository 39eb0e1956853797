// Command hornbeam-standin holds the stand-ins for tests, the demo and measurements. It is not part of the system.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamcroft/cmd/hornbeam-standin/platform"
)

func main() {
	cmd := &cli.Command{
		Name:  "hornbeam-standin",
		Usage: "stand-ins for tests, the demo and measurements",
		Commands: []*cli.Command{
			platform.Command(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
