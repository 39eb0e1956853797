package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/stopper"
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
	// restartTime is about how long the node needs from the end of its process until it is ready again.
	restartTime = time.Second
	// minStopRetryAfter is the minimum delay, and stopRetrySpread the random part of it, after which a caller may come back that
	// is refused during a stop. The random part keeps the refused callers from returning together.
	minStopRetryAfter = 300 * time.Millisecond
	stopRetrySpread   = 500 * time.Millisecond
)

// stopGate decides what the node takes while it stops. It is safe for concurrent use.
type stopGate struct {
	// closed is set when nothing new is taken any more.
	closed atomic.Bool
	mu     sync.Mutex
	// stopper decides until then.
	stopper stopper.Stopper
}

func (g *stopGate) begin(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopper.Begin(now)
}

// takes reports whether the call is taken.
func (g *stopGate) takes(now time.Duration, call hornbeamcroft.Call) bool {
	if g.closed.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopper.Takes(now, call.Type, call.Remaining)
}

// record records how long a call took, unless the answer says that it did not run.
func (g *stopGate) record(now time.Duration, call hornbeamcroft.Call, took time.Duration, answer hornbeamcroft.Answer) {
	if answer.Code.Claim() == hornbeamcroft.ClaimNotRun {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopper.Record(now, call.Type, took)
}

// retryAfter returns the time after which a refused caller should come back.
func (g *stopGate) retryAfter(now time.Duration) time.Duration {
	g.mu.Lock()
	d := g.stopper.RetryAfter(now, restartTime)
	g.mu.Unlock()
	spread := time.Duration(randomizer.Randomizer{}.Float64() * float64(stopRetrySpread))
	return max(d, minStopRetryAfter) + spread
}

// newStopGate returns the gate of a node whose planned stop cuts off what is in flight after the time limit.
func newStopGate(limit time.Duration) *stopGate {
	return &stopGate{stopper: stopper.Stopper{Grace: limit, Notice: readinessLag}}
}

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
