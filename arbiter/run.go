package arbiter

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/owner"
)

// RunFunc runs a call. It calls mayStart right before dispatch and refuses the call with the returned code if that is
// not zero. StartBefore is the end of the permit on the host's monotonic clock, in nanoseconds.
type RunFunc func(mayStart func() (startBefore int64, code hornbeamcroft.Code)) hornbeamcroft.Answer

// Execute answers a non-idempotent call, whose key runs at most once. It runs the call, or waits for the answer of the
// running call with the same key, or answers from the record of the key.
func (a *Arbiter) Execute(ctx context.Context, call hornbeamcroft.Call, run RunFunc) hornbeamcroft.Answer {
	a.mu.Lock()
	verdict := a.decide(ctx, call.Key)
	if verdict.Code == hornbeamcroft.CodeHomeMoved {
		if _, known := a.Deduper.Lookup(call.Key); !known {
			a.mu.Unlock()
			return hornbeamcroft.Answer{Code: verdict.Code, Home: verdict.Home, UnspentRetries: call.RetryBudget}
		}
	}
	decision := a.Deduper.Arrive(a.Clock.Now(), wall(), deduper.Arrival{
		Key: call.Key, Fingerprint: call.Fingerprint, ReceivedAt: call.ReceivedAt, FirstSend: call.FirstSend,
		Serve: verdict.Serve, Code: verdict.Code, BeforeTakeover: verdict.BeforeTakeover,
	})
	switch decision.Action {
	case deduper.ActionAnswer:
		a.mu.Unlock()
		decision.Answer.UnspentRetries = call.RetryBudget
		return decision.Answer
	case deduper.ActionJoin:
		ch := make(chan hornbeamcroft.Answer, 1)
		if a.waiters == nil {
			a.waiters = make(map[string][]chan hornbeamcroft.Answer)
		}
		a.waiters[call.Key] = append(a.waiters[call.Key], ch)
		a.mu.Unlock()
		return awaitAnswer(ctx, ch, call)
	}
	a.mu.Unlock()
	answer := run(func() (int64, hornbeamcroft.Code) { return a.mayStart(call.Key) })
	return a.finish(call.Key, answer)
}

// decide returns the owner's verdict on the key. If the node has no permit and no record of the key, decide asks again
// for at most maxPermitWait. The caller must hold a.mu; decide releases it while it waits.
func (a *Arbiter) decide(ctx context.Context, key string) owner.Verdict {
	issued := deduper.IssueTime(key)
	deadline := a.Clock.Now() + maxPermitWait
	for {
		verdict := a.Owner.Decide(a.Clock.Now(), wall(), key, issued)
		remaining := deadline - a.Clock.Now()
		if verdict.Code != hornbeamcroft.CodeNoPermit || remaining <= 0 {
			return verdict
		}
		if _, known := a.Deduper.Lookup(key); known {
			return verdict
		}
		changed := a.nextChange()
		a.mu.Unlock()
		t := time.NewTimer(min(remaining, owner.TickInterval))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		a.mu.Lock()
		if ctx.Err() != nil {
			return verdict
		}
	}
}

// awaitAnswer waits for the answer of the running call with the same key. If ctx ends first, it answers that the call
// is still running.
func awaitAnswer(ctx context.Context, ch chan hornbeamcroft.Answer, call hornbeamcroft.Call) hornbeamcroft.Answer {
	select {
	case answer := <-ch:
		answer.UnspentRetries = call.RetryBudget
		return answer
	case <-ctx.Done():
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeStillRunning, UnspentRetries: call.RetryBudget}
	}
}

// mayStart checks the permit again right before dispatch, because the permit may have ended while the call waited for
// admission. It returns the end of the permit on the host's monotonic clock, in nanoseconds, or the code of the
// refusal.
func (a *Arbiter) mayStart(key string) (int64, hornbeamcroft.Code) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	end, ok := a.Owner.MayDispatch(now, key)
	if !ok {
		return 0, hornbeamcroft.CodeNoPermit
	}
	return hostNow() + int64(end-now), 0
}

// hostNow returns the time of the host's monotonic clock, which all processes on the host share, in nanoseconds. It
// returns 0 if the clock cannot be read. The permit end computed from it then lies in the past, so that the call is
// refused.
func hostNow() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return ts.Nano()
}

// finish records the answer and returns the final one, which it also sends to all senders that wait for the call.
func (a *Arbiter) finish(key string, answer hornbeamcroft.Answer) hornbeamcroft.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	_, serve := a.Owner.MayDispatch(now, key)
	final := a.Deduper.Finish(now, wall(), key, answer, serve)
	for _, ch := range a.waiters[key] {
		ch <- final
	}
	delete(a.waiters, key)
	a.sendLateOutcome(key)
	return final
}
