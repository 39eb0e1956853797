package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand platform, which serves the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a stand-in for the platform's key-value store",
		Description: "Speaks the JSON/HTTP gateway of etcd v3 (range, txn, leases, watch), in memory.\n" +
			"Faults:     PUT /control/faults {\"down\":true, \"delay\":200, \"lose-answers\":1, \"hold-watches\":true}\n" +
			"Snapshots:  POST /control/copies/NAME saves one, POST /control/restore/NAME restores it\n" +
			"Counts:     GET /control/counts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7001", Usage: "`ADDRESS` to serve on; port 0 picks a free one"},
			&cli.StringFlag{Name: "load", Usage: "start with the document in this INI `FILE`, as document revision 1"},
			&cli.StringFlag{Name: "operators-key", Usage: "sign the loaded document with this `KEY`"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := New()
	if err != nil {
		return err
	}
	if file := cmd.String("load"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "platform: read the document file")
		}
		s.OperatorsKey = cmd.String("operators-key")
		if err := s.Load(text); err != nil {
			return errors.Wrapf(err, "platform: load %s", file)
		}
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return errors.Wrap(err, "platform: listen")
	}
	_, _ = fmt.Fprintf(cmd.Root().Writer, "platform: listening on %s\n", listener.Addr())
	go s.Run(ctx)
	return serve(ctx, s, listener)
}

// serve serves requests until ctx ends. It then closes all connections, including those of open watches, as a store
// that stops does.
func serve(ctx context.Context, s *Server, listener net.Listener) error {
	server := &http.Server{Handler: s}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
