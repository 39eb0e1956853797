package arbiter

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/owner"
)

// RunFunc runs a call. It asks mayStart right before the dispatch; a code other than zero forbids it, and startBefore is
// the end of the permit on the host's monotonic clock in nanoseconds.
type RunFunc func(mayStart func() (startBefore int64, code hornbeamcroft.Code)) hornbeamcroft.Answer

// Execute runs a non-idempotent call at most once, joins it to the running call of its key, or answers from the record.
func (a *Arbiter) Execute(ctx context.Context, call hornbeamcroft.Call, run RunFunc) hornbeamcroft.Answer {
	a.mu.Lock()
	v := a.decide(ctx, call.Key)
	if v.Code == hornbeamcroft.CodeHomeMoved {
		if _, known := a.Deduper.Lookup(call.Key); !known {
			a.mu.Unlock()
			return hornbeamcroft.Answer{Code: v.Code, Home: v.Home, UnspentRetries: call.RetryBudget}
		}
	}
	d := a.Deduper.Arrive(a.Clock.Now(), wall(), deduper.Arrival{
		Key: call.Key, Fingerprint: call.Fingerprint, ReceivedAt: call.ReceivedAt, FirstSend: call.FirstSend,
		Serve: v.Serve, Code: v.Code, BeforeTakeover: v.BeforeTakeover,
	})
	switch d.Action {
	case deduper.ActionAnswer:
		a.mu.Unlock()
		d.Answer.UnspentRetries = call.RetryBudget
		return d.Answer
	case deduper.ActionJoin:
		ch := make(chan hornbeamcroft.Answer, 1)
		if a.joined == nil {
			a.joined = make(map[string][]chan hornbeamcroft.Answer)
		}
		a.joined[call.Key] = append(a.joined[call.Key], ch)
		a.mu.Unlock()
		return wait(ctx, ch, call)
	}
	a.mu.Unlock()
	answer := run(func() (int64, hornbeamcroft.Code) { return a.mayStart(call.Key) })
	return a.finish(call.Key, answer)
}

// decide asks the owner, and waits a while for a home that is about to serve. The lock is held on entry and return.
func (a *Arbiter) decide(ctx context.Context, key string) owner.Verdict {
	issued := deduper.IssueTime(key)
	deadline := a.Clock.Now() + holdTime
	for {
		v := a.Owner.Decide(a.Clock.Now(), wall(), key, issued)
		left := deadline - a.Clock.Now()
		if v.Code != hornbeamcroft.CodeNoPermit || left <= 0 {
			return v
		}
		if _, known := a.Deduper.Lookup(key); known {
			return v
		}
		changed := a.change()
		a.mu.Unlock()
		t := time.NewTimer(min(left, owner.TickInterval))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		a.mu.Lock()
		if ctx.Err() != nil {
			return v
		}
	}
}

// wait waits for the answer of the running call of the same key.
func wait(ctx context.Context, ch chan hornbeamcroft.Answer, call hornbeamcroft.Call) hornbeamcroft.Answer {
	select {
	case answer := <-ch:
		answer.UnspentRetries = call.RetryBudget
		return answer
	case <-ctx.Done():
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeStillRunning, UnspentRetries: call.RetryBudget}
	}
}

// mayStart repeats the decision right before the dispatch, since admission may have taken longer than the permit.
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

// hostNow returns the host's monotonic clock in nanoseconds, which all processes of the host share.
func hostNow() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return ts.Nano()
}

func (a *Arbiter) finish(key string, answer hornbeamcroft.Answer) hornbeamcroft.Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	_, serve := a.Owner.MayDispatch(now, key)
	final := a.Deduper.Finish(now, wall(), key, answer, serve)
	for _, ch := range a.joined[key] {
		ch <- final
	}
	delete(a.joined, key)
	a.sendLate(key)
	return final
}
