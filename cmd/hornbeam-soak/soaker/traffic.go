package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/platform/standin/caller"
)

// sendHeartbeats sends the heartbeats of an upstream until ctx ends.
func (s *Soaker) sendHeartbeats(ctx context.Context, h *hoster.Hoster) {
	t := time.NewTicker(hoster.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if _, quiet := s.quiet.Load(h.Worker); !quiet && h.Worker.Alive() && !h.Worker.Draining() {
				// The error is ignored: the node may be down, and the next heartbeat follows.
				_ = h.Worker.Announce(h.Announcements)
			}
		}
	}
}

// runCaller sends the requests of one caller until ctx ends. It uses one connection for as long as that stays open.
func (s *Soaker) runCaller(ctx context.Context, h *hoster.Hoster) {
	c := &caller.Caller{Address: h.Ingress}
	defer c.Close()
	names, types := []string{"lookup", "order", "deposit"}, s.types()
	for ctx.Err() == nil {
		rt := types[names[rand.IntN(len(names))]]
		if o := s.send(c, h, rt, s.newID(), rt.deadline, true); o.Err != nil && o.SentAt.IsZero() {
			// The node does not listen at the moment.
			time.Sleep(thinkTime)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
	}
}

// newID returns an attempt ID that no other attempt of the run has.
func (s *Soaker) newID() string {
	s.idMu.Lock()
	defer s.idMu.Unlock()
	s.nextID++
	return fmt.Sprintf("a%d-%d", s.Seed, s.nextID)
}

// send sends one attempt to the node of the host, and adds the attempt and its outcome to the judge.
func (s *Soaker) send(c *caller.Caller, h *hoster.Hoster, rt requestType, id string, remaining time.Duration, fromCaller bool,
) caller.Outcome {
	return s.sendTarget(c, h, rt, "/"+rt.name+"/"+id, id, remaining, fromCaller)
}

// sendTarget is send with the given target.
func (s *Soaker) sendTarget(
	c *caller.Caller, h *hoster.Hoster, rt requestType, target, id string, remaining time.Duration, fromCaller bool,
) caller.Outcome {
	a := caller.Attempt{
		ID: id, Method: rt.method, Host: routeHost, Target: target, Remaining: remaining,
	}
	if rt.method == http.MethodPost {
		a.Body = "body of " + id
	}
	s.judge.AddSent(judge.SentAttempt{
		Attempt: a, Host: h.Name, Origin: h.Worker.Service, Service: rt.service, Type: rt.name, Idempotent: rt.idempotent,
		FromCaller: fromCaller, At: time.Now(),
	})
	o := c.Send(a)
	s.judge.AddOutcome(o)
	return o
}
