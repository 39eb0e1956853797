package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const (
	routeHost = "test.example"
	// routeTimeout is the timeout of each route.
	routeTimeout = 800 * time.Millisecond
	// reactionTime bounds how long the node takes to cancel the run of a request whose caller has disconnected, and to
	// answer a request whose timeout has passed.
	reactionTime = 500 * time.Millisecond
)

// node is a node that runs as a process of its own, with an upstream and a store as stand-ins.
type node struct {
	ingress, announcements, readiness, metrics string

	store  *storeserver.StoreServer
	worker *worker.Worker
	cmd    *exec.Cmd

	// log is the path of the file with the node's output, settings that of its settings.
	log, settings string

	mu   sync.Mutex
	runs []worker.Run
	// headers holds the header fields of each request that reached the upstream, by attempt id.
	headers map[string][]http.Header
}

// startNode starts a node while the store holds no configuration.
func startNode(t *testing.T) *node {
	t.Helper()
	is := is.New(t)
	n := &node{store: &storeserver.StoreServer{}, headers: make(map[string][]http.Header)}
	server := httptest.NewServer(n.store)
	stop := make(chan struct{})
	go n.store.Run(stop)
	recordRun := func(r worker.Run) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.runs = append(n.runs, r)
	}
	n.worker = &worker.Worker{
		Service: "s", Zone: "z", Slots: 4, Work: 20 * time.Millisecond, OnRun: recordRun, OnArrival: func(worker.Run) {},
		OnHeader: n.recordHeader,
	}
	is.NoErr(n.worker.Start(freeAddress(t)))
	text := strings.Replace(agentSettings(t), "service = s\n", "", 1)
	var b strings.Builder
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " = ")
		switch name {
		case "way-in":
			n.ingress = value
		case "announcements":
			n.announcements = value
		case "readiness":
			n.readiness = value
		case "metrics":
			n.metrics = value
		case "upstream":
			line = "service = s\nupstream = " + n.worker.Address() + "\n"
		case "address":
			line = "address = " + strings.TrimPrefix(server.URL, "http://") + "\n"
		}
		b.WriteString(line)
	}
	path := filepath.Join(t.TempDir(), "agent.ini")
	is.NoErr(os.WriteFile(path, []byte(b.String()), 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "node.log"))
	is.NoErr(err)
	n.log = log.Name()
	n.settings = path
	n.cmd = exec.Command(build(t), "agent", "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	is.NoErr(n.cmd.Start())
	t.Cleanup(func() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		n.worker.Crash()
		close(stop)
		server.CloseClientConnections()
		server.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("%s", data)
		}
	})
	n.await(t, func() bool { return n.worker.Announce(n.announcements) == nil })
	return n
}

func (n *node) recordHeader(attempt string, h http.Header) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.headers[attempt] = append(n.headers[attempt], h)
}

// await fails the test unless the condition becomes true within 10 s.
func (n *node) await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true within 10 s")
		}
	}
}

// configure writes a configuration to the store that has an idempotent and a non-idempotent route.
func (n *node) configure(t *testing.T, version int) {
	t.Helper()
	var routes []operator.Route
	for name, idempotent := range map[string]bool{"get": true, "post": false} {
		routes = append(routes, operator.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Service: "s", Idempotent: idempotent,
			Timeout: routeTimeout, Objective: routeTimeout / 4,
		})
	}
	value, err := operator.Operator{HealthPath: worker.HealthPath}.Document(int64(version), routes)
	if err != nil {
		t.Fatal(err)
	}
	n.store.Put(storeserver.KeyConfiguration, value)
}

// send sends one attempt to the ingress on a connection of its own.
func (n *node) send(method, target, id string, remaining time.Duration) caller.Outcome {
	c := &caller.Caller{Address: n.ingress}
	defer c.Close()
	return c.Send(caller.Attempt{ID: id, Method: method, Host: routeHost, Target: target, Remaining: remaining})
}

// sendRaw sends the text to the ingress and returns the HTTP status of the answer, or zero if the connection ended
// without one. In the text, "ID:" and "DEADLINE:" stand for the header fields of the attempt id and the deadline, and
// each newline for CRLF.
func (n *node) sendRaw(t *testing.T, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", n.ingress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	text = strings.NewReplacer("\n", "\r\n", "ID:", caller.HeaderAttempt+":", "DEADLINE:", caller.HeaderDeadline+":").Replace(text)
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestIngress guards against wrong answers at the ingress: without a configuration, to malformed input, to requests
// that time out or whose caller disconnects, and after invalid configurations and announcements.
func TestIngress(t *testing.T) {
	n := startNode(t)
	t.Run("no configuration", func(t *testing.T) {
		is := is.New(t)
		o := n.send(http.MethodGet, "/get/1", "a0", time.Second)
		is.Equal(o.Status, http.StatusServiceUnavailable) // not 404: the store may hold such a route
		is.True(o.RetryAfter > 0)
	})
	n.configure(t, 1)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a1", time.Second).Status == http.StatusOK })
	t.Run("bad input", n.badInput)
	t.Run("bodies", n.bodies)
	t.Run("timeout", n.timeout)
	t.Run("caller disconnects", n.callerDisconnects)
	t.Run("older configuration", n.olderConfiguration)
	t.Run("invalid announcements", n.invalidAnnouncements)
}

func (n *node) badInput(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"no id":            {"GET /get/1 HTTP/1.1\nHost: test.example\n\n", 400},
		"wrong deadline":   {"GET /get/1 HTTP/1.1\nHost: test.example\nID: b\nDEADLINE: soon\n\n", 400},
		"no route":         {"GET /other/1 HTTP/1.1\nHost: test.example\nID: b\nDEADLINE: 500\n\n", 404},
		"large header":     {"GET /get/1 HTTP/1.1\nHost: test.example\nID: b\nX: " + strings.Repeat("x", operator.MaxHeaderBytes) + "\n\n", 431},
		"large body":       {"POST /post/1 HTTP/1.1\nHost: test.example\nID: b\nContent-Length: 2000000\n\n" + strings.Repeat("x", 2000000), 413},
		"no HTTP":          {"\x00\x01\x02\n\n", 400},
		"two lengths":      {"POST /post/1 HTTP/1.1\nHost: test.example\nID: b\nContent-Length: 1\nContent-Length: 2\n\nx", 400},
		"length and chunk": {"POST /post/1 HTTP/1.1\nHost: test.example\nID: b1\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\n\n", 200},
		"no time":          {"GET /get/1 HTTP/1.1\nHost: test.example\nID: b\nDEADLINE: 0\n\n", 503},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(n.sendRaw(t, c.text), c.status) })
	}
}

func (n *node) bodies(t *testing.T) {
	is := is.New(t)
	chunked := "POST /post/c HTTP/1.1\nHost: test.example\nID: c1\nDEADLINE: 900\nTransfer-Encoding: chunked\n\n" +
		"5\nfirst\n6\nsecond\n0\n\n"
	is.Equal(n.sendRaw(t, chunked), http.StatusOK)
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.runs[len(n.runs)-1]
	is.Equal(last.Body, "firstsecond")
	is.Equal(last.Attempt, "c1")
	is.Equal(last.Origin, "s")
}

func (n *node) timeout(t *testing.T) {
	is := is.New(t)
	n.worker.SetFaults(worker.Faults{Slow: 1000})
	defer n.worker.SetFaults(worker.Faults{})
	begin := time.Now()
	o := n.send(http.MethodPost, "/post/1", "d1", 5*time.Second)
	is.Equal(o.Status, http.StatusGatewayTimeout) // not 503: the request may have run
	is.True(time.Since(begin) < routeTimeout+reactionTime)
}

func (n *node) callerDisconnects(t *testing.T) {
	is := is.New(t)
	n.worker.SetFaults(worker.Faults{Slow: 1000})
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ingress+"/get/1", nil)
	is.NoErr(err)
	r.Host = routeHost
	r.Header.Set(caller.HeaderAttempt, "e1")
	r.Header.Set(caller.HeaderDeadline, "5000")
	resp, err := (&http.Transport{}).RoundTrip(r)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
	time.Sleep(reactionTime)
	is.Equal(n.worker.Busy(), 0) // the upstream no longer runs the request
	n.worker.SetFaults(worker.Faults{})
}

func (n *node) olderConfiguration(t *testing.T) {
	is := is.New(t)
	n.store.Put(storeserver.KeyConfiguration, []byte(`{"version":0,"routes":{}}`))
	n.store.Put(storeserver.KeyConfiguration, []byte(`no document`))
	time.Sleep(reactionTime)
	is.Equal(n.send(http.MethodGet, "/get/1", "f1", time.Second).Status, http.StatusOK)
}

func (n *node) invalidAnnouncements(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"", "{", `{"status":{"state":"asleep","sequence":9}}`, `[]`} {
		resp, err := http.Post("http://"+n.announcements+worker.PathHeartbeat+"x", "application/json",
			strings.NewReader(body))
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
	}
	is.Equal(n.send(http.MethodGet, "/get/1", "g1", time.Second).Status, http.StatusOK)
}

// TestStop guards against a planned stop that interrupts requests or runs requests that it has refused, and against one
// that takes longer than the platform's grace period. The store does not answer, and the upstream is slow.
func TestStop(t *testing.T) {
	const gracePeriod = 6 * time.Second
	is := is.New(t)
	n := startNode(t)
	n.configure(t, 1)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a1", time.Second).Status == http.StatusOK })
	n.store.SetFaults(storeserver.Faults{Silent: true})
	n.worker.SetFaults(worker.Faults{Slow: 20}) // a request takes 0.2 s to 0.6 s
	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []caller.Outcome
	begin := time.Now()
	is.NoErr(n.cmd.Process.Signal(syscall.SIGTERM))
	for i := range 3 {
		clients.Go(func() {
			c := &caller.Caller{Address: n.ingress}
			defer c.Close()
			for j := 0; time.Since(begin) < gracePeriod; j++ {
				o := c.Send(caller.Attempt{
					ID: fmt.Sprintf("s%d-%d", i, j), Method: http.MethodPost, Host: routeHost, Target: "/post/1",
					Remaining: 2 * time.Second,
				})
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				if o.Err != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	is.NoErr(n.cmd.Wait())
	is.True(time.Since(begin) < gracePeriod)
	clients.Wait()
	runs := make(map[string]int)
	n.mu.Lock()
	for _, r := range n.runs {
		runs[r.Attempt]++
	}
	n.mu.Unlock()
	served, refused := 0, 0
	for _, o := range outcomes {
		switch {
		case o.Status == http.StatusOK:
			served++
		case o.PromisesNotRun():
			refused++
			is.Equal(runs[o.Attempt.ID], 0)
		case o.Err != nil && runs[o.Attempt.ID] > 0:
			t.Errorf("%s ran, but its connection ended without an answer: %v", o.Attempt.ID, o.Err)
		}
	}
	t.Logf("%d served, %d refused", served, refused)
	is.True(served > 10)
}
