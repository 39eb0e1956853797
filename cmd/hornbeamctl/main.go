// Command hornbeamctl is the operators' command: it checks, edits and shows the document, and drains nodes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"
)

func main() {
	logx.Disable() // the command's output is its only log
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
