// Package acceptor serves HTTP connections of callers. It closes idle and slow connections by limits that may change
// while it runs, and shuts down without cutting off requests in flight.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/finisher"
)

const (
	// maxHeaderBytes is the maximum size of a request header in bytes, independent of the configuration.
	maxHeaderBytes = 256 << 10
	// maxHeaderTime is the maximum time in which a request header must arrive, independent of the configuration.
	maxHeaderTime = 30 * time.Second
	// sweepInterval is the interval between two checks for connections that exceed a limit.
	sweepInterval = time.Second
	// defaultIdleTime is the maximum idle time of a connection while the configuration gives no limit.
	defaultIdleTime = 30 * time.Second
)

// Acceptor serves HTTP on one address. Set the exported fields before Open.
type Acceptor struct {
	Address string
	Handler http.Handler
	// Limits returns the configured maximum time for a request header to arrive and the maximum time without a request; zero
	// means that the configuration gives no limit.
	Limits func() (header, idle time.Duration)

	server   *http.Server
	finisher finisher.Finisher
	inFlight atomic.Int64
}

// Open starts to listen and serves in the background. If the server fails later, fail is called with the error.
func (a *Acceptor) Open(fail func(error)) error {
	cfg := net.ListenConfig{}
	cfg.SetMultipathTCP(false) // a socket with Multipath TCP cannot have the filter of a planned stop
	l, err := cfg.Listen(context.Background(), "tcp", a.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.server = &http.Server{
		Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: maxHeaderTime, MaxHeaderBytes: maxHeaderBytes,
	}
	a.finisher.Server = a.server
	a.finisher.Attach()
	go a.finisher.Run(func() {
		if err := a.server.Serve(l); !a.finisher.Finished() {
			fail(errors.Wrap(err, "serve "+a.Address))
		}
	})
	return nil
}

func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.Handler.ServeHTTP(w, r)
}

// InFlight returns the number of requests in flight.
func (a *Acceptor) InFlight() int { return int(a.inFlight.Load()) }

// Run closes connections that exceed the limits, until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			a.sweep(now)
		}
	}
}

// sweep closes the connections that have been idle, or have not sent their first request header, for too long.
func (a *Acceptor) sweep(now time.Time) {
	header, idle := a.Limits()
	if idle <= 0 {
		idle = defaultIdleTime
	}
	if header <= 0 {
		header = maxHeaderTime
	}
	a.finisher.CloseConns(func(state http.ConnState, since time.Time) bool {
		age := now.Sub(since)
		// A connection is in StateNew until the header of its first request is complete.
		return state == http.StateIdle && age > idle || state == http.StateNew && age > max(header, idle)
	})
}

// Shutdown takes the connections that callers have opened, stops listening and returns when all requests are answered and all
// connections are closed. When ctx ends, it cuts off the requests that are left and returns the error of ctx. The handler should
// set "Connection: close" meanwhile.
func (a *Acceptor) Shutdown(ctx context.Context) error { return a.finisher.Finish(ctx) }
