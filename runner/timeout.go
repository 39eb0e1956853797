package runner

import (
	"context"
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/tracer"
)

// AttemptTimeoutError is the error of a run that reached its attempt timeout and got no answer, because its answer is presumed
// lost.
type AttemptTimeoutError struct {
	// OwnTime is how long the upstream worked on the run, without the time in which it waited for child calls. Timeout
	// is the attempt timeout that OwnTime reached.
	OwnTime, Timeout time.Duration
}

// Error implements error.
func (e *AttemptTimeoutError) Error() string {
	return fmt.Sprintf("no answer after the upstream worked for %s; attempt timeout is %s", e.OwnTime, e.Timeout)
}

// retryGrant is how the sender is granted the retry of a run that reached its attempt timeout.
type retryGrant uint8

const (
	// noGrant means that the sender has not been granted a retry at the attempt timeout.
	noGrant retryGrant = iota
	// grantInAnswer means that the run was aborted and that its answer grants the retry.
	grantInAnswer
	// grantBesideRun means that Call.OnRetryGranted granted the retry and the run went on.
	grantBesideRun
)

// attemptTimer checks whether the own time of a run has reached the attempt timeout, from which on the answer may be
// lost. It then calls Scheduler.PresumeLost and grants a retry if the call may be retried. The run goes on, because it may merely
// be slow and the retry may be refused: an aborted run would then leave its caller with an error. Only if the sender cannot be
// told of the grant before the answer, the run is aborted. The fields are guarded by Runner.mu.
type attemptTimer struct {
	r       *Runner
	id      uint64
	call    hornbeamcroft.Call
	run     *tracer.Run
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelFunc
	stopped bool
	// err is set when a retry is granted.
	err *AttemptTimeoutError
}

// exchange sends the request to the upstream. It returns how a retry was granted at the attempt timeout; the retry has then been
// spent from the retry budget.
func (r *Runner) exchange(ctx context.Context, id uint64, call hornbeamcroft.Call, run *tracer.Run, q exchanger.Request,
) (exchanger.Result, retryGrant) {
	exchangeCtx, cancel := context.WithCancel(ctx)
	t := r.startAttemptTimer(id, call, run, cancel)
	if t == nil {
		cancel()
		return r.Exchanger.Exchange(ctx, q), noGrant
	}
	res := r.Exchanger.Exchange(exchangeCtx, q)
	granted := t.stop()
	aborted := granted && call.OnRetryGranted == nil
	switch {
	case res.Stream == nil:
		cancel()
	case aborted: // the timer fired while the stream began
		_ = res.Stream.Close()
		res = exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
	default:
		res.Stream = &cancelingStream{ReadCloser: res.Stream, cancel: cancel}
	}
	ended := res.Outcome == exchanger.OutcomeContextEnded
	switch {
	case granted && call.OnRetryGranted != nil:
		if ended {
			res.Err = t.err
		}
		return res, grantBesideRun
	case aborted && ended && ctx.Err() == nil:
		return exchanger.Result{Outcome: exchanger.OutcomeLost, Err: t.err}, grantInAnswer
	}
	return res, noGrant
}

// startAttemptTimer starts the timer of a run. It returns nil if the attempt timeout of the route is not known yet or
// the deadline of the call comes first.
func (r *Runner) startAttemptTimer(id uint64, call hornbeamcroft.Call, run *tracer.Run, cancel context.CancelFunc) *attemptTimer {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeout, known := r.timeoutEstimator.AttemptTimeout(call.Type)
	if !known || timeout >= call.Remaining {
		return nil
	}
	t := &attemptTimer{r: r, id: id, call: call, run: run, timeout: timeout, cancel: cancel}
	t.timer = time.AfterFunc(timeout, t.checkAttemptTimeout)
	return t
}

// timeoutDivisor divides the attempt timeout. The quotient is the shortest interval between two checks of a run, and
// the least time until the deadline for which a retry is worthwhile.
const timeoutDivisor = 4

// checkAttemptTimeout handles the attempt timeout if the own time of the run has reached it, and otherwise sets the timer
// for the next check.
func (t *attemptTimer) checkAttemptTimeout() {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if t.stopped {
		return
	}
	now := t.r.Clock.Now()
	ownTime, waiting := t.run.OwnTime(now)
	if waiting || ownTime < t.timeout {
		t.timer.Reset(max(t.timeout-ownTime, t.timeout/timeoutDivisor))
		return
	}
	decisions, presumedLost := t.r.scheduler.PresumeLost(now, t.id)
	t.r.deliverDecisions(decisions)
	switch {
	case t.err == nil && t.canRetry(now) && t.r.spendRetry(t.call, true):
		t.err = &AttemptTimeoutError{OwnTime: ownTime, Timeout: t.timeout}
		t.grantRetry()
		if !presumedLost {
			t.timer.Reset(t.timeout / timeoutDivisor) // the run may go on and hold its slot
		}
	case t.err == nil && t.canRetry(now):
		// The retry budget did not allow the retry. It counts each call of spendRetry as demand for retries, so the next
		// call follows only after another whole timeout.
		t.timer.Reset(t.timeout)
	case !presumedLost:
		t.timer.Reset(t.timeout / timeoutDivisor)
	}
}

// grantRetry tells the sender that it may retry the call, or aborts the run if the sender cannot be told. The caller must hold
// Runner.mu, so that the sender is told by another goroutine.
func (t *attemptTimer) grantRetry() {
	if t.call.OnRetryGranted != nil {
		t.r.grantsBesideRun++
		go t.call.OnRetryGranted()
		return
	}
	t.cancel()
}

// canRetry reports whether the sender would send the call again and the retry could be answered in time. A run that
// cannot be retried must not be aborted: its answer may still arrive.
func (t *attemptTimer) canRetry(now time.Duration) bool {
	return t.call.Idempotent && t.call.Sends+1 < hornbeamcroft.MaxRuns && t.run.Deadline-now >= t.timeout/timeoutDivisor
}

// stop stops the timer and reports whether it granted a retry.
func (t *attemptTimer) stop() bool {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	return t.err != nil
}
