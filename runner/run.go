package runner

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
	"hornbeamcroft/tracer"
)

// startRun records that the call starts at the upstream. It returns the upstream that the call is sent to, and the run. The
// run is nil if the upstream was deregistered or began to drain after the call was admitted.
func (r *Runner) startRun(id uint64, call hornbeamcroft.Call, arrived time.Duration) (observer.Upstream, *tracer.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailableCode() != 0 {
		return r.upstream, nil
	}
	r.countSend(call)
	r.running[id] = call.Fingerprint
	switch now := r.Clock.Now(); {
	case call.Retry && call.Sends == 0:
		r.Rationer.CountInducedRetry(now, r.Service)
	case call.Sends == 0:
		r.Rationer.CountRequest(now, r.Service)
	}
	return r.upstream, r.tracer.Open(tracer.Run{
		Attempt: call.Attempt, Root: call.Request, Importance: call.Importance, Depth: call.Depth, Tenant: call.Tenant,
		Deadline: arrived + call.Remaining, Objective: arrived + call.Objective,
		Retry: call.Retry, Weight: call.Weight, Started: r.Clock.Now(),
	})
}

// recordOwnTime adds the own time of a run to the estimate of the attempt timeout if the status is below 300. It ignores
// other runs, because a run that fails ends early. The caller must hold r.mu.
func (r *Runner) recordOwnTime(call hornbeamcroft.Call, run *tracer.Run, res exchanger.Result) {
	if res.Status < 300 {
		ownTime, _ := run.OwnTime(r.Clock.Now())
		r.timeoutEstimator.AddOwnTime(call.Type, ownTime)
	}
}

// endRun records that the call has ended at the upstream and returns the calls that its run made.
func (r *Runner) endRun(id uint64, run *tracer.Run, call hornbeamcroft.Call, res exchanger.Result) []hornbeamcroft.ServiceCalls {
	r.mu.Lock()
	serviceCalls := r.closeRun(id, run, call)
	if res.Outcome.Answered() {
		r.crashed = false
		r.recordOwnTime(call, run, res)
	}
	r.mu.Unlock()
	if res.Outcome.Answered() && r.OnCleared != nil {
		r.OnCleared(call.Fingerprint)
	}
	return serviceCalls
}

// closeRun removes a run and returns the calls that it made. The caller must hold r.mu.
func (r *Runner) closeRun(id uint64, run *tracer.Run, call hornbeamcroft.Call) []hornbeamcroft.ServiceCalls {
	delete(r.running, id)
	serviceCalls := r.tracer.Close(run)
	if len(serviceCalls) > 0 {
		r.recordRouteWithCalls(call.Type)
	}
	return serviceCalls
}
