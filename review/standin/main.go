// Command standin plays the cases of this review: it starts nodes as processes and plays the store, the backends and the
// clients around them. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// fleet is the deployment of a case.
type fleet struct {
	dir      string
	rec      *record
	store    *store
	nodes    []*node
	clients  *requester
	trouble  bool
	routes   map[string]any
	services map[string]any
}

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases maps the name of a case to the function that plays it. The file of each case adds it.
var cases = map[string]func(f *fleet) (verdict, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD UNIX-MILLISECONDS")
		os.Exit(2)
	}
	startMilli, err := strconv.ParseInt(os.Args[3], 10, 64)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], startMilli))
}

// play plays a case and returns the exit status. The case starts at the Unix time in milliseconds.
func play(run func(f *fleet) (verdict, error), path string, startMilli int64) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f := &fleet{
		dir: dir, rec: &record{start: time.Now(), startMilli: startMilli}, trouble: os.Getenv("TROUBLE") != "0",
		routes: map[string]any{}, services: map[string]any{},
	}
	f.clients = &requester{host: "calls.example", rec: f.rec}
	v, err := run(f)
	f.end()
	status := 0
	switch {
	case err != nil:
		f.rec.add("could not run: %v", err)
		status = 2
	case v.broken:
		status = 1
	}
	f.rec.add("verdict %d: %s", status, v.summary)
	fmt.Printf("verdict %d: %s\n", status, v.summary)
	if err != nil {
		fmt.Println("could not run:", err)
	}
	if err := f.rec.write(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	return status
}

// route adds a route of the host of all clients.
func (f *fleet) route(prefix, service, kind string, priority, maxAttempts, timeoutMs, targetMs int) {
	f.routes["r"+prefix] = map[string]any{
		"host": f.clients.host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": priority, "service": service, "maxAttempts": maxAttempts,
	}
}

// begin starts the store with the configuration, the backends and their nodes, and waits until all are in use.
func (f *fleet) begin(backends ...*backend) error {
	st := startStore()
	f.store = st
	for _, b := range backends {
		f.services[b.service] = map[string]any{"healthPath": "/health", "maxConnections": 1000, "protocol": "h1", "tls": false}
	}
	config, err := json.Marshal(map[string]any{
		"version": 5, "routes": f.routes, "services": f.services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	if err != nil {
		return err
	}
	st.put("op/config", config)
	for _, b := range backends {
		b.rec = f.rec
		n, err := newNode(f.dir, filepath.Join("deploy", "agent.ini"), st, b, f.rec)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
		go b.beatLoop()
	}
	for _, n := range f.nodes {
		if !n.waitReady(10 * time.Second) {
			return fmt.Errorf("node %s is not ready after 10 s", n.name)
		}
	}
	// The nodes find each other by the store, and the rules hold for machines that have been calm for 3 s.
	time.Sleep(8 * time.Second)
	return nil
}

// end kills the nodes that still run.
func (f *fleet) end() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.running() {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.done
		}
	}
}
