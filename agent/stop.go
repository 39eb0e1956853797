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
	stopMargin = 800 * time.Millisecond
	// finishServiceTimeFactor times the time for which a call usually occupies a slot is reserved for calls of other nodes to
	// finish, within the bounds minFinishTime and maxFinishTime.
	minFinishTime           = 500 * time.Millisecond
	maxFinishTime           = 2 * time.Second
	finishServiceTimeFactor = 4
	// callersFinishTime is the time reserved for callers' requests, which may make several calls each, to finish.
	// Requests that arrive in this time are refused as not run, because the end of the process would cut them off.
	callersFinishTime = 1500 * time.Millisecond
	// stopPollInterval is the interval at which a planned stop checks whether its next step is due.
	stopPollInterval = 20 * time.Millisecond
	// shutdownTimeout is the maximum time for closing the callers' connections.
	shutdownTimeout = 300 * time.Millisecond
)

// stop carries out a planned stop. The readiness probe fails from the beginning, but the node works as usual while callers
// may still be sent to it or are being served, because its upstream, which may keep running, is not reachable without the
// node. Then the node refuses requests of callers and calls of other nodes, and stop returns when nothing is in flight or
// the time is up.
func (a *Agent) stop() {
	begin := time.Now()
	a.stopping.Store(true)
	a.Log.Info().Int64("callers", a.callerRequests.Load()).Int("running", a.runner.Running()).Msg("agent: planned stop begins")
	limit := a.Bounds.StopGracePeriod - stopMargin
	finish := min(max(finishServiceTimeFactor*a.runner.Load().ServiceTime, minFinishTime), maxFinishTime)
	pollUntil(func() bool {
		elapsed := time.Since(begin)
		a.refusingCallers.Store(elapsed >= limit-callersFinishTime)
		return elapsed >= limit-finish || elapsed >= readinessLag && a.callerRequests.Load() == 0
	})
	a.refusingCallers.Store(true)
	a.refusingCalls.Store(true)
	a.upstreamMu.Lock()
	a.recordSequence++
	a.upstreamMu.Unlock()
	a.updateOwnMember()
	a.broadcastNodeState()
	pollUntil(func() bool {
		return time.Since(begin) >= limit || a.ingress.InFlight() == 0 && a.runner.Running() == 0
	})
	a.Log.Info().Int("callers", a.ingress.InFlight()).Int("running", a.runner.Running()).
		Int64("took-ms", time.Since(begin).Milliseconds()).Msg("agent: planned stop ends")
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := a.ingress.Shutdown(ctx); err != nil {
		a.Log.Warn().Err(err).Msg("agent: planned stop cuts off requests in flight")
	}
}

// pollUntil polls done every stopPollInterval and returns when it reports true.
func pollUntil(done func() bool) {
	for !done() {
		time.Sleep(stopPollInterval)
	}
}
