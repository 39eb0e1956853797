// Package acceptor takes HTTP connections of callers. It closes connections by limits that change while it runs, and
// stops without cutting a request.
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
	// maxHeader bounds the header of a request in bytes, whatever the configuration says.
	maxHeader = 256 << 10
	// headerTime bounds the time in which a header must arrive, whatever the configuration says.
	headerTime = 30 * time.Second
	// sweepTime is the period in which idle connections are looked at.
	sweepTime = time.Second
	// defaultIdle closes idle connections while there is no configuration.
	defaultIdle = 30 * time.Second
)

// Acceptor serves one address. Set the exported fields before Open.
type Acceptor struct {
	Address string
	Handler http.Handler
	// Limits returns the longest time for a header and the longest time without a request; zero means no limit of the
	// configuration.
	Limits func() (header, idle time.Duration)

	server   *http.Server
	inFlight atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and its begin.
type connState struct {
	state http.ConnState
	since time.Time
}

// Open listens and serves in the background. A failure to serve later goes to fail.
func (a *Acceptor) Open(fail func(error)) error {
	l, err := net.Listen("tcp", a.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.conns = make(map[net.Conn]connState)
	a.server = &http.Server{
		Handler: http.HandlerFunc(a.serve), ReadHeaderTimeout: headerTime, MaxHeaderBytes: maxHeader, ConnState: a.track,
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

// InFlight returns the number of requests that are being served.
func (a *Acceptor) InFlight() int { return int(a.inFlight.Load()) }

func (a *Acceptor) track(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.conns, c)
		return
	}
	a.conns[c] = connState{state: state, since: time.Now()}
}

// Run closes connections that are idle for too long, until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	t := time.NewTicker(sweepTime)
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

func (a *Acceptor) sweep(now time.Time) {
	header, idle := a.Limits()
	if idle <= 0 {
		idle = defaultIdle
	}
	if header <= 0 {
		header = headerTime
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for c, s := range a.conns {
		age := now.Sub(s.since)
		// A connection is new until the header of its first request is complete.
		if s.state == http.StateIdle && age > idle || s.state == http.StateNew && age > max(header, idle) {
			_ = c.Close()
		}
	}
}

// Shutdown stops listening, closes idle connections and waits for requests in flight until ctx ends.
func (a *Acceptor) Shutdown(ctx context.Context) error { return a.server.Shutdown(ctx) }
