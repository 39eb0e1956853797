//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/portallocator"
	"hornbeamcroft/platform/standin/storeserver"
)

// bounds are those of the small deployments.
const bounds = "seedLagS=3,reuseAfterS=2,stabilityWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200," +
	"configApplyMs=2000,rollbackSlackMs=250,maxStretchMs=5000,budgetRatio=0.2,budgetWindowS=10,budgetSlack=48,recoveryS=15"

// gracePeriod is the bound graceS.
const gracePeriod = 6 * time.Second

// firstIP is the last part of the IP address of the first machine.
const firstIP = 10

// startTimeout bounds the start of the nodes.
const startTimeout = 15 * time.Second

// world is one small deployment and the record of what happened in it.
type world struct {
	program, folder string
	start           time.Time
	// startMs is the time of day at start, in Unix milliseconds.
	startMs int64

	store   storeserver.StoreServer
	storeAt string
	done    chan struct{}
	hosts   []*host
	ports   portallocator.PortAllocator
	// portNumbers are the ports of each machine.
	portNumbers []string
	closers     []func()

	mu    sync.Mutex
	lines []string
	runs  []runLine
}

// runLine is a request that a backend received. Ran is false if it was answered as not run.
type runLine struct {
	at                       time.Time
	attempt, route, instance string
	service                  string
	ran                      bool
	born                     int64
}

// timeOfDay returns the time of day in Unix milliseconds.
func (w *world) timeOfDay() int64 { return w.startMs + time.Since(w.start).Milliseconds() }

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f s  ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// writeRecord writes the lines of the record.
func (w *world) writeRecord(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
}

// arrived records a request at a backend.
func (w *world) arrived(r runLine) {
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.note("backend %s of %s gets %s %s, runs it: %t", r.instance, r.service, r.route, r.attempt, r.ran)
}

// runsSince returns the requests that ran at or after a time and match.
func (w *world) runsSince(at time.Time, match func(r runLine) bool) []runLine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []runLine
	for _, r := range w.runs {
		if r.ran && r.at.After(at) && match(r) {
			list = append(list, r)
		}
	}
	return list
}

// openStore starts the store.
func (w *world) openStore() error {
	w.ports = portallocator.PortAllocator{First: 20000, Last: 28000}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAt = l.Addr().String()
	w.done = make(chan struct{})
	server := &http.Server{Handler: &w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go w.store.Run(w.done)
	w.closers = append(w.closers, func() {
		close(w.done)
		_ = server.Close()
	})
	return nil
}

// configure writes a configuration.
func (w *world) configure(version int64, routes ...operator.Route) error {
	document, err := operator.Operator{HealthPath: "/health"}.Document(version, routes)
	if err != nil {
		return err
	}
	w.store.Put(storeserver.KeyConfiguration, document)
	w.note("configuration %d: %s", version, document)
	return nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, c := range w.closers {
		c()
	}
}

// host is one machine: a node as a process. Its backend is a stand-in that listens at appAddr.
type host struct {
	w                                                           *world
	name, service, zone                                         string
	wayIn, links, announcements, readiness, metrics, appAddress string

	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
	// seeds are the control addresses of other machines.
	seeds []string
	// backend is the one that startAll has started.
	backend *backend
}

// newHost adds a machine. Each machine has an IP address of its own, and the ports are the same on all machines.
func (w *world) newHost(name, service, zone string) (*host, error) {
	if w.portNumbers == nil {
		for range 6 {
			free, err := w.ports.Address()
			if err != nil {
				return nil, err
			}
			_, port, _ := net.SplitHostPort(free)
			w.portNumbers = append(w.portNumbers, port)
		}
	}
	h := &host{w: w, name: name, service: service, zone: zone}
	ip := fmt.Sprintf("127.0.0.%d", firstIP+len(w.hosts))
	for i, a := range []*string{&h.wayIn, &h.links, &h.announcements, &h.readiness, &h.metrics, &h.appAddress} {
		*a = net.JoinHostPort(ip, w.portNumbers[i])
	}
	var err error
	if h.log, err = os.Create(filepath.Join(w.folder, name+".log")); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, h.writeSettings()
}

// settingsPath returns the path of the settings file.
func (h *host) settingsPath() string { return filepath.Join(h.w.folder, h.name+".ini") }

// writeSettings writes the settings file as the template of the deploy file has it.
func (h *host) writeSettings() error {
	text := fmt.Sprintf("[agent]\nname = %s\nservice = %s\nzone = %s\nway-in = %s\nlinks = %s\nannouncements = %s\nreadiness = %s\n"+
		"metrics = %s\nupstream = %s\nintroducers = %s\nmemory-mb = 284\nplacement = auto\nbounds = %s\n\n[platform-store]\naddress = %s\n",
		h.name, h.service, h.zone, h.wayIn, h.links, h.announcements, h.readiness, h.metrics, h.appAddress, strings.Join(h.seeds, ","), bounds, h.w.storeAt)
	return os.WriteFile(h.settingsPath(), []byte(text), 0o644)
}

// startNode starts the process of the node.
func (h *host) startNode() error {
	cmd := exec.Command(h.w.program, "agent")
	cmd.Env = append(os.Environ(), "HORNBEAMCROFT_NODE_FILE="+h.settingsPath())
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = cmd, make(chan struct{})
	h.w.note("node %s starts as a node of %s", h.name, h.service)
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.exited)
	return nil
}

// kill kills the process of the node, if it runs.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.exited
	h.cmd = nil
}

// terminate sends SIGTERM to the node, and SIGKILL after the time that the platform leaves it.
func (h *host) terminate() {
	h.w.note("node %s gets SIGTERM", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
		h.cmd = nil
	case <-time.After(gracePeriod):
		h.kill()
	}
	h.w.note("node %s has ended", h.name)
}

// ready reports whether the node says that it is ready.
func (h *host) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.readiness + "/hornbeamcroft/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	limit := time.Now().Add(startTimeout)
	for _, h := range w.hosts {
		for !h.ready() {
			if time.Now().After(limit) {
				return errors.New(h.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// noteLog notes the lines of the node's log that have the text.
func (h *host) noteLog(text string) {
	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			h.w.note("log of node %s: %s", h.name, strings.TrimSpace(line))
		}
	}
}

// repeat calls fn at an interval until the world closes.
func (w *world) repeat(interval time.Duration, fn func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w.closers = append([]func(){cancel}, w.closers...)
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				fn()
			}
		}
	}()
}
