package agent

import (
	"time"

	"hornbeamcroft"
)

// takenRequest is a caller's request that was taken during a planned stop, at the time since its begin.
type takenRequest struct {
	call hornbeamcroft.Call
	at   time.Duration
}

// trackTaken records that the node has taken a caller's request during a planned stop, and returns the function to call at its end.
func (a *Agent) trackTaken(call hornbeamcroft.Call) func() {
	t := &takenRequest{call: call, at: a.clock.Now() - a.stopBegan}
	a.takenAtStop.Store(t, nil)
	return func() { a.takenAtStop.Delete(t) }
}

// maxLoggedLeftOver is the maximum number of requests that are logged as left over by a planned stop.
const maxLoggedLeftOver = 50

// logLeftOver logs the requests in flight that were taken during the stop. Those that shutdownTimeout does not suffice for are
// cut off.
func (a *Agent) logLeftOver() {
	logged := 0
	a.takenAtStop.Range(func(key, _ any) bool {
		t := key.(*takenRequest)
		a.Log.Warn().Str("id", t.call.Attempt).Str("route", t.call.Type).Int64("taken-ms", t.at.Milliseconds()).
			Int64("remaining-ms", t.call.Remaining.Milliseconds()).Msg("agent: request left over by the stop")
		logged++
		return logged < maxLoggedLeftOver
	})
}
