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
	a.upstreamMu.Lock()
	before := a.observer.Upstream()
	changed := a.observer.ApplyStatement(to.Instance, to.Born, s)
	u := a.observer.Upstream()
	a.upstreamMu.Unlock()
	if !changed {
		return
	}
	if before.State != u.State {
		a.applyUpstream(false)
	} else {
		a.runner.SetUpstream(u)
	}
	if before.Statement.Limited != s.Limited || before.Statement.Leaving != s.Leaving {
		a.Log.Info().Str("instance", to.Instance).Bool("leaving", s.Leaving).Bool("limited", s.Limited).
			Float64("rate-limit", s.RateLimit).Msg("observer: upstream states")
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
