package server

import (
	"context"
	"time"

	"hornbeamcroft"
)

// leaveTime is how long the node keeps its links after it has announced that it left, so that the announcement arrives.
const leaveTime = 200 * time.Millisecond

// leaveRosterTime bounds the wait for a roster epoch without this node.
const leaveRosterTime = 5 * time.Second

// startDrain begins a planned stop; further calls change nothing.
func (s *Server) startDrain() {
	s.drainOnce.Do(func() { close(s.drainStart) })
}

// drain announces the planned stop, refuses new work, and waits until what is in flight has ended.
func (s *Server) drain() {
	s.Log.Info().Msg("server: draining")
	s.drainedAt.Store(int64(s.clock.Now()))
	s.draining.Store(true)
	s.members.announce(hornbeamcroft.MemberDraining)
	ctx, cancel := context.WithTimeout(context.Background(), s.Settings.Node.DrainTimeout)
	defer cancel()
	// Peers that have not yet heard of the drain still send calls; these are refused and go elsewhere.
	pause(ctx, leaveTime)
	for ctx.Err() == nil && s.serving.Load()+s.outside.Load() > 0 {
		pause(ctx, 5*time.Millisecond)
	}
	if n := s.serving.Load() + s.outside.Load(); n > 0 {
		s.Log.Warn().Int64("calls", n).Msg("server: drain timeout, calls are cut")
	}
	s.leaveRoster(ctx)
	s.members.announce(hornbeamcroft.MemberLeft)
	time.Sleep(leaveTime)
}

// leaveRoster waits until the service's roster epoch is without this node and its key records are handed over. While the
// store is down the epoch cannot change, and the records are lost.
func (s *Server) leaveRoster(ctx context.Context) {
	if s.arbiter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveRosterTime)
	defer cancel()
	for ctx.Err() == nil && !s.arbiter.Left() {
		pause(ctx, 10*time.Millisecond)
	}
	if ctx.Err() != nil {
		s.Log.Warn().Msg("server: left without handing over key records")
	}
}
