package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/platform/standin/caller"
)

const (
	// poisonTarget is the target of the requests that crash the upstreams that run them.
	poisonTarget = "/" + judge.TypePoison + "/same"
	// poisonInterval is the time between two of these requests, poisonLead that from the first one to the first restart of a node, and
	// poisonPause that between two restarts.
	poisonInterval = 250 * time.Millisecond
	poisonLead     = 5 * time.Second
	poisonPause    = 2 * time.Second
	// upstreamInterval is the time between two looks for upstreams that have crashed.
	upstreamInterval = 100 * time.Millisecond
)

// rollWithPoison sends requests that crash upstreams, and restarts the nodes of their service in turn meanwhile, the one of the step first.
func (s *Soaker) rollWithPoison(p planner.Step) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { s.sendPoison(ctx) })
	wg.Go(func() { s.reviveUpstreams(ctx) })
	time.Sleep(poisonLead)
	for i := range s.hosts {
		host := (p.Host + i) % len(s.hosts)
		if s.hosts[host].Worker.Service == requestTypes[judge.TypePoison].service {
			s.runStep(planner.Step{Kind: "stop", Host: host})
			time.Sleep(poisonPause)
		}
	}
	cancel()
	wg.Wait()
}

// sendPoison sends requests that crash upstreams, each to any host, until ctx ends and all of them are answered.
func (s *Soaker) sendPoison(ctx context.Context) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(poisonInterval)
		wg.Go(func() {
			h, rt := s.hosts[rand.IntN(len(s.hosts))], requestTypes[judge.TypePoison]
			c := &caller.Caller{Address: h.Ingress}
			defer c.Close()
			s.sendTarget(c, h, rt, poisonTarget, s.newID(), rt.deadline, false)
		})
	}
	wg.Wait()
}

// reviveUpstreams starts upstreams that have crashed again, until ctx ends and all of them run. Those that another step ends are started by it.
func (s *Soaker) reviveUpstreams(ctx context.Context) {
	for down := true; down || ctx.Err() == nil; time.Sleep(upstreamInterval) {
		down = false
		for _, h := range s.hosts {
			s.exclusive(h.Worker, func() {
				if !h.Worker.Alive() {
					s.startWorker(h)
				}
			})
			down = down || !h.Worker.Alive()
		}
	}
}
