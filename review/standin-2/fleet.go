package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// fleet is a small deployment: a store, nodes with their backends, and the record of a case.
type fleet struct {
	program string
	dir     string
	store   *store
	nodes   []*node
	// backends are closed with the fleet.
	backends []*backend
	version  int

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// route is a route of the operator's configuration.
type route struct {
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	TargetMs    int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

// newFleet starts a store and opens the record.
func newFleet(caseDir, program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, dir: dir, began: time.Now()}
	if f.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return nil, err
	}
	f.store, err = startStore()
	return f, err
}

// note writes a line with the time since the start to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%7d ms  %s\n", time.Since(f.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// configure writes a configuration, as the operator does.
func (f *fleet) configure(routes map[string]route, services []string) {
	f.version += 3
	table := map[string]any{}
	for _, s := range services {
		table[s] = map[string]any{"healthPath": "/health", "maxConnections": 500, "protocol": "h1", "tls": false}
	}
	text, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": table,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.store.Put("op/config", base64.StdEncoding.EncodeToString(text))
}

// addNode starts a node.
func (f *fleet) addNode(name, service string) (*node, error) {
	n, err := newNode(f.dir, name, service, f.store)
	if err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, n.start(f.program)
}

// awaitReady waits until all nodes are ready, or 15 s.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// awaitServed sends requests of the target until one is served, or 15 s.
func (f *fleet) awaitServed(n *node, method, host, target string) error {
	end := time.Now().Add(15 * time.Second)
	for i := 0; ; i++ {
		r := send(n.outbound, method, host, target, fmt.Sprintf("warm-%s-%d", n.name, i), 2*time.Second, nil)
		if r.status == 200 && r.complete {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no request is served at %s: %s", n.name, r.line())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// close ends all processes that the fleet started and removes its folder.
func (f *fleet) close() {
	for _, b := range f.backends {
		b.close()
	}
	for _, n := range f.nodes {
		n.kill()
	}
	for _, n := range f.nodes {
		if n.done != nil {
			<-n.done
		}
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}
