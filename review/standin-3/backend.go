//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backend is one start of a backend.
type backend struct {
	w             *world
	id, service   string
	zone, address string
	born          int64
	work          time.Duration
	slots         int
	// free holds an element for each request that the backend works on, waiting counts those that wait for a slot.
	free             chan struct{}
	waiting          atomic.Int64
	server           *http.Server
	mu               sync.Mutex
	sequence         int64
	leaving, crashed bool
	// failing is the share of requests that the backend fails with status 503 after it has begun to work on them, 0 to 1.
	failing float64
	// truncating is true if the backend breaks off some of its downloads; photos counts them.
	truncating atomic.Bool
	photos     atomic.Int64
}

// fails reports whether the backend fails the next request.
func (b *backend) fails() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rand.Float64() < b.failing
}

// startBackend starts a backend at an address, which works on each request for a time, and on as many at once as it has slots.
func (w *world) startBackend(id, service, zone, address string, work time.Duration, slots int) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{w: w, id: id, service: service, zone: zone, address: address, born: w.timeOfDay(), work: work, slots: slots, free: make(chan struct{}, slots)}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	w.closers = append(w.closers, b.crash)
	w.note("backend %s of %s starts at %s, born %d", id, service, address, b.born)
	return b, nil
}

// crash ends the backend at once.
func (b *backend) crash() {
	b.mu.Lock()
	b.crashed = true
	b.mu.Unlock()
	_ = b.server.Close()
}

// ServeHTTP answers a health check or a request.
func (b *backend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Instance-Id", b.id)
	if r.URL.Path == "/health" {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	line := runLine{at: time.Now(), attempt: attempt, route: r.Method + " " + r.URL.Path, instance: b.id, service: b.service, born: b.born}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	expected := r.Header.Get("Expected-Instance")
	switch {
	case expected != "" && expected != b.id:
		b.refuse(rw, http.StatusMisdirectedRequest, line)
		return
	case attempt == "":
		b.refuse(rw, http.StatusBadRequest, line)
		return
	}
	if !b.acquire(r.Context()) {
		b.refuse(rw, http.StatusServiceUnavailable, line)
		return
	}
	defer func() { <-b.free }()
	line.at, line.ran = time.Now(), true
	b.w.arrived(line)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if b.service == "photos" {
		b.servePhoto(rw, attempt)
		return
	}
	h.Set("Server-Signature", b.id+"."+attempt)
	if b.fails() {
		b.w.note("backend %s fails %s with 503", b.id, attempt)
		h.Set("Content-Length", "0")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := "body of " + b.id + " for " + attempt
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(rw, body)
}

// refuse answers a request as not run.
func (b *backend) refuse(rw http.ResponseWriter, status int, line runLine) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
	b.w.arrived(line)
}

// heartbeat returns the next heartbeat, which can be sent at any time. It returns whether it was acknowledged.
func (b *backend) heartbeat() func(control string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.leaving {
		state = "draining"
	}
	body := map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence, "coldRemainingMs": 0},
	}
	return func(control string) bool { return b.post(control, "instances.heartbeat", body) }
}

// deregister says that the backend leaves.
func (b *backend) deregister(control string) bool {
	return b.post(control, "instances.deregister", map[string]any{"born": b.born})
}

// post sends a call to the node and returns whether it was acknowledged within a second.
func (b *backend) post(control, call string, body map[string]any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + control + "/hornbeamcroft/rpc?call=" + call + "&of=" + b.id
	r, err := c.Post(url, "application/json", bytes.NewReader(data))
	status := 0
	if err == nil {
		status = r.StatusCode
		_ = r.Body.Close()
	}
	b.w.note("backend %s, born %d, sends %s %s: status %d", b.id, b.born, strings.TrimPrefix(call, "instances."), data, status)
	return status >= 200 && status < 300
}

// beat sends heartbeats to the control address until the backend has crashed or leaves.
func (b *backend) beat(control string) {
	b.heartbeat()(control)
	b.w.repeat(1500*time.Millisecond, func() {
		b.mu.Lock()
		stopped := b.crashed || b.leaving
		b.mu.Unlock()
		if !stopped {
			b.heartbeat()(control)
		}
	})
}

// acquire waits for a slot. It returns false if as many requests wait already as there are slots, or when the context ends.
func (b *backend) acquire(ctx context.Context) bool {
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > int64(b.slots) {
		return false
	}
	select {
	case b.free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
