package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// node is one process of the system, started with the command of the deploy file.
type node struct {
	name, service                                       string
	outbound, inbound, ready, control, metrics, appAddr string
	settings, log                                       string
	memoryMB                                            int

	cmd  *exec.Cmd
	done chan error
}

// ports are handed out once each, below the range from which the kernel takes ports for outgoing connections.
const (
	firstPort = 14000
	lastPort  = 30000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	for {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
}

// newNode writes the settings file of a node, as the template of the deploy file gives it.
func newNode(dir, name, service string, s *store) (*node, error) {
	n := &node{
		name: name, service: service, outbound: freeAddress(), inbound: freeAddress(), ready: freeAddress(),
		control: freeAddress(), metrics: freeAddress(), appAddr: freeAddress(), memoryMB: 284,
	}
	n.settings, n.log = filepath.Join(dir, name+".ini"), filepath.Join(dir, name+".log")
	text := fmt.Sprintf(`[agent]
name = %s
service = %s
zone = z
way-in = %s
links = %s
announcements = %s
readiness = %s
metrics = %s
upstream = %s
introducers =
memory-mb = %d
placement = auto
bounds = seedLagS=3,reuseAfterS=2,stabilityWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,lossSlackMs=200,configApplyMs=2000,rollbackSlackMs=250,maxStretchMs=5000,budgetRatio=0.2,budgetWindowS=10,budgetSlack=48,recoveryS=15

[platform-store]
address = %s
`, name, service, n.outbound, n.inbound, n.control, n.ready, n.metrics, n.appAddr, n.memoryMB, s.address)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process.
func (n *node) start(program string) error {
	f, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	n.cmd = exec.Command(program, "agent")
	n.cmd.Env = []string{"HORNBEAMCROFT_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = f, f
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan error, 1)
	go func(c *exec.Cmd, done chan error) { done <- c.Wait() }(n.cmd, n.done)
	return nil
}

// isReady asks the readiness address once.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/hornbeamcroft/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// kill ends the process, if it runs.
func (n *node) kill() {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
	}
}
