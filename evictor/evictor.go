// Package evictor bounds the connections of a net/http server. When there are too many, it closes the one that has been without a
// complete request longest.
package evictor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Evictor bounds the connections of one server. Set the exported fields and call Attach before the server serves. Handlers must be
// wrapped with Wrap: others never count as being served, so that their connections may be closed.
type Evictor struct {
	// MaxConns bounds the connections that are not taken over by a handler.
	MaxConns int
	// MaxBody is the maximum size of the body of a request in bytes.
	MaxBody int64
	// OnEvict is called when a connection is closed for others; it may be nil.
	OnEvict func()

	mu    sync.Mutex
	conns map[net.Conn]*entry
}

// entry is one connection. The mutex of the Evictor guards it.
type entry struct {
	// since is when the connection was opened or its last request was answered.
	since time.Time
	// idle is true between two requests, serving while a request that was read runs.
	idle, serving bool
}

// entryKey is the key of a connection's entry in the context of its requests.
type entryKey struct{}

// Attach sets the hooks of the server. Hooks that are set already are called, too.
func (v *Evictor) Attach(s *http.Server) {
	v.conns = make(map[net.Conn]*entry)
	connContext, connState := s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		e := &entry{since: time.Now()}
		v.mu.Lock()
		v.conns[c] = e
		v.mu.Unlock()
		ctx = context.WithValue(ctx, entryKey{}, e)
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		v.recordState(c, state)
		if connState != nil {
			connState(c, state)
		}
	}
}

// recordState records a change of a connection's state.
func (v *Evictor) recordState(c net.Conn, state http.ConnState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.conns[c]
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		if len(v.conns) > v.MaxConns {
			v.evict(c)
		}
	case http.StateActive:
		e.idle = false
	case http.StateIdle:
		e.idle, e.since = true, time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(v.conns, c)
	}
}

// evict closes the connection that has been without a complete request longest or, if there is none, the one that has been idle
// longest; the new connection if requests run on all others.
func (v *Evictor) evict(opened net.Conn) {
	victim := opened
	for c, e := range v.conns {
		if !e.serving && c != opened && (victim == opened || e.before(v.conns[victim])) {
			victim = c
		}
	}
	_ = victim.Close()
	delete(v.conns, victim)
	if v.OnEvict != nil {
		v.OnEvict()
	}
}

// before reports whether the connection is closed before the other one.
func (e *entry) before(other *entry) bool {
	if e.idle != other.idle {
		return other.idle
	}
	return e.since.Before(other.since)
}

// Wrap returns a handler that reads the body of a request, up to its limit, before it calls next. From then on the connection is not
// closed for others.
func (v *Evictor) Wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, v.MaxBody))
			if err != nil {
				refuse(w, err)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		if e, ok := r.Context().Value(entryKey{}).(*entry); ok {
			v.setServing(e, true)
			defer v.setServing(e, false)
		}
		next(w, r)
	}
}

// refuse answers a request whose body could not be read.
func refuse(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(status), status)
}

func (v *Evictor) setServing(e *entry, serving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e.serving = serving
}
