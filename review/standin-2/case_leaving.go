package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is drainMs, and stability stabilityWindowMs.
	drainTime = 2 * time.Second
	stability = 3 * time.Second
	// outage is how long the store is down; the site has 4.5 s.
	outage = 4500 * time.Millisecond
	// servesOn is how long the backend that leaves goes on serving after the acknowledgement.
	servesOn = 15 * time.Second
	// late is how late the heartbeat comes that the backend sent before it left.
	late = 4 * time.Second
)

// runLeaving: a backend leaves while the store is down, its node acknowledges that, and then all processes of the system are killed at the
// same moment and started again. A heartbeat that the backend sent before comes late. Without TROUBLE the store is up and nothing is killed.
func runLeaving(f *fleet, trouble bool) (int, error) {
	type arrived struct {
		attempt string
		at      time.Time
	}
	var mu sync.Mutex
	var arrivals []arrived
	var leaving, gone atomic.Bool
	answer := func(b *backend, a *arrival) bool {
		if _, err := io.Copy(io.Discard, a.request.Body); err != nil {
			return false
		}
		if b.id == "i-leaver" {
			mu.Lock()
			arrivals = append(arrivals, arrived{a.attempt, time.Now()})
			mu.Unlock()
		}
		time.Sleep(80 * time.Millisecond)
		if b.id == "i-leaver" && gone.Load() {
			return false // the process has exited
		}
		_, err := io.WriteString(a.conn, b.head(a, 500)+strings.Repeat("x", 500))
		return err == nil
	}
	f.configure(map[string]route{
		"order": {Host: shopHost, Prefix: "/order/", Kind: "non_idempotent", TimeoutMs: 5000, TargetMs: 1500, Service: "orders", MaxAttempts: 2},
	}, []string{"front", "orders"})
	var leaver *backend
	for _, m := range []struct{ name, service, id string }{
		{"sidecar-front-1", "front", "i-front-1"},
		{"sidecar-front-2", "front", "i-front-2"},
		{"sidecar-orders-1", "orders", "i-leaver"},
		{"sidecar-orders-2", "orders", "i-stays"},
	} {
		n, err := f.addNode(m.name, m.service)
		if err != nil {
			return failed, err
		}
		b, err := startBackend(n, m.id, 0, answer)
		if err != nil {
			return failed, err
		}
		f.backends = append(f.backends, b)
		if m.id == "i-leaver" {
			leaver = b
			b.unhealthy = leaving.Load
		}
	}
	if err := f.awaitReady(); err != nil {
		return failed, err
	}
	fronts := f.nodes[:2]
	for _, n := range fronts {
		if err := f.awaitServed(n, http.MethodPost, shopHost, "/order/warm"); err != nil {
			return failed, err
		}
	}
	var stop atomic.Bool
	var clients sync.WaitGroup
	var sent sync.Map // by attempt, the time of sending
	var results sync.Map
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for k := 0; !stop.Load(); k++ {
				attempt := fmt.Sprintf("order-%d-%d", i, k)
				sent.Store(attempt, time.Now())
				r := send(fronts[i%2].outbound, http.MethodPost, shopHost, "/order/1", attempt, 5*time.Second, []byte("one kit"))
				results.Store(attempt, r)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4 * time.Second)

	began := time.Now()
	stable := began // since when all machines and the store have been without disruption
	if trouble {
		f.note("the store is down for %v", outage)
		f.store.down.Store(true)
		time.AfterFunc(outage, func() {
			f.store.down.Store(false)
			f.note("the store is back")
		})
	}
	time.Sleep(time.Second)
	// The last heartbeat before the leaving gets its sequence now and comes late.
	lateSequence := leaver.sequence.Add(1)
	time.AfterFunc(late, func() {
		f.note("the late heartbeat, sequence %d, arrives: %v", lateSequence, leaver.announceAs("ready", lateSequence))
	})
	leaver.stopBeats()
	leaving.Store(true)
	if err := leaver.deregister(); err != nil {
		return failed, fmt.Errorf("the leaving was not acknowledged: %w", err)
	}
	acknowledged := time.Now()
	f.note("the leaving of %s is acknowledged", leaver.id)
	time.AfterFunc(servesOn, func() {
		gone.Store(true)
		leaver.close()
	})
	if trouble {
		time.Sleep(500 * time.Millisecond)
		f.note("all processes are killed")
		for _, n := range f.nodes {
			n.kill()
			<-n.done
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range f.nodes {
			if err := n.start(f.program); err != nil {
				return failed, err
			}
		}
		f.note("all processes are started")
		stable = began.Add(outage)
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn + 2*time.Second)))
	stop.Store(true)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	tooLate, lost := 0, 0
	for _, a := range arrivals {
		at, ok := sent.Load(a.attempt)
		if !ok || a.at.Sub(acknowledged) <= drainTime || at.(time.Time).Sub(stable) < stability {
			continue
		}
		tooLate++
		r, _ := results.Load(a.attempt)
		if r.(result).status != http.StatusOK {
			lost++
		}
		if tooLate <= 5 {
			f.note("DRAIN: %s reached %s %d ms after the acknowledgement; client: %s", a.attempt, leaver.id, a.at.Sub(acknowledged).Milliseconds(),
				r.(result).line())
		}
	}
	f.note("%d requests reached the backend too late, %d of them were not answered with success", tooLate, lost)
	return judged(f, tooLate, len(arrivals))
}
