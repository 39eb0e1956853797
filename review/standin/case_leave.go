package main

import (
	"fmt"
	"time"
)

func init() { cases["forgotten-leave"] = forgottenLeave }

const (
	drainTime = 2 * time.Second
	// heartbeatDelay is how late the last heartbeat before the leaving arrives.
	heartbeatDelay = 4500 * time.Millisecond
)

// forgottenLeave lets a backend leave, kills and restarts the node that acknowledged it, and delivers a heartbeat that the
// backend had sent before it left. It counts the requests that reach the backend later than the rule allows.
func forgottenLeave(f *fleet) (verdict, error) {
	front := &backend{name: "front-1", service: "front", zone: "z1", slots: 50, work: constant(20 * time.Millisecond)}
	first := &backend{name: "cash-1", service: "cash", zone: "z1", slots: 20, work: constant(300 * time.Millisecond)}
	second := &backend{name: "cash-2", service: "cash", zone: "z2", slots: 20, work: constant(300 * time.Millisecond)}
	f.route("/pay/", "cash", "non_idempotent", 0, 2, 5000, 1200)
	if err := f.begin(front, first, second); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	go every(stop, 60*time.Millisecond, func(i int) {
		f.clients.goSend(f.nodes[0], "POST", fmt.Sprintf("/pay/%d", i), "amount=1", 5*time.Second, nil)
	})
	time.Sleep(3 * time.Second)
	url, beat := first.heartbeat()
	sent := time.Now()
	if !f.trouble {
		post(url, beat)
	}
	time.Sleep(200 * time.Millisecond)
	first.deregister()
	acknowledged := time.Now()
	f.rec.add("the leaving of %s is acknowledged by node %s", first.instance, f.nodes[1].name)
	time.Sleep(300 * time.Millisecond)
	if f.trouble {
		f.nodes[1].kill()
		if err := f.nodes[1].start(); err != nil {
			return verdict{}, err
		}
		time.Sleep(time.Until(sent.Add(heartbeatDelay)))
		f.rec.add("a heartbeat of %s arrives that it sent %d ms before its leaving was acknowledged: acknowledged %t",
			first.instance, acknowledged.Sub(sent).Milliseconds(), post(url, beat))
	}
	time.Sleep(time.Until(acknowledged.Add(10 * time.Second)))
	first.stop("the planned end of a backend that has left")
	time.Sleep(time.Second)
	close(stop)
	attempts := f.clients.all()
	late, cut := 0, 0
	f.nodes[1].mu.Lock()
	disturbed := f.nodes[1].disturbed
	f.nodes[1].mu.Unlock()
	lost := map[string]bool{}
	for _, r := range first.allRuns() {
		if r.at.Sub(acknowledged) > drainTime && r.at.Sub(disturbed) > stabilityTime {
			late++
			if r.cut {
				lost[r.attempt] = true
			}
		}
	}
	served := 0
	for _, a := range attempts {
		if a.status == 200 {
			served++
		} else if lost[a.id] {
			cut++
		}
	}
	if served == 0 {
		return verdict{}, fmt.Errorf("no request was served")
	}
	return verdict{broken: late > 0, summary: fmt.Sprintf(
		"%d requests sent, %d served; reached the backend later than 2 s after its leaving was acknowledged, all machines in touch: %d; of these cut off by its planned end and not served: %d",
		len(attempts), served, late, cut)}, nil
}
