package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/worker"
)

const (
	// statedLimit is the number of requests per second that the upstream states, limitWindow the time over which its
	// arrivals are counted, and limitSettle the time from the first statement until the limit must be kept.
	statedLimit = 10
	limitWindow = 4 * time.Second
	limitSettle = 500 * time.Millisecond
	// limitFactor times the limit, plus limitAllowance requests, may arrive in a window.
	limitFactor    = 1.5
	limitAllowance = 5
)

// TestLimitOfUpstreamExceeded guards against an upstream that gets more requests than it states to take, summed over all callers.
func TestLimitOfUpstreamExceeded(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	n.passOn(t, worker.Faults{RateLimit: statedLimit})
	from := time.Now().Add(limitSettle)
	var callers sync.WaitGroup
	for c := range 4 {
		callers.Go(func() {
			for i := 0; time.Since(from) < limitWindow; i++ {
				n.send(http.MethodGet, "/get/1", fmt.Sprintf("c%d-%d", c, i), time.Second)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	arrived := n.runsBetween(from, from.Add(limitWindow))
	t.Logf("%d requests arrived in %s", arrived, limitWindow)
	is.True(float64(arrived) <= limitFactor*statedLimit*limitWindow.Seconds()+limitAllowance)
	is.True(float64(arrived) >= 0.8*statedLimit*limitWindow.Seconds()) // the limit is used

	n.worker.SetFaults(worker.Faults{})
	n.await(t, func() bool {
		before := time.Now()
		for i := range 20 {
			n.send(http.MethodGet, "/get/1", fmt.Sprintf("d%d-%d", before.UnixNano(), i), time.Second)
		}
		return time.Since(before) < time.Second // 20 requests of 10 to 30 ms, as without a limit
	})
}

// passOn waits until the node serves requests, and lets it pass on one answer with the faults of the upstream.
func (n *node) passOn(t *testing.T, f worker.Faults) {
	t.Helper()
	n.configure(t, 1)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
	n.worker.SetFaults(f)
	is.New(t).Equal(n.send(http.MethodGet, "/get/1", "b", time.Second).Status, http.StatusOK)
}

// runsBetween returns the number of requests that the upstream ran between the times.
func (n *node) runsBetween(from, to time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.runs {
		if r.At.After(from) && r.At.Before(to) {
			count++
		}
	}
	return count
}
