package main

import (
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the site sheets give them.
const bounds = "seedLagS=3,reuseAfterS=2,stabilityWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200," +
	"configApplyMs=2000,rollbackSlackMs=250,maxStretchMs=5000,budgetRatio=0.2,budgetWindowS=10,budgetSlack=48,recoveryS=15"

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 6 * time.Second

// node is a process of the project's program with the backend beside it.
type node struct {
	name, zone string
	backend    *backend
	// ingress and ready are the addresses for clients and for the platform's readiness questions.
	ingress, ready string
	settings, log  string
	rec            *record

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// disturbed is when the process was last killed, told to stop or started again.
	disturbed time.Time
}

// Ports are taken from below the range from which the kernel picks the ports of outgoing connections, so that none of these takes a
// port before its process listens on it.
const (
	firstPort = 12000
	portCount = 20000
)

// listen listens on a loopback address with a free port.
func listen() net.Listener {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(firstPort+rand.IntN(portCount)))
		if err == nil {
			return l
		}
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l := listen()
	defer l.Close()
	return l.Addr().String()
}

// newNode starts the backend and writes the settings of its node, by the template of the deploy file.
func newNode(dir, template string, st *store, b *backend, rec *record) (*node, error) {
	b.control = freeAddress()
	if err := b.start(); err != nil {
		return nil, err
	}
	n := &node{
		name: b.name, zone: b.zone, backend: b, ingress: freeAddress(), ready: freeAddress(), rec: rec,
		settings: filepath.Join(dir, b.name+".ini"), log: filepath.Join(dir, b.name+".log"),
	}
	_, metricsPort, _ := net.SplitHostPort(freeAddress())
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	filled := regexp.MustCompile(`\{\{#bounds\}\}.*\{\{/bounds\}\}`).ReplaceAllString(string(text), bounds)
	filled = strings.NewReplacer(
		"{{nodeName}}", n.name, "{{service}}", b.service, "{{zone}}", n.zone, "{{listen.outbound}}", n.ingress,
		"{{listen.inbound}}", freeAddress(), "{{listen.control}}", b.control, "{{listen.ready}}", n.ready,
		"{{ip}}", "127.0.0.1", "{{internalPorts.0}}", metricsPort, "{{appAddr}}", b.address, "{{seedNodes}}", "",
		"{{limits.memoryMb}}", "284", "{{platform.address}}", st.address,
	).Replace(filled)
	return n, os.WriteFile(n.settings, []byte(filled), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	logFile, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("target/hornbeam-node", "agent")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMCROFT_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		n.rec.add("node %s process %d ended: %v", n.name, cmd.Process.Pid, err)
		close(done)
	}()
	n.mu.Lock()
	n.cmd, n.done, n.disturbed = cmd, done, time.Now()
	n.mu.Unlock()
	n.rec.add("node %s starts as process %d", n.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.disturbed = time.Now()
	n.mu.Unlock()
	n.rec.add("node %s gets signal %s", n.name, s)
	_ = cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	<-done
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after graceTime.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceTime):
		n.kill()
	}
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// isReady asks the node the platform's readiness question.
func (n *node) isReady() bool {
	c := freshClient()
	c.Timeout = time.Second
	resp, err := c.Get("http://" + n.ready + "/hornbeamcroft/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// waitReady waits until the node is ready.
func (n *node) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}
