package main

import (
	"fmt"
	"net/http"
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
	// cutAllowed is the time after SIGTERM within which a request must be sent for the platform to allow that it is cut off.
	cutAllowed = 3 * time.Second
	// longTimeout is the timeout of the routes and the deadline of the callers. It is longer than what a stop leaves.
	longTimeout = 5 * time.Second
	// longFactor makes a request of 50 to 150 ms take 2 s to 6 s.
	longFactor = 40
)

// TestWorkGrowsDuringStop guards against requests that a stopping node takes because earlier ones of their route were short, and
// cuts off: the work of each request grows after SIGTERM, and callers stay with the node.
func TestWorkGrowsDuringStop(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	n.worker.Work, n.worker.Slots = 100*time.Millisecond, 200
	n.configureLong(t)
	n.worker.Crash() // starts again with the slots above
	is.NoErr(n.worker.Start(n.worker.Address()))
	n.await(t, func() bool { return n.worker.Announce(n.announcements) == nil })
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
	for i := range 60 {
		n.send(http.MethodGet, "/get/1", fmt.Sprintf("g%d", i), longTimeout)
		n.send(http.MethodPost, "/post/1", fmt.Sprintf("p%d", i), longTimeout)
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	outcomes := make(map[string]caller.Outcome)
	begin := time.Now()
	is.NoErr(n.cmd.Process.Signal(syscall.SIGTERM))
	grown := time.AfterFunc(cutAllowed-200*time.Millisecond, func() { n.worker.SetFaults(worker.Faults{Slow: longFactor}) })
	defer grown.Stop()
	for i := 0; time.Since(begin) < longTimeout; i++ {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			callers.Go(func() {
				id, at := fmt.Sprintf("%s-%d", method, i), time.Now()
				target := map[string]string{http.MethodGet: "/get/1", http.MethodPost: "/post/1"}[method]
				o := n.send(method, target, id, longTimeout)
				mu.Lock()
				defer mu.Unlock()
				sent[id], outcomes[id] = at, o
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	late := 0
	for _, r := range n.runs {
		o, ok := outcomes[r.Attempt]
		if !ok || sent[r.Attempt].Sub(begin) <= cutAllowed || o.Complete {
			continue
		}
		late++
		t.Logf("%s, sent %d ms after SIGTERM, was run and ended %d ms after it with status %d, %v", r.Attempt,
			sent[r.Attempt].Sub(begin).Milliseconds(), o.EndedAt.Sub(begin).Milliseconds(), o.Status, o.Err)
	}
	is.Equal(late, 0) // requests that were run and cut off
}

// configureLong writes a configuration with the routes of configure and longTimeout.
func (n *node) configureLong(t *testing.T) {
	t.Helper()
	var routes []operator.Route
	for _, name := range []string{"get", "post"} {
		routes = append(routes, operator.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Service: "s", Idempotent: name == "get",
			Timeout: longTimeout, Objective: longTimeout / 4,
		})
	}
	value, err := operator.Operator{HealthPath: worker.HealthPath}.Document(1, routes)
	if err != nil {
		t.Fatal(err)
	}
	n.store.Put(storeserver.KeyConfiguration, value)
}
