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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a backend began to work on.
type run struct {
	attempt, instance, target string
	at                        time.Time
	// cut is true if the backend crashed or ended while it worked on the request.
	cut bool
}

// backend is a stand-in for an application backend beside a node.
type backend struct {
	name, service, zone string
	// control is the address to which heartbeats go.
	control string
	slots   int
	// work returns how long a request takes.
	work func(target string) time.Duration
	// poison is a part of the target of requests that crash the backend; empty for none.
	poison string
	// bodyBytes is the size of an answer's body; a short text if zero.
	bodyBytes int
	// spoil reports whether the n-th answer is spoiled, and spoilHead spoils its header; they may be nil.
	spoil     func(n int64) bool
	spoilHead func(h map[string][]string)
	rec       *record

	// answers and spoiled count the answers, and those of them that were spoiled.
	busy, answers, spoiled atomic.Int64

	mu       sync.Mutex
	address  string
	instance string
	born     int64
	sequence int64
	leaving  bool
	server   *http.Server
	ended    context.Context
	end      context.CancelFunc
	runs     []*run
	crashes  []time.Time
}

// start begins a new incarnation; the address is kept from the one before.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	address := b.address
	if address == "" {
		address = freeAddress()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.address, b.instance, b.born = l.Addr().String(), fmt.Sprintf("i-%08x", rand.Uint32()), b.rec.unixMilli()
	b.sequence, b.leaving = 0, false
	b.ended, b.end = context.WithCancel(context.Background())
	b.server = &http.Server{Handler: b}
	go func(s *http.Server) { _ = s.Serve(l) }(b.server)
	b.rec.add("backend %s starts as %s at %s", b.name, b.instance, b.address)
	return nil
}

// stop ends the incarnation at once: listener, connections and running requests.
func (b *backend) stop(why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == nil {
		return
	}
	b.end()
	_ = b.server.Close()
	b.server = nil
	b.rec.add("backend %s %s ends: %s", b.name, b.instance, why)
}

// ServeHTTP answers a health check or runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	instance, leaving, ended := b.instance, b.leaving, b.ended
	b.mu.Unlock()
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", instance)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != instance {
		h.Set("Instance-Id", instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.busy.Add(1) > int64(b.slots) {
		b.busy.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.busy.Add(-1)
	_, _ = io.ReadAll(r.Body)
	rn := &run{attempt: attempt, instance: instance, target: r.RequestURI, at: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, rn)
	b.mu.Unlock()
	b.rec.add("backend %s %s runs %s %s", b.name, instance, attempt, r.RequestURI)
	if b.poison != "" && strings.Contains(r.RequestURI, b.poison) {
		b.crash()
		return
	}
	select {
	case <-time.After(b.work(r.RequestURI)):
	case <-r.Context().Done():
	case <-ended.Done():
		b.mu.Lock()
		rn.cut = true
		b.mu.Unlock()
		return
	}
	body := []byte("done " + attempt + "\n")
	if b.bodyBytes > 0 {
		body = bytes.Repeat([]byte{'x'}, b.bodyBytes)
	}
	h.Set("Server-Signature", instance+"."+attempt)
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if n := b.answers.Add(1); b.spoil != nil && b.spoil(n) {
		b.spoiled.Add(1)
		b.rec.add("backend %s spoils its answer to %s", b.name, attempt)
		b.spoilHead(h)
	}
	_, _ = w.Write(body)
}

// crash ends the incarnation and starts the next one after some seconds.
func (b *backend) crash() {
	b.mu.Lock()
	b.crashes = append(b.crashes, time.Now())
	b.mu.Unlock()
	b.stop("crashed by a request")
	time.AfterFunc(2*time.Second, func() {
		if err := b.start(); err != nil {
			b.rec.add("backend %s does not start: %v", b.name, err)
			return
		}
		b.beat()
	})
}

// heartbeat returns the next heartbeat. Its state is that of this moment, however late it is sent.
func (b *backend) heartbeat() (url string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ = json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": "ready", "sequence": b.sequence, "coldRemainingMs": 0},
	})
	return "http://" + b.control + "/hornbeamcroft/rpc?call=instances.heartbeat&of=" + b.instance, body
}

// beat sends a heartbeat unless the backend is down or leaving, and reports whether it was acknowledged.
func (b *backend) beat() bool {
	b.mu.Lock()
	silent := b.server == nil || b.leaving
	b.mu.Unlock()
	if silent {
		return false
	}
	return post(b.heartbeat())
}

// beatLoop sends heartbeats until the program ends.
func (b *backend) beatLoop() {
	const interval = 1500 * time.Millisecond
	for {
		if b.beat() {
			time.Sleep(interval)
		} else {
			time.Sleep(interval / 10)
		}
	}
}

// deregister announces that the backend leaves, until that is acknowledged. The backend goes on serving.
func (b *backend) deregister() {
	b.mu.Lock()
	b.leaving = true
	body, _ := json.Marshal(map[string]any{"born": b.born})
	url := "http://" + b.control + "/hornbeamcroft/rpc?call=instances.deregister&of=" + b.instance
	b.mu.Unlock()
	for !post(url, body) {
		time.Sleep(100 * time.Millisecond)
	}
}

// post sends a message to a node and reports whether it was acknowledged in time.
func post(url string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := freshClient().Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// freshClient returns an HTTP client that opens a connection for each request and sends no request twice.
func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// allRuns returns copies of the runs so far.
func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]run, len(b.runs))
	for i, r := range b.runs {
		list[i] = *r
	}
	return list
}
