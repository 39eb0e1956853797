// Command hornbeamctl is the operators' command-line tool: it checks, edits and shows the document, reports on its
// service-level objectives, explains requests from logs, shows where a request would go, and drains nodes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"
)

func main() {
	logx.Disable() // the libraries must not write log lines between the output of the command
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
