package agent

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/observer"
)

// rateLogInterval is the time between two log lines on the calls to an upstream that states a rate limit.
const rateLogInterval = time.Second

// rateLog holds what the last log line on an upstream with a rate limit reported.
type rateLog struct {
	at             time.Duration
	sends, resends int64
}

// onStatement applies what the upstream stated about itself in an answer. It is in force before onStatement returns, and so
// before the answer is passed on.
func (a *Agent) onStatement(to observer.Upstream, s hornbeamcroft.Statement) {
	at := observer.Moment{Monotonic: a.clock.Now(), UnixMilli: time.Now().UnixMilli()}
	a.applyStatement("answer", func() bool { return a.observer.ApplyStatement(at, to.Instance, to.Born, s) })
}

// onReport applies a statement of the upstream of which the sender of a call knows.
func (a *Agent) onReport(s hornbeamcroft.InstanceStatement) {
	a.applyStatement("sender", func() bool { return a.observer.ApplyReport(s) })
}

// applyStatement calls apply, which changes the state of the upstream, and puts a changed state in force.
func (a *Agent) applyStatement(source string, apply func() bool) {
	a.upstreamMu.Lock()
	before := a.observer.Upstream()
	changed := apply()
	u := a.observer.Upstream()
	if changed {
		a.runner.SetUpstream(u)
	}
	a.upstreamMu.Unlock()
	if !changed {
		return
	}
	if before.State != u.State {
		a.applyUpstream(false)
	}
	if before.Statement.Limited != u.Statement.Limited || before.Statement.Leaving != u.Statement.Leaving {
		a.Log.Info().Str("instance", u.Instance).Str("source", source).Bool("leaving", u.Statement.Leaving).
			Bool("limited", u.Statement.Limited).Float64("rate-limit", u.Statement.RateLimit).Msg("observer: upstream states")
	}
}

// logRate logs how many calls an upstream with a rate limit has got since the last line, and how many of them were repeats.
func (a *Agent) logRate(last *rateLog) {
	now := a.clock.Now()
	if now-last.at < rateLogInterval {
		return
	}
	sends, resends := a.runner.Sends()
	if u := a.runner.Upstream(); u.Statement.Limited {
		a.Log.Info().Str("instance", u.Instance).Float64("rate-limit", u.Statement.RateLimit).Int64("sends", sends-last.sends).
			Int64("repeats", resends-last.resends).Int64("ms", (now - last.at).Milliseconds()).Msg("runner: calls to a limited upstream")
	}
	*last = rateLog{at: now, sends: sends, resends: resends}
}
