package server

import (
	"context"
	"time"

	"hornbeamcroft"
)

// leaveTime is how long the node keeps its links after it has announced that it left, so that the announcement arrives.
const leaveTime = 200 * time.Millisecond

// startDrain begins a planned stop; further calls change nothing.
func (s *Server) startDrain() {
	s.drainOnce.Do(func() { close(s.drainStart) })
}

// drain announces the planned stop, refuses new work, and waits until what is in flight has ended.
func (s *Server) drain() {
	s.Log.Info().Msg("server: draining")
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
	s.members.announce(hornbeamcroft.MemberLeft)
	time.Sleep(leaveTime)
}
