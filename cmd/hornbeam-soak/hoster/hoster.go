// Package hoster runs one host of the soak: a node as a process of its own, an upstream stand-in beside it, and proxies on
// the node's connections.
package hoster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/proxier"
	"hornbeamcroft/platform/standin/portallocator"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// StopTime is the time from SIGTERM to SIGKILL.
	StopTime = 6 * time.Second
	// DrainTime is how long a leaving upstream may still get requests after its announcement was acknowledged.
	DrainTime = 2 * time.Second
	// HeartbeatTime is the time between two announcements of an upstream.
	HeartbeatTime = 500 * time.Millisecond
	// memoryMB is the memory limit that the node is told.
	memoryMB = 256
	// nodesAtOnce keeps the processors of a node few, so that many nodes run on one machine.
	nodesAtOnce = "GOMAXPROCS=2"
)

// Hoster is one host. Set the exported fields before Open.
type Hoster struct {
	Name, Program, Folder string
	Worker                *worker.Worker
	// Store is the address of the store.
	Store string
	// Settings are further lines of the settings.
	Settings string
	// OnExit is told of each end of the process, and whether it was asked for.
	OnExit func(name string, asked bool, err error)

	Ingress, Announcements, Readiness, Metrics, links string

	// ToStore, ToNode and ToUpstream disturb the node's connections to the store, those of other nodes to it, and those
	// to its upstream.
	ToStore, ToNode, ToUpstream *proxier.Proxier

	log *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	starts  int
}

// Open starts the upstream and the proxies, and writes the settings.
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
	h.ToStore = &proxier.Proxier{Target: h.Store}
	h.ToNode = &proxier.Proxier{Target: h.links}
	h.ToUpstream = &proxier.Proxier{Target: h.Worker.Address()}
	for _, p := range h.Proxies() {
		if err := p.Open(); err != nil {
			return err
		}
	}
	h.Worker.Announced = h.ToUpstream.Address()
	var err error
	if h.log, err = os.Create(filepath.Join(h.Folder, h.Name+".log")); err != nil {
		return err
	}
	return os.WriteFile(h.settingsPath(), []byte(h.text()), 0o600)
}

// Proxies returns all proxies of the host.
func (h *Hoster) Proxies() []*proxier.Proxier {
	return []*proxier.Proxier{h.ToStore, h.ToNode, h.ToUpstream}
}

// ports are above those of outgoing connections; the fleets of other tests take theirs below.
var ports = portallocator.PortAllocator{First: 61000, Last: 65500}

// LogEnd returns the last bytes of the node's log.
func (h *Hoster) LogEnd() string {
	const most = 600
	data, err := os.ReadFile(h.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-most):])
}

func (h *Hoster) settingsPath() string { return filepath.Join(h.Folder, h.Name+".ini") }

func (h *Hoster) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[agent]\nname = %s\nservice = %s\nzone = %s\n", h.Name, h.Worker.Service, h.Worker.Zone)
	fmt.Fprintf(&b, "way-in = %s\nlinks = %s\nlinks-announced = %s\n", h.Ingress, h.links, h.ToNode.Address())
	fmt.Fprintf(&b, "announcements = %s\nreadiness = %s\nmetrics = %s\n", h.Announcements, h.Readiness, h.Metrics)
	fmt.Fprintf(&b, "upstream = %s\nmemory-mb = %d\n%s", h.ToUpstream.Address(), memoryMB, h.Settings)
	fmt.Fprintf(&b, "[platform-store]\naddress = %s\n", h.ToStore.Address())
	return b.String()
}

// Start starts the node.
func (h *Hoster) Start() error {
	cmd := exec.Command(h.Program, "agent", "--settings", h.settingsPath())
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.Env = append(os.Environ(), nodesAtOnce)
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended, h.stopped = cmd, ended, false
	h.starts++
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		asked := h.stopped
		h.mu.Unlock()
		close(ended)
		h.OnExit(h.Name, asked, err)
	}()
	return nil
}

// Starts returns how often the node was started; requests of two starts are not compared.
func (h *Hoster) Starts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// Signal sends a signal to the node.
func (h *Hoster) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.stopped = true
	}
	// A process that has ended meanwhile needs no signal.
	_ = h.cmd.Process.Signal(s)
}

// Stop asks the node to stop, and kills it when its time is over. It returns whether it ended in time.
func (h *Hoster) Stop() bool {
	h.Signal(syscall.SIGTERM)
	return h.await(StopTime)
}

// Kill ends the node at once.
func (h *Hoster) Kill() { h.await(0) }

// await waits for the end of the process and kills it after the time.
func (h *Hoster) await(limit time.Duration) bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-t.C:
	}
	h.Signal(syscall.SIGKILL)
	<-ended
	return false
}

// Close ends everything on the host.
func (h *Hoster) Close() {
	h.Signal(syscall.SIGCONT)
	h.Kill()
	h.Worker.Crash()
	for _, p := range h.Proxies() {
		p.Close()
	}
	_ = h.log.Close()
}
