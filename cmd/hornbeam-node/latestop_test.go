package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/worker"
)

// lateStopSeed is the seed of TestLateInStop.
var lateStopSeed = flag.Uint64("late-stop-seed", 1, "seed of TestLateInStop")

const (
	// lateCallers is the number of callers, who stay with the node that stops.
	lateCallers = 40
	// grace is the time from SIGTERM to SIGKILL, graceEnd the part of it in whose last sixth an upstream may still be at work on a request
	// that was sent within cutAllowed.
	grace    = 6 * time.Second
	graceEnd = grace - grace/6
	// closeSlack is the time in which the end of a connection may cross a request on it.
	closeSlack = 300 * time.Millisecond
	// roundTrip is the time that a request and its answer need besides the work, and by which an answer at the deadline may be early.
	roundTrip = 50 * time.Millisecond
)

// lateRequest is a request of a caller and what came of it. Work is the time that the upstream needs for it.
type lateRequest struct {
	work    time.Duration
	outcome caller.Outcome
}

// TestLateInStop guards against requests that a stopping node takes and passes on to another host, and ends without the answer of the
// upstream although neither their deadline nor the time until SIGKILL requires it. The callers keep their connections. Requests before
// SIGTERM are short; a third of those that are sent later than a time after it need up to 4 s, with deadlines of 0.5 to 6 s.
func TestLateInStop(t *testing.T) {
	for _, longFrom := range []time.Duration{0, cutAllowed - 200*time.Millisecond} {
		t.Run(longFrom.String(), func(t *testing.T) {
			t.Parallel()
			stopLate(t, longFrom)
		})
	}
}

// stopLate plays one case of TestLateInStop.
func stopLate(t *testing.T, longFrom time.Duration) {
	t.Helper()
	is := is.New(t)
	var mu sync.Mutex
	runs := make(map[string]time.Time)
	w := &worker.Worker{
		Service: "s", Zone: "z", Slots: 200, OnArrival: func(worker.Run) {},
		OnRun: func(r worker.Run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.Attempt] = r.At
		},
		WorkOf: func(target string) time.Duration {
			ms, _ := strconv.Atoi(target[strings.LastIndex(target, "/")+1:])
			return time.Duration(ms) * time.Millisecond
		},
	}
	var routes []operator.Route
	for _, name := range []string{"get", "post"} {
		routes = append(routes, operator.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Service: "s", Idempotent: name == "get",
			Timeout: longTimeout, Objective: longTimeout / 4,
		})
	}
	n, _ := startHops(t, w, routes)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
	for i := range 60 {
		n.send(http.MethodGet, "/get/50", fmt.Sprintf("g%d", i), longTimeout)
		n.send(http.MethodPost, "/post/50", fmt.Sprintf("p%d", i), longTimeout)
	}
	begin := time.Now()
	is.NoErr(n.cmd.Process.Signal(syscall.SIGTERM))
	var callers sync.WaitGroup
	var requests []lateRequest
	for i := range lateCallers {
		callers.Go(func() {
			list := sendLate(n.ingress, i, begin, longFrom)
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, list...)
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	statuses := make(map[int]int)
	for _, r := range requests {
		statuses[r.outcome.Status]++
		if reason := r.fault(begin, runs[r.outcome.Attempt.ID]); reason != "" {
			o := r.outcome
			t.Errorf("%s %s, sent %s after SIGTERM, needs %s, deadline %s, ended %s after SIGTERM with status %d, %v: %s", o.Attempt.ID, o.Attempt.Target,
				o.SentAt.Sub(begin), r.work, o.Attempt.Remaining, o.EndedAt.Sub(begin), o.Status, o.Err, reason)
		}
	}
	t.Logf("%d requests, answers by status: %v", len(requests), statuses)
}

// sendLate sends requests one after the other on a connection that is kept, until the process is gone.
func sendLate(address string, number int, begin time.Time, longFrom time.Duration) []lateRequest {
	rnd := rand.New(rand.NewPCG(*lateStopSeed, uint64(number)))
	c := &caller.Caller{Address: address}
	defer c.Close()
	var list []lateRequest
	for i := 0; time.Since(begin) < grace; i++ {
		work := time.Duration(50+rnd.IntN(200)) * time.Millisecond
		if rnd.IntN(3) == 0 && time.Since(begin) >= longFrom {
			work = time.Duration(50+rnd.IntN(3950)) * time.Millisecond
		}
		route, method := "get", http.MethodGet
		if rnd.IntN(2) == 0 {
			route, method = "post", http.MethodPost
		}
		o := c.Send(caller.Attempt{
			ID: fmt.Sprintf("late-%d-%d", number, i), Method: method, Host: routeHost,
			Target: fmt.Sprintf("/%s/%d", route, work.Milliseconds()), Remaining: time.Duration(500+rnd.IntN(5500)) * time.Millisecond,
		})
		list = append(list, lateRequest{work: work, outcome: o})
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	}
	return list
}

// fault returns what is wrong with the end of the request, which the upstream began to run at the time ranAt if that is not zero.
func (r lateRequest) fault(begin, ranAt time.Time) string {
	o := r.outcome
	limit := min(o.Attempt.Remaining, longTimeout)
	inTime := !o.SentAt.IsZero() && o.EndedAt.Sub(o.SentAt) < limit-roundTrip
	switch {
	case o.SentAt.IsZero() || o.Complete || !inTime:
		return ""
	case ranAt.IsZero() && o.Err != nil && o.EndedAt.Sub(o.SentAt) > closeSlack:
		return "the connection ended without an answer"
	case ranAt.IsZero():
		return ""
	case o.PromisesNotRun():
		return "it was run and the answer promises that it was not"
	case o.SentAt.Sub(begin) <= cutAllowed && ranAt.Add(r.work).Sub(begin) > graceEnd:
		return ""
	}
	return "it was run and not answered"
}
