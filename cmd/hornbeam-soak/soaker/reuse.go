package soaker

import (
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// reuseDelay is the time from the end of an upstream until another service may have its address, and reusedTime how long it has it.
	reuseDelay = 2 * time.Second
	reusedTime = 3 * time.Second
	// earlyLeaving is the time from the second start of an upstream until it leaves, before its first heartbeat arrives.
	earlyLeaving = 1200 * time.Millisecond
)

// reuseAddress ends the upstream for good, kills its node and starts it again, and starts an upstream of another service at the address, which
// sends heartbeats to the node. Judge finds requests of the first service that it runs. In the end an upstream of the service is back.
func (s *Soaker) reuseAddress(p planner.Step, h *hoster.Hoster) {
	h.Worker.Crash()
	reusable := time.Now().Add(reuseDelay)
	s.runStep(planner.Step{Kind: "kill", Host: p.Host, Length: p.Length / 4})
	time.Sleep(time.Until(reusable))
	other := &worker.Worker{
		Service: "other", Zone: h.Worker.Zone, Slots: h.Worker.Slots, Announced: h.Worker.Announced, Work: defaultWork,
		OnArrival: s.judge.AddArrival, OnRun: s.judge.AddRun, OnCrash: func() {},
	}
	if err := other.Start(h.Worker.Address()); err != nil {
		s.judge.AddFinding("process", "", "the other upstream at %s could not be started: %v", h.Name, err)
		return
	}
	for end := time.Now().Add(reusedTime); time.Now().Before(end); time.Sleep(hoster.HeartbeatInterval) {
		// The error is ignored: the node may be down.
		_ = other.Announce(h.Announcements)
	}
	other.Crash()
	s.startWorker(h)
}

// leaveEarly crashes the upstream and starts it again under its id. It tells with announce that it leaves before the first heartbeat of the new
// start arrives, and runs on.
func (s *Soaker) leaveEarly(p planner.Step, h *hoster.Hoster, announce func(address string) error) {
	s.quiet.Store(h.Worker, true)
	defer s.quiet.Delete(h.Worker)
	if s.crashUnderSameID(p, h) {
		s.leaveAndRunOn(h, announce, p.Length, worker.Faults{})
	}
}

// crashUnderSameID crashes the upstream and starts it again under its id, without a heartbeat. The other upstreams of the service refuse most
// requests then, so that this one is used again. It reports whether the upstream was started.
func (s *Soaker) crashUnderSameID(p planner.Step, h *hoster.Hoster) bool {
	defer s.judge.BeginDisruption(judge.Disruption{Kind: "crash", Host: h.Name})()
	instance := h.Worker.Instance()
	h.Worker.Crash()
	time.Sleep(restartDelay)
	if err := h.Worker.StartAs(h.Worker.Address(), instance); err != nil {
		s.judge.AddFinding("process", "", "the upstream of %s could not be started: %v", h.Name, err)
		return false
	}
	others := planner.Step{Kind: "refuse-all", Host: p.Host}
	s.setWorkerFaults(others, worker.Faults{Refuse: 0.9})
	h.Worker.SetFaults(worker.Faults{})
	time.Sleep(earlyLeaving)
	s.setWorkerFaults(others, worker.Faults{})
	return true
}

// departBeforeOutage lets the upstream depart, and takes the store away and kills the node after that. The node is back before the store.
func (s *Soaker) departBeforeOutage(p planner.Step, h *hoster.Hoster) {
	s.exclusive(h.Worker, func() {
		var wg sync.WaitGroup
		wg.Go(func() { s.departUpstream(h, lateAfterRestart+p.Length, worker.Faults{Healthy: true}) })
		time.Sleep(restartAfterDeparture)
		wg.Go(func() { s.runStep(planner.Step{Kind: "store-busy", Host: p.Host, Length: outageLength}) })
		time.Sleep(restartAfterDeparture)
		s.runStep(planner.Step{Kind: "kill", Host: p.Host})
		wg.Wait()
	})
}
