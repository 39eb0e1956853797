package server

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

const (
	// probeInterval is the interval between probes of a reachable upstream. A probe opens one connection on the
	// same host.
	probeInterval = time.Second
	// downProbeInterval is the interval between probes of an unreachable upstream. It is shorter, so that the upstream
	// gets work soon after its start.
	downProbeInterval = 100 * time.Millisecond
	// epochWaitTime is how long after its start the node waits for the first read of the roster epoch before it
	// announces itself as serving without it.
	epochWaitTime = 2 * time.Second
)

// watchUpstream probes the local upstream until ctx ends. It announces the node as serving while it is ready, and as
// starting otherwise. The node is ready if the upstream accepts connections, and if the arbiter is ready or the node
// runs for longer than epochWaitTime.
func (s *Server) watchUpstream(ctx context.Context) {
	wasReady := false
	for ctx.Err() == nil {
		ready := s.dispatcher.Probe(ctx) && (s.arbiter.Ready() || s.clock.Now() > epochWaitTime)
		if ready != wasReady || (ready && s.members.self().State == hornbeamcroft.MemberStarting) {
			wasReady = ready
			s.announceUpstream(ready)
		}
		if ready {
			sleeper.Sleep(ctx, probeInterval)
		} else {
			sleeper.Sleep(ctx, downProbeInterval)
		}
	}
}

// announceUpstream announces the node as serving if ready is true, and as starting otherwise. It does nothing while the
// node is draining.
func (s *Server) announceUpstream(ready bool) {
	if s.drain.isDraining() {
		return
	}
	state := hornbeamcroft.MemberStarting
	if ready {
		state = hornbeamcroft.MemberServing
		s.executor.MarkRecovered()
	}
	s.Log.Info().Bool("reachable", ready).Msg("server: upstream changed")
	s.members.announce(state)
}
