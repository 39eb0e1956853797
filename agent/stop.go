package agent

import (
	"context"
	"time"
)

const (
	// readinessLag is how long the platform may still send callers to the node after its readiness probe has begun to fail:
	// the platform probes once a second and removes the node after two failed probes.
	readinessLag = 2500 * time.Millisecond
	// stopMargin is the part of the time between SIGTERM and SIGKILL that is reserved for exiting, on a host that is
	// short of processor time.
	stopMargin = 400 * time.Millisecond
	// lastCallsTime is the time at the end of a planned stop in which nothing new is taken, so that other nodes learn that this
	// one takes no more calls before its links close.
	lastCallsTime = 800 * time.Millisecond
	// stopPollInterval is the interval at which a planned stop checks whether its next step is due.
	stopPollInterval = 20 * time.Millisecond
	// shutdownTimeout is the maximum time for closing the callers' connections. Requests in flight still end in it.
	shutdownTimeout = 300 * time.Millisecond
)

// stopLimit returns the time from SIGTERM until a planned stop cuts off what is in flight.
func (a *Agent) stopLimit() time.Duration { return a.Bounds.StopGracePeriod - stopMargin }

// stop carries out a planned stop. The readiness probe fails from the beginning, but the node works as usual while callers
// may still be sent to it or are being served, because its upstream, which may keep running, is not reachable without the
// node. It refuses what would not end before the process. At last it refuses all requests of callers and calls of other nodes,
// and stop returns when nothing is in flight or the time is up.
func (a *Agent) stop() {
	begin := a.clock.Now()
	a.stopBegan = begin
	a.callers.begin(begin)
	a.peers.begin(begin)
	a.stopping.Store(true)
	a.Log.Info().Int64("callers", a.callerRequests.Load()).Int("running", a.runner.Running()).Msg("agent: planned stop begins")
	limit := a.stopLimit()
	pollUntil(func() bool {
		elapsed := a.clock.Now() - begin
		return elapsed >= limit-lastCallsTime || elapsed >= readinessLag && a.callerRequests.Load() == 0
	})
	a.callers.closed.Store(true)
	a.peers.closed.Store(true)
	a.upstreamMu.Lock()
	a.recordSequence++
	a.upstreamMu.Unlock()
	a.updateOwnMember()
	a.broadcastNodeState()
	idle := func() bool { return a.runner.Running() == 0 && a.links.RunningCalls() == 0 }
	pollUntil(func() bool {
		return a.clock.Now()-begin >= limit-shutdownTimeout || a.ingress.InFlight() == 0 && idle()
	})
	a.Log.Info().Int("callers", a.ingress.InFlight()).Int("running", a.runner.Running()).
		Int64("took-ms", (a.clock.Now() - begin).Milliseconds()).Msg("agent: planned stop ends")
	a.logLeftOver()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := a.ingress.Shutdown(ctx); err != nil {
		a.Log.Warn().Err(err).Msg("agent: planned stop cuts off requests in flight")
	}
	pollUntil(func() bool { return a.clock.Now()-begin >= limit || idle() })
}

// pollUntil polls done every stopPollInterval and returns when it reports true.
func pollUntil(done func() bool) {
	for !done() {
		time.Sleep(stopPollInterval)
	}
}
