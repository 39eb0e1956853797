package soaker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// restartDelay is the pause before a node or upstream that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// lingerTime is how much longer than hoster.DrainGrace a draining upstream runs. A request that it receives in this
	// time breaks the promise "drain" of package judge.
	lingerTime = 500 * time.Millisecond
	// killShare is the probability with which a step "kill-many" kills each node.
	killShare = 0.6
	// statedLimit is the number of requests per second that an upstream states in a step "limit", and limitLength is the length
	// of the step.
	statedLimit = 8
	limitLength = 9 * time.Second
	// restoredAge is the age of the copy from which a step "store-restore" restores the store, and rewriteDelay the time
	// until the operator writes the configuration again.
	restoredAge  = 5 * time.Second
	rewriteDelay = 300 * time.Millisecond
)

// runStep carries out one step and returns when it has ended. It reports the step to the judge as a disruption
// from its start to its end.
func (s *Soaker) runStep(p planner.Step) {
	h := s.hosts[p.Host]
	d := judge.Disruption{Kind: p.Kind, Host: h.Name, Store: strings.HasPrefix(p.Kind, "store-")}
	switch p.Kind {
	case "stop", "hangup", "replace", "routes", "depart", "depart-healthy", "drain", "odd-entries",
		"depart-stop", "depart-kill", "depart-outage", "depart-stranger", "depart-early", "drain-early", "stop-long", "large-answers":
		d.Planned = true
	}
	if _, ok := storeFaults[p.Kind]; ok || slices.Contains(everywhereKinds, p.Kind) {
		d.Host = ""
	}
	end := s.judge.BeginDisruption(d)
	defer end()
	if f, ok := storeFaults[p.Kind]; ok {
		s.store.SetFaults(f)
		time.Sleep(p.Length)
		s.store.SetFaults(storeserver.Faults{})
		return
	}
	if f, ok := workerFaults[p.Kind]; ok {
		s.setWorkerFaults(p, f)
		time.Sleep(p.Length)
		s.setWorkerFaults(p, worker.Faults{})
		return
	}
	if m, ok := proxyModes[p.Kind]; ok {
		injectMode(proxyOf(h, p.Kind), m, p.Length)
		return
	}
	s.runOperation(p, h)
}

// runOperation carries out the steps that consist of operations, and not of a fault that is set and later cleared.
func (s *Soaker) runOperation(p planner.Step, h *hoster.Hoster) {
	switch p.Kind {
	case "stop":
		s.exclusive(h, func() { s.stopAndRestart(h) })
	case "kill":
		s.exclusive(h, func() { s.killAndRestart(h, p.Length/2) })
	case "kill-many":
		s.killMany(p, killShare)
	case "kill-all":
		s.killMany(p, 1)
	case "pause":
		s.exclusive(h, func() {
			h.Signal(syscall.SIGSTOP)
			time.Sleep(p.Length)
			h.Signal(syscall.SIGCONT)
		})
	case "hangup":
		h.Signal(syscall.SIGHUP)
	case "routes":
		s.writeConfiguration()
	case "replace":
		s.exclusive(h.Worker, func() { s.replaceUpstream(h) })
	case "crash":
		s.exclusive(h.Worker, func() {
			h.Worker.Crash()
			time.Sleep(p.Length)
			s.startWorker(h)
		})
	case "limit":
		s.exclusive(h.Worker, func() {
			h.Worker.SetFaults(worker.Faults{RateLimit: statedLimit})
			time.Sleep(limitLength)
			h.Worker.SetFaults(worker.Faults{})
		})
	case "depart":
		s.exclusive(h.Worker, func() { s.departUpstream(h, p.Length, worker.Faults{}) })
	case "depart-healthy":
		s.exclusive(h.Worker, func() { s.departUpstream(h, p.Length, worker.Faults{Healthy: true}) })
	case "drain":
		s.exclusive(h.Worker, func() { s.leaveAndRunOn(h, h.Worker.Announce, p.Length, worker.Faults{}) })
	case "depart-stop", "depart-kill":
		s.departWithRestart(p, h)
	case "depart-outage":
		s.departInOutage(p, h)
	case "depart-early":
		s.exclusive(h.Worker, func() { s.leaveEarly(p, h, h.Worker.Depart) })
	case "drain-early":
		s.exclusive(h.Worker, func() { s.leaveEarly(p, h, h.Worker.Announce) })
	case "depart-stranger":
		s.departBeforeOutage(p, h)
	case "reuse-address":
		s.exclusive(h.Worker, func() { s.reuseAddress(p, h) })
	case "stop-long":
		s.exclusive(h, func() { s.stopDuringLong(p, h) })
	case "large-answers":
		s.sendLarge()
	case judge.KindPoison:
		s.exclusive(judge.KindPoison, func() { s.rollWithPoison(p) })
	case "odd-entries":
		s.writeOddEntries(h)
	case "leave":
		s.exclusive(h.Worker, func() { s.leaveUnannounced(h) })
	case "store-restore":
		s.restoreStore(p.Length)
	case "store-compact":
		s.store.Compact()
	case "record-removed":
		s.store.Remove(storeserver.MembersPrefix + h.Name)
	case "links-reset":
		h.LinkProxy.Reset()
	case "upstream-reset":
		h.UpstreamProxy.Reset()
	}
}

// exclusive runs fn, unless a function that was passed to exclusive with the same target is still running.
func (s *Soaker) exclusive(target any, fn func()) {
	if _, busy := s.busy.LoadOrStore(target, true); busy {
		return
	}
	defer s.busy.Delete(target)
	fn()
}

// stopAndRestart makes a planned restart of the node. The callers keep their connections until the process has exited.
func (s *Soaker) stopAndRestart(h *hoster.Hoster) {
	if !h.Stop() {
		s.judge.AddFinding("stop", "", "%s was still running %s after SIGTERM", h.Name, hoster.StopGracePeriod)
	}
	s.startNode(h)
}

// killAndRestart kills the node and starts it again after the pause.
func (s *Soaker) killAndRestart(h *hoster.Hoster, pause time.Duration) {
	h.Kill()
	time.Sleep(pause)
	s.startNode(h)
}

// startNode starts the node again after restartDelay.
func (s *Soaker) startNode(h *hoster.Hoster) {
	time.Sleep(restartDelay)
	if err := h.Start(); err != nil {
		s.judge.AddFinding("process", "", "%s could not be started: %v", h.Name, err)
	}
}

// killMany kills and restarts each node with the probability share, at the same time.
func (s *Soaker) killMany(p planner.Step, share float64) {
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		if rand.Float64() < share {
			wg.Go(func() { s.exclusive(h, func() { s.killAndRestart(h, p.Length/2) }) })
		}
	}
	wg.Wait()
}

// replaceUpstream drains the upstream and starts a new instance at the same address.
func (s *Soaker) replaceUpstream(h *hoster.Hoster) {
	h.Worker.Drain()
	s.awaitDrain(h, h.Worker.Announce)
	time.Sleep(hoster.DrainGrace + lingerTime)
	// Long requests that it took before are not cut off by a planned replacement.
	for limit := time.Now().Add(maxLong); h.Worker.Busy() > 0 && time.Now().Before(limit); {
		time.Sleep(upstreamInterval)
	}
	// The error is ignored: the node may be down, and the upstream ends in any case.
	_ = h.Worker.Depart(h.Announcements)
	h.Worker.Crash()
	s.startWorker(h)
}

// awaitDrain announces with announce that the upstream leaves, until the node has acknowledged it or the upstream gives up.
func (s *Soaker) awaitDrain(h *hoster.Hoster, announce func(address string) error) {
	for limit := time.Now().Add(hoster.StopGracePeriod); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if announce(h.Announcements) == nil {
			s.judge.AddDrain(h.Name, h.Worker.Instance())
			return
		}
	}
}

// restoreStore takes the store away for the given time and brings it back from an older copy.
func (s *Soaker) restoreStore(length time.Duration) {
	s.store.SetFaults(storeserver.Faults{Silent: true})
	time.Sleep(length)
	s.store.Restore(restoredAge)
	s.store.SetFaults(storeserver.Faults{})
	time.Sleep(rewriteDelay)
	s.rewriteConfiguration()
}

// startWorker starts a new instance of the upstream after restartDelay, and sends its first heartbeat.
func (s *Soaker) startWorker(h *hoster.Hoster) {
	time.Sleep(restartDelay)
	if err := h.Worker.Start(h.Worker.Address()); err != nil {
		s.judge.AddFinding("process", "", "the upstream of %s could not be started: %v", h.Name, err)
		return
	}
	// The error is ignored: the node may be down, and the next heartbeat follows.
	_ = h.Worker.Announce(h.Announcements)
}
