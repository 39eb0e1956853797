package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// silentWork is the time for which the backend works on a request. It is below the deadline and the route's timeout of 5 s.
	silentWork = 3 * time.Second
	// untilStop is the time from the requests to the SIGTERM.
	untilStop = 200 * time.Millisecond
	// lastSixth is when the last sixth of graceS = 6 begins; what is cut from then on does not count.
	lastSixth = 5 * time.Second
	deadline  = 5 * time.Second
)

// work is what the backend did with a request. The times are zero while it has not happened.
type work struct {
	began, ended time.Time
	// whole is true if the backend could send its whole answer.
	whole bool
}

// works holds the work on the requests by attempt, in the order of the runs.
type works struct {
	mu   sync.Mutex
	runs map[string][]*work
}

func (w *works) begin(attempt string) *work {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = make(map[string][]*work)
	}
	k := &work{began: time.Now()}
	w.runs[attempt] = append(w.runs[attempt], k)
	return k
}

func (w *works) end(k *work, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k.ended, k.whole = time.Now(), whole
}

// atWork reports whether the backend worked on the request at the time.
func (w *works) atWork(attempt string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.runs[attempt] {
		if !k.began.After(at) && (k.ended.IsZero() || k.ended.After(at)) {
			return true
		}
	}
	return false
}

// stopAndJudge sends SIGTERM to the node while the requests run, waits for their results and returns how many break the rule LOST: the
// node was told to stop, it had read the request and passed it on, and it broke it off while the backend was at work, before the deadline
// and the last sixth of graceS.
func stopAndJudge(f *fleet, front *node, w *works, results <-chan result, n int) int {
	time.Sleep(untilStop)
	stopped := time.Now()
	f.note("SIGTERM to %s", front.name)
	_ = front.cmd.Process.Signal(syscall.SIGTERM)
	lost := 0
	for range n {
		r := <-results
		at := r.began.Add(r.took)
		f.note("client: %s %s", r.attempt, r.line())
		own := r.complete && r.status != http.StatusOK && r.signature == ""
		incomplete := !r.complete
		early := at.Sub(stopped) < lastSixth && r.took < deadline-100*time.Millisecond
		if (own || incomplete) && early && at.After(stopped) && w.atWork(r.attempt, at) {
			lost++
			f.note("LOST: %s was broken off %d ms after the SIGTERM while its backend was at work", r.attempt, at.Sub(stopped).Milliseconds())
		}
	}
	return lost
}

// runSilentAnswer: a planned stop of the node that took the requests, while their backend is silent in the middle of its answers. Without
// TROUBLE the backend works as long, and then sends its answer at once.
func runSilentAnswer(f *fleet, trouble bool) (int, error) {
	var w works
	answer := func(b *backend, a *arrival) bool {
		if _, err := io.Copy(io.Discard, a.request.Body); err != nil {
			return false
		}
		length := 2000
		if strings.HasPrefix(a.target, "/bundle/") {
			length = 600_000
		}
		first := b.head(a, length) + strings.Repeat("x", length/2)
		second := strings.Repeat("y", length-length/2)
		if strings.HasSuffix(a.target, "/warm") {
			_, err := io.WriteString(a.conn, first+second)
			return err == nil
		}
		k := w.begin(a.attempt)
		f.note("backend: begins %s, deadline %d ms", a.attempt, a.deadlineMs)
		if trouble {
			_, _ = io.WriteString(a.conn, first)
			first = ""
		}
		time.Sleep(silentWork)
		_, err := io.WriteString(a.conn, first+second)
		w.end(k, err == nil)
		f.note("backend: ends %s, error %v", a.attempt, err)
		return err == nil
	}
	front, err := startShop(f, 0, answer)
	if err != nil {
		return failed, err
	}
	const each = 4
	results := make(chan result, 3*each)
	for i := range each {
		go func() {
			results <- send(front.outbound, http.MethodPost, shopHost, "/order/1", fmt.Sprintf("order-%d", i), deadline, []byte("one kit"))
		}()
		go func() {
			results <- send(front.outbound, http.MethodGet, shopHost, "/stock/1", fmt.Sprintf("stock-%d", i), deadline, nil)
		}()
		go func() {
			results <- send(front.outbound, http.MethodGet, shopHost, "/bundle/1", fmt.Sprintf("bundle-%d", i), deadline, nil)
		}()
	}
	return judged(f, stopAndJudge(f, front, &w, results, 3*each), 3*each)
}

// judged notes how many requests were lost and returns the exit status.
func judged(f *fleet, lost, n int) (int, error) {
	f.note("%d of %d requests lost", lost, n)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
