package agent

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/recorder"
)

// serveCaller delivers a request of a caller that is no call of a running request. remaining is how long the caller waits for the
// answer.
func (a *Agent) serveCaller(ctx context.Context, call hornbeamcroft.Call, route hornbeamcroft.Route, remaining time.Duration,
) hornbeamcroft.Answer {
	a.callerRequests.Add(1) // a planned stop waits for those that wait for a permit too
	var end callerEnd
	defer func() { end.run(a) }()
	permit, refusal := a.obtainPermit(ctx, &call)
	if refusal != nil {
		a.recordTenantRejected(call.Attempt, call.Tenant, *refusal, nil)
		return *refusal
	}
	age := a.courier.Age(route.Name, remaining)
	call.Objective -= age
	if a.stopping.Load() {
		end.untrack = a.trackTaken(call)
	}
	if call.Remaining <= 0 {
		a.giveBackPermit(call.Tenant, permit)
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	begin := a.clock.Now()
	answer := a.deliver(ctx, call, route, age)
	if answer.Code.Claim() == hornbeamcroft.ClaimNotRun {
		a.giveBackPermit(call.Tenant, permit)
	}
	if answer.Stream != nil {
		answer = a.endCallerWithStream(a.recordAtEnd(a.callers, answer, call, begin), end)
		end.deferred = true
		return answer
	}
	now := a.clock.Now()
	a.callers.record(now, call, now-begin, answer)
	return answer
}

// deliver delivers a call within its remaining time, which bounds the stream of its answer too.
func (a *Agent) deliver(ctx context.Context, call hornbeamcroft.Call, route hornbeamcroft.Route, age time.Duration) hornbeamcroft.Answer {
	ctx, cancel := context.WithTimeout(ctx, call.Remaining)
	answer := a.courier.Deliver(ctx, call, route, age)
	if answer.Stream != nil {
		a.metrics.count("requests/streamed")
	}
	return answer.OnStreamEnd(cancel)
}

// callerEnd is what ends with a caller's request: its place among those that a planned stop waits for.
type callerEnd struct {
	// untrack ends the tracking of a request that was taken during a planned stop; nil if it is not tracked.
	untrack func()
	// deferred is true if the request ends with the stream of its answer.
	deferred bool
}

// run ends the request unless its end is deferred.
func (e callerEnd) run(a *Agent) {
	if e.deferred {
		return
	}
	if e.untrack != nil {
		e.untrack()
	}
	a.callerRequests.Add(-1)
}

// endCallerWithStream returns the answer with a stream that ends the caller's request when it is closed, so that a planned stop lets the
// stream go on until its limit.
func (a *Agent) endCallerWithStream(answer hornbeamcroft.Answer, end callerEnd) hornbeamcroft.Answer {
	return answer.OnStreamEnd(func() { end.run(a) })
}

// endChildWithStream returns the answer with a stream that ends the call of a running request when it is closed.
func (a *Agent) endChildWithStream(answer hornbeamcroft.Answer, attempt, service string) hornbeamcroft.Answer {
	serviceCalls := answer.ServiceCalls
	return answer.OnStreamEnd(func() { a.runner.ChildEnded(attempt, service, serviceCalls) })
}

// recordAtEnd returns the answer with a stream that records, when it is closed, how long the call has taken since its begin.
func (a *Agent) recordAtEnd(g *stopGate, answer hornbeamcroft.Answer, call hornbeamcroft.Call, begin time.Duration) hornbeamcroft.Answer {
	return answer.OnStreamEnd(func() {
		now := a.clock.Now()
		g.record(now, call, now-begin, answer)
	})
}

// recordBroken counts and logs an answer that was broken off after its head had been sent to the caller.
func (a *Agent) recordBroken(attempt string, err error) {
	a.metrics.count("requests/broken-off")
	if a.recorder.Allow(recorder.Failed) {
		a.Log.Info().Str("id", attempt).Err(err).Msg("way-in: answer broken off")
	}
}
