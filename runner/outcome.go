package runner

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/rationer"
)

// grantsRetry reports whether the answer grants a retry of the call, which may have been granted at the attempt timeout. A failure repeats
// a grant that was sent beside the run, because the answer may overtake it; a sender that has received it ignores the second one.
func (r *Runner) grantsRetry(grant retryGrant, call hornbeamcroft.Call, a hornbeamcroft.Answer) bool {
	switch grant {
	case grantInAnswer:
		return true
	case grantBesideRun:
		return a.Code != hornbeamcroft.CodeAnswered || a.Status >= 500
	}
	return r.grantRetry(call, a)
}

// grantRetry reports whether the sender may retry the call after the answer. If so, it has spent a retry from the retry
// budget.
func (r *Runner) grantRetry(call hornbeamcroft.Call, a hornbeamcroft.Answer) bool {
	mayHaveRun := false
	switch a.Code {
	case hornbeamcroft.CodeUpstreamRefused:
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated:
		mayHaveRun = true
	case hornbeamcroft.CodeAnswered, hornbeamcroft.CodeUnprovenRefusal:
		// If the run made calls, most likely one of them failed, and it has already been retried.
		if a.Code == hornbeamcroft.CodeAnswered && a.Status < 500 || len(a.ServiceCalls) > 0 {
			return false
		}
		mayHaveRun = true
	default:
		return false
	}
	if mayHaveRun && !call.Idempotent {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spendRetry(call, mayHaveRun)
}

// spendRetry spends one retry of the call from the retry budget if the budget allows it, and reports whether it does.
// The caller must hold r.mu.
func (r *Runner) spendRetry(call hornbeamcroft.Call, mayHaveRun bool) bool {
	makesCalls := r.routesWithCalls[call.Type]
	return r.Rationer.Allow(r.Clock.Now(), rationer.Retry{
		Service: call.Service, Subtree: makesCalls && mayHaveRun, Depth: call.Depth, WholeRequest: call.Depth == 1 && !makesCalls,
		Importance: call.Importance, Hash: admitter.Hash(call.Request),
	})
}

// maxRoutes bounds the number of routes in Runner.routesWithCalls. The map is cleared when it is full.
const maxRoutes = 4096

// recordRouteWithCalls records that runs of the route make child calls. The caller must hold r.mu.
func (r *Runner) recordRouteWithCalls(route string) {
	if r.routesWithCalls == nil || len(r.routesWithCalls) >= maxRoutes {
		r.routesWithCalls = make(map[string]bool)
	}
	r.routesWithCalls[route] = true
}

// detectCrash reports a crash of the upstream. It distinguishes a crash from a broken connection: after a crash,
// nothing listens on the address. The call that detects the crash returns only after OnCrash has returned, so that a
// retry of that call does not overtake the report. Other calls that the same crash ended do not wait for OnCrash.
func (r *Runner) detectCrash(ctx context.Context, instance string) {
	r.mu.Lock()
	alreadyReported := r.crashed
	r.mu.Unlock()
	if alreadyReported || r.Exchanger.Alive(context.WithoutCancel(ctx)) {
		return
	}
	r.mu.Lock()
	if r.crashed || r.upstream.Instance != instance {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	running := make([]uint64, 0, len(r.running))
	for _, fingerprint := range r.running {
		running = append(running, fingerprint)
	}
	r.mu.Unlock()
	r.OnCrash(running)
}

// schedulerSample returns the sample by which the scheduler updates its estimates when a call ends. The failure of a run
// that made child calls is most likely a failure of one of them, so it does not count as a failure of the upstream.
func schedulerSample(res exchanger.Result, serviceTime time.Duration, madeCalls bool) hornbeamcroft.Sample {
	s := hornbeamcroft.Sample{ServiceTime: serviceTime}
	switch res.Outcome {
	case exchanger.OutcomeAnswered:
		s.Failed = res.Status >= 500 && !madeCalls
	case exchanger.OutcomeUnprovenRefusal:
		s.Failed = !madeCalls
	case exchanger.OutcomeNotRun:
		s.Overloaded = true
	case exchanger.OutcomeLost, exchanger.OutcomeMalformed:
		s.Failed = true
	default:
		s.Ignore = true
	}
	return s
}

// answerForResult returns the answer of a call whose exchange with the upstream had the given result.
func answerForResult(ctx context.Context, res exchanger.Result) hornbeamcroft.Answer {
	switch res.Outcome {
	case exchanger.OutcomeAnswered:
		return hornbeamcroft.Answer{
			Code: hornbeamcroft.CodeAnswered, Status: res.Status, Header: res.Header, Body: res.Body,
		}
	case exchanger.OutcomeNotSent:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, RetryAfter: busyRetryAfter}
	case exchanger.OutcomeNotRun:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamRefused, RetryAfter: busyRetryAfter}
	case exchanger.OutcomeWrongInstance:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamNotRegistered, RetryAfter: busyRetryAfter}
	case exchanger.OutcomeMalformed:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswerTruncated}
	case exchanger.OutcomeUnprovenRefusal:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUnprovenRefusal}
	case exchanger.OutcomeContextEnded:
		return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
}
