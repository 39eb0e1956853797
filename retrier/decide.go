package retrier

import (
	"time"

	"hornbeamcroft"
)

// Failure describes an answer after which a repeat is considered.
type Failure struct {
	Code  hornbeamcroft.Code
	Claim hornbeamcroft.Claim
	// Idempotent is copied from the request type.
	Idempotent bool
	// RetryAfter is the earliest time from now at which the answer allows a repeat.
	RetryAfter time.Duration
}

// Verdict says whether a call may be repeated.
type Verdict struct {
	Retry bool
	// Free is true if the repeat is sent as a Reroute of the open attempt and costs nothing.
	Free bool
	// Wait is the backoff before the repeat.
	Wait time.Duration
	// Code is the reason if Retry is false because of the budget or the deadline; zero if the answer is final.
	Code hornbeamcroft.Code
}

// Decide says whether the call of attempt a may be repeated now. It changes nothing: the repeat itself is charged by
// Begin, or counted by Reroute if the verdict is free.
func (t *Retrier) Decide(now time.Duration, rnd hornbeamcroft.Rand, a Attempt, c Child, f Failure) Verdict {
	if !repeatable(f) {
		return Verdict{}
	}
	r, ok := t.records[a.Parent]
	if !ok {
		return Verdict{Code: hornbeamcroft.CodeCancelledBeforeStart}
	}
	if now >= r.deadline {
		return Verdict{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	if _, i := t.find(a); moved(f.Code) && i >= 0 && r.open[i].reroutes < maxReroutes {
		return Verdict{Retry: true, Free: true}
	}
	if !t.affords(r, c) {
		return Verdict{Code: hornbeamcroft.CodeRetryBudgetSpent}
	}
	wait := max(t.Backoff.Wait(rnd, r.tries(c)), f.RetryAfter)
	if now+wait >= r.deadline {
		return Verdict{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	return Verdict{Retry: true, Wait: wait}
}

// Settle handles the answer of an attempt and says whether the call may be repeated now. It returns the unspent budget,
// unless the repeat is free: then the attempt stays open with its share, the reroute is counted, and the sender sends
// the same attempt to another upstream.
func (t *Retrier) Settle(now time.Duration, rnd hornbeamcroft.Rand, a Attempt, c Child, unspent int, f Failure) Verdict {
	if v := t.Decide(now, rnd, a, c, f); v.Free && t.Reroute(a) {
		return v
	}
	t.Return(a, unspent)
	return t.Decide(now, rnd, a, c, f)
}

// moved reports whether the code only says that the work belongs to another node.
func moved(c hornbeamcroft.Code) bool {
	return c == hornbeamcroft.CodeDraining || c == hornbeamcroft.CodeHomeMoved
}

// repeatable reports whether a repeat is safe and can have another outcome.
func repeatable(f Failure) bool {
	switch f.Claim {
	case hornbeamcroft.ClaimNotRun:
		return notRunRepeatable(f.Code)
	case hornbeamcroft.ClaimMayHaveRun:
		return f.Idempotent && unknownRepeatable(f.Code)
	}
	return false
}

func notRunRepeatable(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeDeadlineTooShort, hornbeamcroft.CodePoisonRefused, hornbeamcroft.CodeCancelledBeforeStart,
		hornbeamcroft.CodeRetryBudgetSpent, hornbeamcroft.CodeServicePressedBelow:
		return false
	}
	// Codes from 400 on reject the caller's input; the same input is rejected again.
	return c < 400
}

func unknownRepeatable(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated:
		return true
	}
	return false
}
