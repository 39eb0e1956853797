package soaker

import (
	"strings"
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// departedTime is how long an upstream runs after it has begun to deregister.
	departedTime = 10 * time.Second
	// restartAfterDeparture is when its node is restarted after that, and lateAfterRestart the least time from the departure to the late
	// heartbeat in that case: the node is in use again by then.
	restartAfterDeparture = 500 * time.Millisecond
	lateAfterRestart      = 3500 * time.Millisecond
	// outageLength is how long the store is away in a step "depart-outage". The upstream leaves departureInOutage after its beginning.
	outageLength      = 4500 * time.Millisecond
	departureInOutage = 500 * time.Millisecond
)

// departUpstream lets the upstream deregister and go on running. The heartbeat that it sent before arrives late. Then a new
// instance starts at the same address.
func (s *Soaker) departUpstream(h *hoster.Hoster, late time.Duration, f worker.Faults) {
	s.leaveAndRunOn(h, h.Worker.Depart, late, f)
}

// leaveAndRunOn is departUpstream for an upstream that tells with announce that it leaves.
func (s *Soaker) leaveAndRunOn(h *hoster.Hoster, announce func(address string) error, late time.Duration, f worker.Faults) {
	end := time.Now().Add(departedTime)
	h.Worker.SetFaults(f)
	heartbeat := h.Worker.Heartbeat()
	arrives := time.Now().Add(late)
	h.Worker.Drain()
	s.awaitDrain(h, announce)
	time.Sleep(time.Until(arrives))
	// The error is ignored: a late heartbeat has no effect, or the node is down.
	_ = heartbeat(h.Announcements)
	time.Sleep(time.Until(end))
	h.Worker.Crash()
	h.Worker.SetFaults(worker.Faults{})
	s.startWorker(h)
}

// leaveUnannounced lets the upstream state in its answers that it leaves, and starts a new instance at the same address.
func (s *Soaker) leaveUnannounced(h *hoster.Hoster) {
	h.Worker.SetFaults(worker.Faults{Leaving: true})
	time.Sleep(hoster.DrainGrace + 2*lingerTime)
	h.Worker.Crash()
	h.Worker.SetFaults(worker.Faults{})
	s.startWorker(h)
}

// departWithRestart lets the upstream depart, and stops or kills its node and starts it again before the late heartbeat arrives.
func (s *Soaker) departWithRestart(p planner.Step, h *hoster.Hoster) {
	s.exclusive(h.Worker, func() {
		var wg sync.WaitGroup
		wg.Go(func() { s.departUpstream(h, lateAfterRestart+p.Length, worker.Faults{}) })
		time.Sleep(restartAfterDeparture)
		s.runStep(planner.Step{Kind: strings.TrimPrefix(p.Kind, "depart-"), Host: p.Host})
		wg.Wait()
	})
}

// departInOutage lets the upstream depart while the store is away, and kills and restarts all nodes before the late heartbeat arrives.
// The later half of the lengths kills them twice.
func (s *Soaker) departInOutage(p planner.Step, h *hoster.Hoster) {
	s.exclusive(h.Worker, func() {
		var wg sync.WaitGroup
		wg.Go(func() { s.runStep(planner.Step{Kind: "store-busy", Host: p.Host, Length: outageLength}) })
		time.Sleep(departureInOutage)
		wg.Go(func() { s.departUpstream(h, lateAfterRestart+p.Length, worker.Faults{}) })
		time.Sleep(restartAfterDeparture)
		s.runStep(planner.Step{Kind: "kill-all", Host: p.Host})
		if p.Length > planner.MaxLength/2 {
			time.Sleep(restartAfterDeparture)
			s.runStep(planner.Step{Kind: "kill-all", Host: p.Host})
		}
		wg.Wait()
	})
}
