package soaker

import (
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/cmd/hornbeam-soak/proxier"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// restartTime is the pause before an ended process is started again.
	restartTime = 300 * time.Millisecond
	// lingerTime is how long a leaving upstream goes on after the time in which it may get requests.
	lingerTime = 500 * time.Millisecond
	// manyShare is the share of the hosts that are killed together.
	manyShare = 0.6
)

// storeFaults are the disturbances of the store by kind of step.
var storeFaults = map[string]storeserver.Faults{
	"store-busy":   {Busy: true},
	"store-silent": {Silent: true},
	"store-reset":  {Reset: true},
	"store-slow":   {Delay: 300 * time.Millisecond},
	"store-lose":   {LoseWriteResponses: 0.5},
	"store-lapse":  {Silent: true, ExpireLeases: true},
	"store-stale":  {StaleLag: 3 * time.Second},
}

// workerFaults are the failures of an upstream by kind of step.
var workerFaults = map[string]worker.Faults{
	"slow":       {Slow: 10},
	"refuse":     {Refuse: 0.5},
	"refuse-all": {Refuse: 0.8},
	"lose":       {Lose: 0.3},
	"truncate":   {Truncate: 0.2},
}

// linkFaults are what a proxy does by kind of step.
var linkFaults = map[string]proxier.Mode{
	"store-cut":        {DropThere: true, DropBack: true, Refuse: true},
	"store-one-way":    {DropBack: true},
	"links-delayed":    {Delay: 40 * time.Millisecond},
	"links-silent":     {DropThere: true, DropBack: true},
	"links-one-way":    {DropBack: true},
	"upstream-delayed": {Delay: 40 * time.Millisecond},
	"upstream-silent":  {DropThere: true, DropBack: true},
}

// strike carries out one step.
func (s *Soaker) strike(p planner.Step) {
	h := s.hosts[p.Host]
	d := judge.Disturbance{Kind: p.Kind, Host: h.Name, Store: strings.HasPrefix(p.Kind, "store-")}
	switch p.Kind {
	case "stop", "hangup", "replace", "routes":
		d.Planned = true
	}
	if _, ok := storeFaults[p.Kind]; ok || p.Kind == "store-compact" || p.Kind == "kill-many" || p.Kind == "refuse-all" {
		d.Host = ""
	}
	end := s.judge.Disturb(d)
	defer end()
	if f, ok := storeFaults[p.Kind]; ok {
		s.store.SetFaults(f)
		time.Sleep(p.For)
		s.store.SetFaults(storeserver.Faults{})
		return
	}
	if f, ok := workerFaults[p.Kind]; ok {
		s.setFaults(p, f)
		time.Sleep(p.For)
		s.setFaults(p, worker.Faults{})
		return
	}
	if m, ok := linkFaults[p.Kind]; ok {
		disturb(proxyOf(h, p.Kind), m, p.For)
		return
	}
	s.act(p, h)
}

// setFaults changes how the upstream of the step's host fails, or all upstreams of its service.
func (s *Soaker) setFaults(p planner.Step, f worker.Faults) {
	for i, h := range s.hosts {
		if i == p.Host || p.Kind == "refuse-all" && h.Worker.Service == s.hosts[p.Host].Worker.Service {
			h.Worker.SetFaults(f)
		}
	}
}

func proxyOf(h *hoster.Hoster, kind string) *proxier.Proxier {
	switch {
	case strings.HasPrefix(kind, "store-"):
		return h.ToStore
	case strings.HasPrefix(kind, "links-"):
		return h.ToNode
	}
	return h.ToUpstream
}

// disturb changes a proxy for a time. Connections whose bytes were dropped are of no use afterwards.
func disturb(p *proxier.Proxier, m proxier.Mode, length time.Duration) {
	p.Set(m)
	time.Sleep(length)
	p.Set(proxier.Mode{})
	if m.DropThere || m.DropBack {
		p.Reset()
	}
}

// act carries out the steps that do something at once.
func (s *Soaker) act(p planner.Step, h *hoster.Hoster) {
	switch p.Kind {
	case "stop":
		s.alone(h, func() { s.stop(h) })
	case "kill":
		s.alone(h, func() { s.restart(h, p.For/2) })
	case "kill-many":
		s.killMany(p)
	case "pause":
		s.alone(h, func() {
			h.Signal(syscall.SIGSTOP)
			time.Sleep(p.For)
			h.Signal(syscall.SIGCONT)
		})
	case "hangup":
		h.Signal(syscall.SIGHUP)
	case "routes":
		s.writeRoutes()
	case "replace":
		s.alone(h.Worker, func() { s.replace(h) })
	case "crash":
		s.alone(h.Worker, func() {
			h.Worker.Crash()
			time.Sleep(p.For)
			s.startWorker(h)
		})
	case "store-compact":
		s.store.Compact()
	case "record-removed":
		s.store.Remove(storeserver.MembersPrefix + h.Name)
	case "links-reset":
		h.ToNode.Reset()
	case "upstream-reset":
		h.ToUpstream.Reset()
	}
}

// alone runs fn unless something else of this sort goes on at the same thing.
func (s *Soaker) alone(what any, fn func()) {
	if _, busy := s.busy.LoadOrStore(what, true); busy {
		return
	}
	defer s.busy.Delete(what)
	fn()
}

// stop is a planned restart: the callers keep their connections until the process is gone.
func (s *Soaker) stop(h *hoster.Hoster) {
	if !h.Stop() {
		s.judge.Find("stop", "", "%s was still there %s after SIGTERM", h.Name, hoster.StopTime)
	}
	s.start(h)
}

func (s *Soaker) restart(h *hoster.Hoster, pause time.Duration) {
	h.Kill()
	time.Sleep(pause)
	s.start(h)
}

func (s *Soaker) start(h *hoster.Hoster) {
	time.Sleep(restartTime)
	if err := h.Start(); err != nil {
		s.judge.Find("process", "", "%s was not started: %v", h.Name, err)
	}
}

func (s *Soaker) killMany(p planner.Step) {
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		if rand.Float64() < manyShare {
			wg.Go(func() { s.alone(h, func() { s.restart(h, p.For/2) }) })
		}
	}
	wg.Wait()
}

// replace drains an upstream and starts a new instance in its place.
func (s *Soaker) replace(h *hoster.Hoster) {
	h.Worker.Drain()
	limit := time.Now().Add(hoster.StopTime)
	for h.Worker.Announce(h.Announcements) != nil && time.Now().Before(limit) {
		time.Sleep(50 * time.Millisecond)
	}
	s.judge.Drained(h.Name, h.Worker.Instance())
	time.Sleep(hoster.DrainTime + lingerTime)
	// A node that is down does not hear of it; the upstream ends anyway.
	_ = h.Worker.Depart(h.Announcements)
	h.Worker.Crash()
	s.startWorker(h)
}

func (s *Soaker) startWorker(h *hoster.Hoster) {
	time.Sleep(restartTime)
	if err := h.Worker.Start(h.Worker.Address()); err != nil {
		s.judge.Find("process", "", "the upstream of %s was not started: %v", h.Name, err)
		return
	}
	// A node that is down takes no heartbeat; the next one follows.
	_ = h.Worker.Announce(h.Announcements)
}
