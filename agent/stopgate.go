package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/stopper"
)

const (
	// restartTime is about how long the node needs from the end of its process until it is ready again.
	restartTime = time.Second
	// minStopRetryAfter is the minimum delay, and stopRetrySpread the random part of it, after which a caller may come back that
	// is refused during a stop. The random part keeps the refused callers from returning together.
	minStopRetryAfter = 300 * time.Millisecond
	stopRetrySpread   = 500 * time.Millisecond
)

// certainTime is the time after SIGTERM from which a request that is cut off counts as a fault of the node, less the time in which a
// request travels to the node and waits to be read.
const certainTime = 3*time.Second - 300*time.Millisecond

// stopGate decides what the node takes while it stops. It is safe for concurrent use.
type stopGate struct {
	// closed is set when nothing new is taken any more.
	closed atomic.Bool
	mu     sync.Mutex
	// stopper decides until then.
	stopper stopper.Stopper
	// began is when the stop began.
	began time.Duration
}

func (g *stopGate) begin(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopper.Begin(now)
	g.began = now
}

// takes reports whether a request of a caller is taken.
func (g *stopGate) takes(now time.Duration, call hornbeamcroft.Call) bool {
	if g.closed.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopper.Takes(now, call.Type, call.Remaining)
}

// takesCall reports whether a call of another node is taken. One that may be sent again is taken as long as it would end in its
// usual time: if it is cut off, its sender sends it to another node.
func (g *stopGate) takesCall(now time.Duration, call hornbeamcroft.Call) bool {
	if !call.Idempotent {
		return g.takes(now, call)
	}
	if g.closed.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopper.TakesBounded(now, call.Remaining) || g.stopper.TakesUsual(now, call.Type)
}

// takesChild reports whether a call made by a running request is taken. It is taken as long as requests are, whatever its type
// needs, and until the end if its deadline, which is at most that of the running request, ends it before the process. That the gate is
// closed does not matter: the process does not end before the running request.
func (g *stopGate) takesChild(now time.Duration, call hornbeamcroft.Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now-g.began < certainTime || g.stopper.TakesBounded(now, call.Remaining)
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
	return &stopGate{stopper: stopper.Stopper{Grace: limit, Notice: readinessLag, Certain: certainTime}}
}
