// Package hoster runs one host of the soak: a node as a separate process, a stand-in of its upstream, and proxies. The
// proxies forward the node's connections to the store, the links of other nodes to the node, and the node's connections
// to the upstream.
package hoster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/proxier"
	"hornbeamcroft/platform/standin/portallocator"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// StopGracePeriod is the time from SIGTERM to SIGKILL.
	StopGracePeriod = 6 * time.Second
	// DrainGrace is how long a draining upstream may still receive requests after the node has acknowledged its
	// announcement.
	DrainGrace = 2 * time.Second
	// HeartbeatInterval is the time between two heartbeats of an upstream.
	HeartbeatInterval = 500 * time.Millisecond
	// MemoryMB is the memory limit in the settings of the node.
	MemoryMB = 256
	// nodeProcessors limits the processors that a node uses, so that many nodes run on one machine.
	nodeProcessors = "GOMAXPROCS=2"
)

// Hoster is one host. Set the exported fields before Open.
type Hoster struct {
	Name, Program, Folder string
	Worker                *worker.Worker
	// Store is the address of the store.
	Store string
	// Settings are lines that are added to the section [agent] of the settings.
	Settings string
	// OnExit is called each time that the process has exited. requested is true if Stop, Kill, Close or a SIGTERM or
	// SIGKILL sent by Signal caused the exit.
	OnExit func(name string, requested bool, err error)

	Ingress, Announcements, Readiness, Metrics, links string

	// StoreProxy, LinkProxy and UpstreamProxy carry the node's connections to the store, the links of other nodes to
	// the node, and the node's connections to its upstream.
	StoreProxy, LinkProxy, UpstreamProxy *proxier.Proxier

	log *os.File

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	stopRequested bool
	startCount    int
}

// Open starts the upstream and the proxies, and writes the settings file of the node.
func (h *Hoster) Open() error {
	var upstream string
	for _, address := range []*string{&upstream, &h.Ingress, &h.Announcements, &h.Readiness, &h.Metrics, &h.links} {
		free, err := ports.Address()
		if err != nil {
			return err
		}
		*address = free
	}
	if err := h.Worker.Start(upstream); err != nil {
		return err
	}
	h.StoreProxy = &proxier.Proxier{Target: h.Store}
	h.LinkProxy = &proxier.Proxier{Target: h.links}
	h.UpstreamProxy = &proxier.Proxier{Target: h.Worker.Address()}
	for _, p := range h.Proxies() {
		if err := p.Open(); err != nil {
			return err
		}
	}
	h.Worker.Announced = h.UpstreamProxy.Address()
	var err error
	if h.log, err = os.Create(filepath.Join(h.Folder, h.Name+".log")); err != nil {
		return err
	}
	return os.WriteFile(h.settingsPath(), []byte(h.settingsText()), 0o600)
}

// Proxies returns all proxies of the host.
func (h *Hoster) Proxies() []*proxier.Proxier {
	return []*proxier.Proxier{h.StoreProxy, h.LinkProxy, h.UpstreamProxy}
}

// ports are above the range of ephemeral ports. The fleets of other tests use ports below that range.
var ports = portallocator.PortAllocator{First: 61000, Last: 65500}

// LogTail returns the last 600 bytes of the node's log.
func (h *Hoster) LogTail() string {
	const maxBytes = 600
	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}

func (h *Hoster) settingsPath() string { return filepath.Join(h.Folder, h.Name+".ini") }

func (h *Hoster) settingsText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[agent]\nname = %s\nservice = %s\nzone = %s\n", h.Name, h.Worker.Service, h.Worker.Zone)
	fmt.Fprintf(&b, "way-in = %s\nlinks = %s\nlinks-announced = %s\n", h.Ingress, h.links, h.LinkProxy.Address())
	fmt.Fprintf(&b, "announcements = %s\nreadiness = %s\nmetrics = %s\n", h.Announcements, h.Readiness, h.Metrics)
	fmt.Fprintf(&b, "upstream = %s\nmemory-mb = %d\n%s", h.UpstreamProxy.Address(), MemoryMB, h.Settings)
	fmt.Fprintf(&b, "[platform-store]\naddress = %s\n", h.StoreProxy.Address())
	return b.String()
}

// Start starts the process of the node.
func (h *Hoster) Start() error {
	cmd := exec.Command(h.Program, "agent", "--settings", h.settingsPath())
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.Env = append(os.Environ(), nodeProcessors)
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.stopRequested = cmd, exited, false
	h.startCount++
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		requested := h.stopRequested
		h.mu.Unlock()
		close(exited)
		h.OnExit(h.Name, requested, err)
	}()
	return nil
}

// StartCount returns the number of starts of the node. Callers use it to detect that the node was restarted between two
// observations, which then are not comparable.
func (h *Hoster) StartCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startCount
}

// ResidentKB returns the resident memory of the process of the node, or 0 if it does not run.
func (h *Hoster) ResidentKB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, _ := strconv.Atoi(kb) // an ended process that nobody has waited for has no such line
	return n
}

// Signal sends a signal to the process of the node.
func (h *Hoster) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.stopRequested = true
	}
	// The error is ignored: the process may have exited already.
	_ = h.cmd.Process.Signal(s)
}

// Stop sends SIGTERM to the node, and SIGKILL if the node has not exited after StopGracePeriod. It reports whether the
// node exited within that period.
func (h *Hoster) Stop() bool {
	h.Signal(syscall.SIGTERM)
	return h.awaitExit(StopGracePeriod)
}

// Kill kills the node and waits until it has exited.
func (h *Hoster) Kill() { h.awaitExit(0) }

// awaitExit waits until the process has exited, and kills it after the limit. It reports whether the process exited
// within the limit.
func (h *Hoster) awaitExit(limit time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-exited:
		return true
	case <-t.C:
	}
	h.Signal(syscall.SIGKILL)
	<-exited
	return false
}

// Close kills the node and stops the upstream and the proxies.
func (h *Hoster) Close() {
	h.Signal(syscall.SIGCONT)
	h.Kill()
	h.Worker.Crash()
	for _, p := range h.Proxies() {
		p.Close()
	}
	_ = h.log.Close()
}
