package agent

import (
	"context"
	"time"
)

const (
	// noticeTime is how long callers may still be sent here after the node has said that it is not ready: the platform
	// asks once a second, and two misses take the node out.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is the part of the time until SIGKILL that is left for ending.
	stopMargin = 400 * time.Millisecond
	// stopTick is how often a stop looks whether it is done.
	stopTick = 20 * time.Millisecond
	// shutdownTime bounds the closing of the connections of callers.
	shutdownTime = 200 * time.Millisecond
)

// stop carries out a planned stop: the node is not ready at once, its peers send it nothing more, it serves the callers
// that still come, and it ends when nothing is in flight or the time is up.
func (a *Agent) stop() {
	a.stopping.Store(true)
	a.upstreamMu.Lock()
	a.sequence++
	a.upstreamMu.Unlock()
	a.Log.Info().Int("callers", a.wayIn.InFlight()).Int("running", a.runner.Running()).Msg("agent: planned stop begins")
	a.writeMember()
	a.announce()
	begin := time.Now()
	limit := a.Bounds.StopTime - stopMargin
	for time.Since(begin) < limit {
		idle := a.wayIn.InFlight() == 0 && a.runner.Running() == 0
		if idle && time.Since(begin) >= noticeTime {
			break
		}
		time.Sleep(stopTick)
	}
	a.Log.Info().Int("callers", a.wayIn.InFlight()).Int("running", a.runner.Running()).
		Int64("took-ms", time.Since(begin).Milliseconds()).Msg("agent: planned stop ends")
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if err := a.wayIn.Shutdown(ctx); err != nil {
		a.Log.Warn().Err(err).Msg("agent: requests in flight are cut")
	}
}
