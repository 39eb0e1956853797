//go:build review3

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/storeserver"
)

const hostName = "shop.example"

// lookup and order are the routes of the scripts.
func lookup(name, service string) operator.Route {
	return operator.Route{
		Name: name, Host: hostName, Prefix: "/" + name + "/", Service: service, Idempotent: true, Priority: 2,
		Timeout: 5 * time.Second, Objective: time.Second,
	}
}

func order(name, service string) operator.Route {
	r := lookup(name, service)
	r.Idempotent, r.Priority = false, 0
	return r
}

// drainTime is the bound drainMs.
const drainTime = 2 * time.Second

// usualWork and usualSlots are those of most backends; busyWork and busySlots let the other backends of a service be
// overloaded without the one that has crashed, so that it is used again soon.
const (
	usualWork  = 20 * time.Millisecond
	usualSlots = 64
	busyWork   = 100 * time.Millisecond
	busySlots  = 4
)

// playEarlyDeparture: a backend crashes and is back under its id. The first heartbeat of the new start arrives seconds late, and the
// backend deregisters before that. The node acknowledges, and the backend must get no request later than drainTime after that.
func playEarlyDeparture(w *world, trouble bool) (bool, error) {
	if err := w.openStore(); err != nil {
		return false, err
	}
	if err := w.configure(7, order("order", "desk"), lookup("lookup", "desk")); err != nil {
		return false, err
	}
	var hosts []*host
	var first *backend
	for _, name := range []string{"side-a-1", "side-a-2", "side-b-1", "side-b-2"} {
		h, err := w.newHost(name, "desk", name[:6])
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		if err := h.startNode(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	for i, h := range hosts {
		b, err := w.startBackend("i-"+h.name, "desk", h.zone, h.appAddress, busyWork, busySlots)
		if err != nil {
			return false, err
		}
		b.beat(h.announcements)
		if i == 0 {
			first = b
		}
	}
	time.Sleep(4 * time.Second)
	for _, h := range hosts {
		c := w.newClient(h)
		w.repeat(55*time.Millisecond, func() { go c.send(http.MethodPost, hostName, "/order/"+h.name, 3*time.Second) })
		w.repeat(55*time.Millisecond, func() { go c.send(http.MethodGet, hostName, "/lookup/"+h.name, 3*time.Second) })
	}
	time.Sleep(3 * time.Second)
	leaver := first
	if trouble {
		w.note("backend %s crashes", first.id)
		first.crash()
		time.Sleep(2 * time.Second)
		b, err := w.startBackend(first.id, "desk", first.zone, first.address, busyWork, busySlots)
		if err != nil {
			return false, err
		}
		leaver = b
		late := b.heartbeat()
		go func() {
			time.Sleep(3 * time.Second)
			late(hosts[0].announcements)
		}()
		time.Sleep(1400 * time.Millisecond)
	}
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	if !leaver.deregister(hosts[0].announcements) {
		return false, errors.New("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	w.note("departure of %s acknowledged", leaver.id)
	time.Sleep(8 * time.Second)
	late := w.runsSince(acknowledged.Add(drainTime), func(r runLine) bool { return r.instance == leaver.id })
	w.note("%d requests ran at %s later than 2 s after the acknowledgement", len(late), leaver.id)
	hosts[0].noteLog("observer:")
	return len(late) == 0, nil
}

// playReusedAddress: a backend ends for good, and the node beside it is killed and started again. The address of the backend goes to a
// backend of another service. That must run no request of the first service.
func playReusedAddress(w *world, trouble bool) (bool, error) {
	if err := w.openStore(); err != nil {
		return false, err
	}
	if err := w.configure(7, order("order", "desk"), order("pay", "cash")); err != nil {
		return false, err
	}
	specs := []struct{ name, service, zone string }{
		{"side-a-1", "desk", "a"}, {"side-b-1", "desk", "b"}, {"side-a-2", "cash", "a"}, {"side-b-2", "cash", "b"},
	}
	var hosts []*host
	var backends []*backend
	for _, s := range specs {
		h, err := w.newHost(s.name, s.service, s.zone)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
		if err := h.startNode(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	for _, h := range hosts {
		b, err := w.startBackend("i-"+h.name, h.service, h.zone, h.appAddress, busyWork, busySlots)
		if err != nil {
			return false, err
		}
		b.beat(h.announcements)
		backends = append(backends, b)
	}
	time.Sleep(4 * time.Second)
	for _, h := range []*host{hosts[1], hosts[2], hosts[3]} {
		c := w.newClient(h)
		w.repeat(70*time.Millisecond, func() { go c.send(http.MethodPost, hostName, "/order/"+h.name, 3*time.Second) })
		w.repeat(70*time.Millisecond, func() { go c.send(http.MethodPost, hostName, "/pay/"+h.name, 3*time.Second) })
	}
	time.Sleep(3 * time.Second)
	moved := hosts[0]
	w.note("backend %s ends for good", backends[0].id)
	backends[0].crash()
	ended := time.Now()
	if trouble {
		if err := reuseAddress(w, moved, ended); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ended.Add(terminateAfter)))
	moved.terminate()
	time.Sleep(2 * time.Second)
	wrong := w.runsSince(ended, func(r runLine) bool { return r.service == "cash" && strings.HasPrefix(r.route, "POST /order/") })
	w.note("%d requests of the service desk ran at backends of the service cash", len(wrong))
	moved.noteLog("observer:")
	return len(wrong) == 0, nil
}

// Times of playReusedAddress after the end of the backend.
const (
	killAfter      = 500 * time.Millisecond
	restartAfter   = time.Second
	reuseAfter     = 3 * time.Second
	terminateAfter = 9 * time.Second
)

// reuseAddress kills the node and starts it again, and then gives the address of its backend to a backend of another service.
func reuseAddress(w *world, moved *host, ended time.Time) error {
	time.Sleep(time.Until(ended.Add(killAfter)))
	w.note("node %s is killed", moved.name)
	moved.kill()
	time.Sleep(time.Until(ended.Add(restartAfter)))
	if err := moved.startNode(); err != nil {
		return err
	}
	time.Sleep(time.Until(ended.Add(reuseAfter)))
	moved.service = "cash"
	if err := moved.writeSettings(); err != nil {
		return err
	}
	w.note("settings of machine %s name the service cash", moved.name)
	b, err := w.startBackend("i-reuse", "cash", moved.zone, moved.appAddress, busyWork, busySlots)
	if err != nil {
		return err
	}
	b.beat(moved.announcements)
	return nil
}

// playFailingBackend: a backend fails part of its requests with 503 after it has begun to work on them, without saying that it has not
// run them. No order that has run may be answered with a status that promises that it has not.
func playFailingBackend(w *world, trouble bool) (bool, error) {
	if err := w.openStore(); err != nil {
		return false, err
	}
	if err := w.configure(7, order("order", "desk")); err != nil {
		return false, err
	}
	var backends []*backend
	for _, name := range []string{"side-a-1", "side-a-2", "side-b-1"} {
		if _, err := w.newHost(name, "desk", name[:6]); err != nil {
			return false, err
		}
	}
	for _, h := range w.hosts {
		if err := h.startNode(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	for _, h := range w.hosts {
		b, err := w.startBackend("i-"+h.name, "desk", h.zone, h.appAddress, usualWork, usualSlots)
		if err != nil {
			return false, err
		}
		b.beat(h.announcements)
		backends = append(backends, b)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		backends[0].mu.Lock()
		backends[0].failing = 0.45
		backends[0].mu.Unlock()
	}
	promised := make(chan answer, 1000)
	for _, h := range w.hosts {
		c := w.newClient(h)
		w.repeat(100*time.Millisecond, func() {
			go func() {
				if a := c.send(http.MethodPost, hostName, "/order/"+h.name, 3*time.Second); promisesNotRun(a) {
					promised <- a
				}
			}()
		})
	}
	time.Sleep(8 * time.Second)
	broken := 0
	for range len(promised) {
		a := <-promised
		if ran := w.runsSince(w.start, func(r runLine) bool { return r.attempt == a.attempt }); len(ran) > 0 {
			w.note("order %s was answered %d and has run at %s", a.attempt, a.status, ran[0].instance)
			broken++
		}
	}
	w.note("%d orders were answered as not run and have run", broken)
	return broken == 0, nil
}

// promisesNotRun reports whether the status of an answer promises that the request has not run and never will.
func promisesNotRun(a answer) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// staleLag is the age of what the store answers to reads that may be old, in playForgottenDeparture.
const staleLag = 2 * time.Second

// Times of playForgottenDeparture after the acknowledgement.
const (
	outageAfter   = 500 * time.Millisecond
	nodeKillAfter = time.Second
	nodeBackAfter = 1500 * time.Millisecond
	requestAfter  = 6 * time.Second
	outageUntil   = 8500 * time.Millisecond
)

// playForgottenDeparture: a backend deregisters, which the node beside it acknowledges. The store goes down, and the node is killed and
// started again. Nodes of another service, with which it had no links before, give it the configuration. The backend, which still
// runs, must get no request.
func playForgottenDeparture(w *world, trouble bool) (bool, error) {
	if err := w.openStore(); err != nil {
		return false, err
	}
	w.store.SetFaults(storeserver.Faults{StaleLag: staleLag})
	if err := w.configure(7, order("order", "desk"), order("pay", "cash")); err != nil {
		return false, err
	}
	for i := range 12 {
		service := "cash"
		if i == 0 || i >= 10 {
			service = "desk"
		}
		if _, err := w.newHost(fmt.Sprintf("side-%02d", i+1), service, []string{"a", "b"}[i%2]); err != nil {
			return false, err
		}
	}
	for _, h := range w.hosts {
		for _, seed := range w.hosts[1:4] {
			h.seeds = append(h.seeds, seed.announcements)
		}
		if err := h.writeSettings(); err != nil {
			return false, err
		}
	}
	if err := w.startAll(nil); err != nil {
		return false, err
	}
	time.Sleep(2 * staleLag) // until the nodes have found each other
	leaver := w.hosts[0]
	quiet := w.newClient(leaver)
	for i, h := range w.hosts {
		path := "/pay/"
		if h.service == "desk" {
			path = "/order/"
		}
		if i > 0 {
			c := w.newClient(h)
			w.repeat(100*time.Millisecond, func() { go c.send(http.MethodPost, hostName, path+h.name, 3*time.Second) })
		}
	}
	for range 5 {
		quiet.send(http.MethodPost, hostName, "/order/"+leaver.name, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	b := leaver.backend
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	if !b.deregister(leaver.announcements) {
		return false, errors.New("the departure was not acknowledged")
	}
	acknowledged := time.Now()
	w.note("departure of %s acknowledged", b.id)
	if trouble {
		if err := forget(w, leaver, acknowledged); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(requestAfter)))
	var orders sync.WaitGroup
	for range 5 {
		orders.Go(func() { quiet.send(http.MethodPost, hostName, "/order/"+leaver.name, 3*time.Second) })
	}
	orders.Wait()
	time.Sleep(time.Until(acknowledged.Add(outageUntil)))
	w.store.SetFaults(storeserver.Faults{StaleLag: staleLag})
	time.Sleep(2 * time.Second)
	late := w.runsSince(acknowledged.Add(drainTime), func(r runLine) bool { return r.instance == b.id })
	w.note("%d requests ran at %s later than 2 s after the acknowledgement", len(late), b.id)
	leaver.noteLog("observer:")
	leaver.noteLog("agent:")
	leaver.noteLog("links:")
	return len(late) == 0, nil
}

// forget lets the store go down, and kills the node and starts it again.
func forget(w *world, h *host, acknowledged time.Time) error {
	time.Sleep(time.Until(acknowledged.Add(outageAfter)))
	w.note("the store is down: it answers 503")
	w.store.SetFaults(storeserver.Faults{Busy: true, StaleLag: staleLag})
	time.Sleep(time.Until(acknowledged.Add(nodeKillAfter)))
	w.note("node %s is killed", h.name)
	h.kill()
	time.Sleep(time.Until(acknowledged.Add(nodeBackAfter)))
	return h.startNode()
}
