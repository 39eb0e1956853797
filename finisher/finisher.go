// Package finisher ends an HTTP server without cutting off requests that were accepted. Shutdown of net/http closes the
// listening socket, which resets the connections in its accept queue, and ends connections whose request is being read.
package finisher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// handshakeTime is how long a handshake that was begun before the stop may take to reach the accept queue.
	handshakeTime = 30 * time.Millisecond
	// firstRequestTime is how long a new connection is kept open for its first request.
	firstRequestTime = 150 * time.Millisecond
	pollInterval     = time.Millisecond
)

// Finisher ends one server. Set the exported fields, call Attach, and serve within Run. Responses that are sent while Finish
// runs should have "Connection: close".
type Finisher struct {
	Server *http.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]connState
	finished bool
	// began is closed when the server serves, ended when Run has returned.
	began, ended chan struct{}
}

// connState is the state of a connection and the time at which the connection entered it.
type connState struct {
	state http.ConnState
	since time.Time
}

// Attach sets the hooks of the server by which the Finisher knows its listener and connections. Hooks that are set
// already are called, too.
func (f *Finisher) Attach() {
	f.init()
	baseContext, hook := f.Server.BaseContext, f.Server.ConnState
	f.Server.BaseContext = func(l net.Listener) context.Context {
		f.mu.Lock()
		f.listener = l
		f.mu.Unlock()
		close(f.began)
		if baseContext != nil {
			return baseContext(l)
		}
		return context.Background()
	}
	f.Server.ConnState = func(c net.Conn, state http.ConnState) {
		f.track(c, state)
		if hook != nil {
			hook(c, state)
		}
	}
}

// init creates the channels once, for Attach may be called within Run.
func (f *Finisher) init() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns == nil {
		f.conns = make(map[net.Conn]connState)
		f.began, f.ended = make(chan struct{}), make(chan struct{})
	}
}

// Run calls serve, which must serve until the listener is closed. Call it once.
func (f *Finisher) Run(serve func()) {
	f.init()
	defer close(f.ended)
	serve()
}

// track records a change of a connection's state.
func (f *Finisher) track(c net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	f.conns[c] = connState{state: state, since: time.Now()}
}

// Finished reports whether Finish was called, so that an error of Serve is the expected end.
func (f *Finisher) Finished() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished
}

// Finish takes the connections that callers have opened, closes the listening socket, and returns when all requests on open
// connections are answered and the connections are closed. When ctx ends, it cuts off what is left and returns the error of
// ctx.
func (f *Finisher) Finish(ctx context.Context) error {
	f.mu.Lock()
	f.finished = true
	f.mu.Unlock()
	select {
	case <-f.began:
		f.closeListener(ctx)
	case <-f.ended:
	case <-ctx.Done():
	}
	select { // the last accepted connection is tracked before the server ends
	case <-f.ended:
	case <-ctx.Done():
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for f.closeQuiet(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			_ = f.Server.Close()
			return ctx.Err()
		case <-t.C:
		}
	}
	return f.Server.Shutdown(ctx)
}

// CloseConns closes the connections for which due returns true. Since is when the connection entered the state.
func (f *Finisher) CloseConns(due func(state http.ConnState, since time.Time) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		if due(s.state, s.since) {
			_ = c.Close()
		}
	}
}

// closeListener closes the listening socket of the server.
func (f *Finisher) closeListener(ctx context.Context) {
	f.mu.Lock()
	l := f.listener
	f.mu.Unlock()
	CloseListener(ctx, l)
}

// wait waits for the duration or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// closeQuiet closes the connections that wait for a request and returns how many others are open. A connection on which a
// request has begun to arrive is served.
func (f *Finisher) closeQuiet(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for c, s := range f.conns {
		quiet := s.state == http.StateIdle && !hasData(c) ||
			s.state == http.StateNew && now.Sub(s.since) > firstRequestTime && bytesReceived(c) == 0
		if !quiet {
			open++
			continue
		}
		_ = c.Close()
		delete(f.conns, c)
	}
	return open
}
