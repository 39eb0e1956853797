package agent

import (
	"context"
	"time"
)

const (
	// noticeTime is how long callers may still be sent here after the node has said that it is not ready: the platform
	// asks once a second, and two misses take the node out.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is the part of the time until SIGKILL that is left for ending, on a host that is short of processor time.
	stopMargin = 800 * time.Millisecond
	// leastFinish and mostFinish bound the time that is left for calls of other nodes to finish; it is finishHolds times
	// what a call usually takes.
	leastFinish = 500 * time.Millisecond
	mostFinish  = 2 * time.Second
	finishHolds = 4
	// callersFinish is the time that is left for requests of callers to finish, which may make several calls each. Those that
	// still come in it are refused as not run: they would be cut.
	callersFinish = 1500 * time.Millisecond
	// stopTick is how often a stop looks whether its next step is due.
	stopTick = 20 * time.Millisecond
	// shutdownTime bounds the closing of the connections of callers.
	shutdownTime = 200 * time.Millisecond
)

// stop carries out a planned stop. The node is not ready at once, but goes on as usual while callers are still sent to it
// or are served: an upstream that goes on is of no use without it. Then it takes no more requests of callers and no more calls
// of other nodes, and ends when nothing is in flight or the time is up.
func (a *Agent) stop() {
	begin := time.Now()
	a.stopping.Store(true)
	a.Log.Info().Int64("callers", a.outside.Load()).Int("running", a.runner.Running()).Msg("agent: planned stop begins")
	limit := a.Bounds.StopTime - stopMargin
	finish := min(max(finishHolds*a.runner.Load().Hold, leastFinish), mostFinish)
	await(func() bool {
		elapsed := time.Since(begin)
		a.ending.Store(elapsed >= limit-callersFinish)
		return elapsed >= limit-finish || elapsed >= noticeTime && a.outside.Load() == 0
	})
	a.ending.Store(true)
	a.closed.Store(true)
	a.upstreamMu.Lock()
	a.sequence++
	a.upstreamMu.Unlock()
	a.writeMember()
	a.announce()
	await(func() bool {
		return time.Since(begin) >= limit || a.wayIn.InFlight() == 0 && a.runner.Running() == 0
	})
	a.Log.Info().Int("callers", a.wayIn.InFlight()).Int("running", a.runner.Running()).
		Int64("took-ms", time.Since(begin).Milliseconds()).Msg("agent: planned stop ends")
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if err := a.wayIn.Shutdown(ctx); err != nil {
		a.Log.Warn().Err(err).Msg("agent: requests in flight are cut")
	}
}

// await returns when done reports true.
func await(done func() bool) {
	for !done() {
		time.Sleep(stopTick)
	}
}
