package server

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

const (
	// probeInterval is the interval between probes of a reachable upstream. A probe costs one connection on the same
	// host.
	probeInterval = time.Second
	// downProbeInterval is the interval between probes of an unreachable upstream. It is shorter, so that the upstream
	// gets work soon after its start.
	downProbeInterval = 100 * time.Millisecond
	// epochWaitTime is how long after its start the node waits for the first read of the roster epoch before it
	// announces itself as serving without it.
	epochWaitTime = 2 * time.Second
)

// watchUpstream probes the local upstream until ctx ends. It announces the node as serving while the upstream accepts
// connections, and as starting otherwise.
func (s *Server) watchUpstream(ctx context.Context) {
	reachable := false
	for ctx.Err() == nil {
		ready := s.dispatcher.Probe(ctx) && (s.arbiter.Ready() || s.clock.Now() > epochWaitTime)
		if ready != reachable || (ready && s.members.self().State == hornbeamcroft.MemberStarting) {
			reachable = ready
			s.announceUpstream(ready)
		}
		if ready {
			sleeper.Sleep(ctx, probeInterval)
		} else {
			sleeper.Sleep(ctx, downProbeInterval)
		}
	}
}

// announceUpstream announces whether the local upstream is reachable. It does nothing while the node is draining.
func (s *Server) announceUpstream(reachable bool) {
	if s.drain.isDraining() {
		return
	}
	state := hornbeamcroft.MemberStarting
	if reachable {
		state = hornbeamcroft.MemberServing
		s.executor.MarkRecovered()
	}
	s.Log.Info().Bool("reachable", reachable).Msg("server: upstream changed")
	s.members.announce(state)
}
