package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["forgotten-poison"] = forgottenPoison }

// poisonTarget is the target of the request that crashes each backend that runs it.
const poisonTarget = "/kit/poison"

// forgottenPoison sends a request that crashes backends again and again, and restarts the nodes in turn once it is refused. It
// counts how often the request reaches a backend after it has crashed the third.
func forgottenPoison(f *fleet) (verdict, error) {
	var backends []*backend
	for i := range 4 {
		backends = append(backends, &backend{
			name: fmt.Sprintf("kit-%d", i+1), service: "kit", zone: fmt.Sprintf("z%d", i+1), slots: 40,
			work: constant(150 * time.Millisecond), poison: poisonTarget,
		})
	}
	f.route("/kit/", "kit", "idempotent", 2, 2, 5000, 1200)
	if err := f.begin(backends...); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	go every(stop, 30*time.Millisecond, func(i int) {
		f.clients.goSend(f.nodes[rand.IntN(4)], "GET", fmt.Sprintf("/kit/%d", i), "", 5*time.Second, nil)
	})
	time.Sleep(2 * time.Second)
	// The request does not come while a machine is out of touch: what it does then does not count.
	var held atomic.Bool
	go every(stop, 500*time.Millisecond, func(int) {
		if held.Load() {
			return
		}
		f.clients.goSend(f.nodes[rand.IntN(4)], "GET", poisonTarget, "", 5*time.Second, nil)
	})
	var calm []interval
	// By now the request has crashed some backends, and all nodes refuse it.
	time.Sleep(6 * time.Second)
	for _, n := range f.nodes {
		if !f.trouble {
			time.Sleep(10 * time.Second)
			continue
		}
		from := time.Now()
		held.Store(true)
		n.stop()
		if err := n.start(); err != nil {
			return verdict{}, err
		}
		if !n.waitReady(5 * time.Second) {
			return verdict{}, fmt.Errorf("node %s is not ready after its restart", n.name)
		}
		calm = append(calm, interval{node: n.name, from: from, to: time.Now().Add(stabilityTime)})
		time.Sleep(stabilityTime + 100*time.Millisecond)
		held.Store(false)
		time.Sleep(10 * time.Second)
	}
	close(stop)
	attempts := f.clients.all()
	third := thirdCrash(backends)
	if third.IsZero() {
		third = time.Now()
	}
	sentTo := map[string]string{}
	for _, a := range attempts {
		sentTo[a.id] = a.node
	}
	late, victims, served := 0, map[string]bool{}, 0
	for _, b := range backends {
		for _, r := range b.allRuns() {
			if r.at.Sub(third) <= stabilityTime {
				continue
			}
			if !strings.Contains(r.target, poisonTarget) {
				if r.cut {
					victims[r.attempt] = true
				}
				continue
			}
			if disturbed(calm, b.name, r.at) || disturbed(calm, sentTo[r.attempt], r.at) {
				f.rec.add("not counted, a machine was not in touch: %s at %s", r.attempt, b.name)
				continue
			}
			late++
		}
	}
	for _, a := range attempts {
		if a.status == 200 {
			served++
		}
	}
	if served == 0 {
		return verdict{}, fmt.Errorf("no request was served")
	}
	return verdict{broken: late > 3, summary: fmt.Sprintf(
		"%d requests sent, %d served; the request reached backends later than 3 s after it crashed the third, by machines in touch: %d times (allowed: 3); other requests that these crashes cut off: %d",
		len(attempts), served, late, len(victims))}, nil
}

// interval is a time in which a node is not in touch.
type interval struct {
	node     string
	from, to time.Time
}

// disturbed reports whether the node was not in touch at a time.
func disturbed(list []interval, node string, at time.Time) bool {
	for _, i := range list {
		if i.node == node && at.After(i.from) && at.Before(i.to) {
			return true
		}
	}
	return false
}

// thirdCrash returns when the third of all crashes was; zero if there were fewer.
func thirdCrash(backends []*backend) time.Time {
	var all []time.Time
	for _, b := range backends {
		b.mu.Lock()
		all = append(all, b.crashes...)
		b.mu.Unlock()
	}
	if len(all) < 3 {
		return time.Time{}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[2]
}
