package runner

import (
	"context"
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/tracer"
)

// NoAnswerError says that a run was ended because it worked for so long that its answer was taken as lost.
type NoAnswerError struct {
	// Worked is how long the upstream worked itself, Patience from when on an answer is taken as lost.
	Worked, Patience time.Duration
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer after %s of work, taken as lost from %s on", e.Worked, e.Patience)
}

// watch looks after a run that the upstream works on for too long, so that its answer is probably lost. It tells the
// scheduler, and ends the run if the call may be repeated. Otherwise the run goes on, as it may be only slow. The fields are
// guarded by the lock of the runner.
type watch struct {
	r        *Runner
	id       uint64
	call     hornbeamcroft.Call
	run      *tracer.Run
	patience time.Duration
	timer    *time.Timer
	cancel   context.CancelFunc
	over     bool
	gaveUp   *NoAnswerError
}

// exchange sends the request to the upstream. It reports whether it gave up waiting for the answer; a repeat of the call is
// then taken from the allowance.
func (r *Runner) exchange(ctx context.Context, id uint64, call hornbeamcroft.Call, run *tracer.Run, q exchanger.Request,
) (exchanger.Result, bool) {
	sent, cancel := context.WithCancel(ctx)
	defer cancel()
	w := r.startWatch(id, call, run, cancel)
	if w == nil {
		return r.Exchanger.Exchange(ctx, q), false
	}
	res := r.Exchanger.Exchange(sent, q)
	if !w.end() || res.Outcome != exchanger.OutcomeEnded || ctx.Err() != nil {
		return res, false
	}
	return exchanger.Result{Outcome: exchanger.OutcomeLost, Err: w.gaveUp}, true
}

// startWatch returns the watch of a run, or nil if nothing is known of its route or its deadline comes first.
func (r *Runner) startWatch(id uint64, call hornbeamcroft.Call, run *tracer.Run, cancel context.CancelFunc) *watch {
	r.mu.Lock()
	defer r.mu.Unlock()
	patience, known := r.waiter.Patience(call.Type)
	if !known || patience >= call.Remaining {
		return nil
	}
	w := &watch{r: r, id: id, call: call, run: run, patience: patience, cancel: cancel}
	w.timer = time.AfterFunc(patience, w.look)
	return w
}

// patienceShare is the part of the patience that is left at least for a repeat, and between two looks.
const patienceShare = 4

// look acts if the run has worked for too long, and looks again later otherwise.
func (w *watch) look() {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if w.over {
		return
	}
	now := w.r.Clock.Now()
	worked, waits := w.run.Worked(now)
	if waits || worked < w.patience {
		w.timer.Reset(max(w.patience-worked, w.patience/patienceShare))
		return
	}
	freed, lost := w.r.scheduler.Doubt(now, w.id)
	w.r.spread(freed)
	switch {
	case w.repeatable(now) && w.r.allow(w.call, true):
		w.gaveUp = &NoAnswerError{Worked: worked, Patience: w.patience}
		w.cancel()
	case w.repeatable(now):
		// Each question counts as a repeat that is wanted.
		w.timer.Reset(w.patience)
	case !lost:
		w.timer.Reset(w.patience / patienceShare)
	}
}

// repeatable reports whether its sender would send the call again, and the repeat would come in time. Without a repeat the
// run must go on: its answer may still come.
func (w *watch) repeatable(now time.Duration) bool {
	return w.call.Idempotent && w.call.Sends+1 < hornbeamcroft.MaxRuns && w.run.Deadline-now >= w.patience/patienceShare
}

// end stops the watch and reports whether it gave up the run.
func (w *watch) end() bool {
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	w.over = true
	w.timer.Stop()
	return w.gaveUp != nil
}
