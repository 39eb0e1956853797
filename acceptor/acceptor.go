// Package acceptor serves HTTP connections of callers. It closes idle and slow connections by limits that may change
// while it runs, and shuts down without cutting off requests in flight.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
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
	inFlight atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and the time at which the connection entered it.
type connState struct {
	state http.ConnState
	since time.Time
}

// Open starts to listen and serves in the background. If the server fails later, fail is called with the error.
func (a *Acceptor) Open(fail func(error)) error {
	l, err := net.Listen("tcp", a.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.conns = make(map[net.Conn]connState)
	a.server = &http.Server{
		Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: maxHeaderTime, MaxHeaderBytes: maxHeaderBytes, ConnState: a.track,
	}
	go func() {
		if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fail(errors.Wrap(err, "serve "+a.Address))
		}
	}()
	return nil
}

func (a *Acceptor) serve(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.Handler.ServeHTTP(w, r)
}

// InFlight returns the number of requests in flight.
func (a *Acceptor) InFlight() int { return int(a.inFlight.Load()) }

// track records a change of a connection's state.
func (a *Acceptor) track(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.conns, c)
		return
	}
	a.conns[c] = connState{state: state, since: time.Now()}
}

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
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, s := range a.conns {
		age := now.Sub(s.since)
		// A connection is in StateNew until the header of its first request is complete.
		if s.state == http.StateIdle && age > idle || s.state == http.StateNew && age > max(header, idle) {
			_ = c.Close()
		}
	}
}

// Shutdown stops listening, closes idle connections and waits for requests in flight until ctx ends. It returns the error of
// ctx if requests are still in flight then.
func (a *Acceptor) Shutdown(ctx context.Context) error { return a.server.Shutdown(ctx) }
