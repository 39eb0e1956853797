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

// Finisher ends one server. Set the exported fields, then call Attach before the server serves. Responses that are sent
// while Finish runs should have "Connection: close".
type Finisher struct {
	Server *http.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]connState
	finished bool
}

// connState is the state of a connection and the time at which the connection entered it.
type connState struct {
	state http.ConnState
	since time.Time
}

// Attach sets the hooks of the server by which the Finisher knows its listener and connections. Hooks that are set
// already are called, too.
func (f *Finisher) Attach() {
	f.conns = make(map[net.Conn]connState)
	baseContext, hook := f.Server.BaseContext, f.Server.ConnState
	f.Server.BaseContext = func(l net.Listener) context.Context {
		f.mu.Lock()
		f.listener = l
		f.mu.Unlock()
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
	l := f.listener
	f.mu.Unlock()
	if l != nil {
		f.closeListener(ctx, l)
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

// closeListener closes the listening socket once all callers that have begun a handshake are accepted. Others are refused
// as soon as it is closed.
func (f *Finisher) closeListener(ctx context.Context, l net.Listener) {
	if queue, ok := newAcceptQueue(l); ok {
		if queue.refuseHandshakes() {
			wait(ctx, handshakeTime)
		}
		for end := time.Now().Add(handshakeTime); queue.length() > 0 && time.Now().Before(end); {
			wait(ctx, pollInterval)
		}
	}
	_ = l.Close()
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

// closeQuiet closes the connections that wait for a request and returns how many others are open. A connection on which bytes
// have arrived is about to be served.
func (f *Finisher) closeQuiet(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for c, s := range f.conns {
		quiet := s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > firstRequestTime
		if !quiet || hasData(c) {
			open++
			continue
		}
		_ = c.Close()
		delete(f.conns, c)
	}
	return open
}
