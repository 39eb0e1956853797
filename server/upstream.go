package server

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

const (
	// upstreamInterval is how often a reachable upstream is probed; on the same host a probe is one connection.
	upstreamInterval = time.Second
	// upstreamDownInterval applies while the upstream cannot be reached, so that it gets work soon after its start.
	upstreamDownInterval = 100 * time.Millisecond
	// readyTime bounds the wait for a first read of the roster epoch before the node announces itself as serving.
	readyTime = 2 * time.Second
)

// watchUpstream announces the node as serving while its upstream accepts connections.
func (s *Server) watchUpstream(ctx context.Context) {
	up := false
	for ctx.Err() == nil {
		ok := s.dispatcher.Probe(ctx) && (s.arbiter.Ready() || s.clock.Now() > readyTime)
		if ok != up || (ok && s.members.self().State == hornbeamcroft.MemberStarting) {
			up = ok
			s.announceUpstream(ok)
		}
		if ok {
			sleeper.Sleep(ctx, upstreamInterval)
		} else {
			sleeper.Sleep(ctx, upstreamDownInterval)
		}
	}
}

func (s *Server) announceUpstream(up bool) {
	if s.drain.active() {
		return
	}
	state := hornbeamcroft.MemberStarting
	if up {
		state = hornbeamcroft.MemberServing
		s.executor.Recovered()
	}
	s.Log.Info().Bool("reachable", up).Msg("server: upstream changed")
	s.members.announce(state)
}
