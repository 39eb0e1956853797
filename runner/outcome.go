package runner

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/rationer"
)

// grant reports whether the call may be sent once more, and takes the repeat from the allowance.
func (r *Runner) grant(call hornbeamcroft.Call, a hornbeamcroft.Answer) bool {
	mayHaveRun := false
	switch a.Code {
	case hornbeamcroft.CodeUpstreamRefused:
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated:
		mayHaveRun = true
	case hornbeamcroft.CodeAnswered:
		// A failure of a run that made calls is most likely one of those, and they were repeated already.
		if a.Status < 500 || len(a.Reach) > 0 {
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
	return r.allow(call, mayHaveRun)
}

// allow takes a repeat of the call from the allowance and reports whether there was one. The lock is held.
func (r *Runner) allow(call hornbeamcroft.Call, mayHaveRun bool) bool {
	calls := r.calls[call.Type]
	return r.Rationer.Allow(r.Clock.Now(), rationer.Repeat{
		Service: call.Service, Subtree: calls && mayHaveRun, Depth: call.Depth, Single: call.Depth == 1 && !calls,
		Importance: call.Importance, Hash: admitter.Hash(call.Request),
	})
}

// maxTypes bounds the routes that are remembered.
const maxTypes = 4096

// noteCalls remembers that runs of the route make calls of their own. The lock is held.
func (r *Runner) noteCalls(route string) {
	if r.calls == nil || len(r.calls) >= maxTypes {
		r.calls = make(map[string]bool)
	}
	r.calls[route] = true
}

// checkCrash tells a broken connection from a crash: after a crash nothing listens. The report of a crash is complete
// before the answer of any call that ran there, so that a repeat does not overtake it.
func (r *Runner) checkCrash(ctx context.Context, instance string) {
	r.mu.Lock()
	known := r.down
	r.mu.Unlock()
	if known || r.Exchanger.Alive(context.WithoutCancel(ctx)) {
		return
	}
	r.mu.Lock()
	if r.down || r.upstream.Instance != instance {
		r.mu.Unlock()
		return
	}
	r.down = true
	running := make([]uint64, 0, len(r.running))
	for _, f := range r.running {
		running = append(running, f)
	}
	r.mu.Unlock()
	r.OnCrash(running)
}

// sample tells the scheduler how a call ended. The failure of a run that made calls is most likely one of those.
func sample(res exchanger.Result, held time.Duration, called bool) hornbeamcroft.Sample {
	s := hornbeamcroft.Sample{ServiceTime: held}
	switch res.Outcome {
	case exchanger.OutcomeAnswered:
		s.Failed = res.Status >= 500 && !called
	case exchanger.OutcomeNotRun:
		s.Overloaded = true
	case exchanger.OutcomeLost, exchanger.OutcomeSpoilt:
		s.Failed = true
	default:
		s.Ignore = true
	}
	return s
}

// answer states what became of the call.
func answer(ctx context.Context, res exchanger.Result) hornbeamcroft.Answer {
	switch res.Outcome {
	case exchanger.OutcomeAnswered:
		return hornbeamcroft.Answer{
			Code: hornbeamcroft.CodeAnswered, Status: res.Status, Header: res.Header, Body: res.Body,
		}
	case exchanger.OutcomeNotSent:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, RetryAfter: busyRetry}
	case exchanger.OutcomeNotRun:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamRefused, RetryAfter: busyRetry}
	case exchanger.OutcomeWrongInstance:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamNotRegistered, RetryAfter: busyRetry}
	case exchanger.OutcomeSpoilt:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswerTruncated}
	case exchanger.OutcomeEnded:
		return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
}
