package retrier

import (
	"time"

	"hornbeamcroft"
)

// Failure describes an answer after which the sender may retry the call.
type Failure struct {
	Code  hornbeamcroft.Code
	Claim hornbeamcroft.Claim
	// Idempotent is copied from the request type of the call.
	Idempotent bool
	// RetryAfter is the minimum wait before a retry that the answer asks for; zero if it asks for none.
	RetryAfter time.Duration
}

// Verdict says whether the sender may retry a call, and how.
type Verdict struct {
	Retry bool
	// Reroute is true if the sender resends the open attempt to another upstream, which Retrier.Reroute counts and
	// which costs no retry budget.
	Reroute bool
	// Wait is the backoff before the retry.
	Wait time.Duration
	// Code is the reason if Retry is false although the failure itself allows a retry, for example that the retry budget is
	// spent or the deadline has passed; zero if the failure rules out a retry, or if Retry is true.
	Code hornbeamcroft.Code
}

// Decide says whether the call of attempt a may be retried now. It changes no state: Begin charges the retry to the
// budget, or Retrier.Reroute counts it if the verdict is a reroute.
func (r *Retrier) Decide(now time.Duration, rnd hornbeamcroft.Rand, a Attempt, c Child, f Failure) Verdict {
	if !retryable(f) {
		return Verdict{}
	}
	b, ok := r.budgets[a.Parent]
	if !ok {
		return Verdict{Code: hornbeamcroft.CodeCancelledBeforeStart}
	}
	if now >= b.deadline {
		return Verdict{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	if _, i := r.findOpen(a); belongsElsewhere(f.Code) && i >= 0 && b.open[i].reroutes < maxReroutes {
		return Verdict{Retry: true, Reroute: true}
	}
	if !r.coversRetry(b, c) {
		return Verdict{Code: hornbeamcroft.CodeRetryBudgetSpent}
	}
	wait := max(r.Backoff.Wait(rnd, b.tries(c)), f.RetryAfter)
	if now+wait >= b.deadline {
		return Verdict{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	return Verdict{Retry: true, Wait: wait}
}

// ReturnOrReroute handles the answer of an attempt and says whether the call may be retried now. It returns the unspent
// budget to the parent, unless the verdict is a reroute. In that case the attempt stays open and keeps its share, the
// reroute is counted, and the caller of this method sends the same attempt to another upstream.
func (r *Retrier) ReturnOrReroute(now time.Duration, rnd hornbeamcroft.Rand, a Attempt, c Child, unspent int, f Failure) Verdict {
	if v := r.Decide(now, rnd, a, c, f); v.Reroute && r.Reroute(a) {
		return v
	}
	r.Return(a, unspent)
	return r.Decide(now, rnd, a, c, f)
}

// belongsElsewhere reports whether the code means that the upstream accepted nothing because another node must take the
// call.
func belongsElsewhere(c hornbeamcroft.Code) bool {
	return c == hornbeamcroft.CodeDraining || c == hornbeamcroft.CodeHomeMoved
}

// retryable reports whether a retry is safe and can have another outcome.
func retryable(f Failure) bool {
	switch f.Claim {
	case hornbeamcroft.ClaimNotRun:
		return retryableAfterNotRun(f.Code)
	case hornbeamcroft.ClaimMayHaveRun:
		return f.Idempotent && retryableAfterMayHaveRun(f.Code)
	}
	return false
}

// retryableAfterNotRun reports whether a retry of a call that did not run can have another outcome.
func retryableAfterNotRun(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeDeadlineTooShort, hornbeamcroft.CodePoisonRefused, hornbeamcroft.CodeCancelledBeforeStart,
		hornbeamcroft.CodeRetryBudgetSpent, hornbeamcroft.CodeServicePressedBelow:
		return false
	}
	// Result codes from 400 on reject the caller's input. A retry would send the same input, which would be rejected
	// again.
	return c < 400
}

// retryableAfterMayHaveRun reports whether an idempotent call that may have run is worth a retry.
func retryableAfterMayHaveRun(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated:
		return true
	}
	return false
}
