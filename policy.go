package hornbeamcroft

import "time"

// Outcome is what a balancer learns from a finished call.
type Outcome uint8

// The outcomes of a call to an upstream.
const (
	// OutcomeSuccess is an answer of the upstream, whatever its HTTP status below 500.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure is evidence against the upstream: a lost answer, a crash, an HTTP status of 500 or above.
	OutcomeFailure
	// OutcomeRefused is a refusal by admission; the upstream is busy, not broken.
	OutcomeRefused
	// OutcomeIgnored tells nothing, for example a call cancelled by its caller.
	OutcomeIgnored
)

// Balancer picks an upstream of one service for each idempotent call. It is not safe for concurrent use.
type Balancer interface {
	// Update sets the live members of the service; draining members are included and get no calls.
	Update(now time.Duration, members []Member)
	// Pick returns the name of a member, or false if none can be used. A member for which exclude is true is
	// skipped; exclude may be nil.
	Pick(now time.Duration, r Rand, exclude func(name string) bool) (string, bool)
	// Start records that a call to the member begins.
	Start(now time.Duration, name string)
	// Finish records the outcome of a call that was started.
	Finish(now time.Duration, name string, latency time.Duration, outcome Outcome)
}

// Ticket is a request for admission.
type Ticket struct {
	// ID is unique among the tickets of one Admitter.
	ID         uint64
	Importance Importance
	Depth      int
	// Hash is the survival hash of the request id, below ThresholdAll.
	Hash uint32
	// Deadline is on the monotonic clock of the node.
	Deadline time.Duration
	// Weight is the number of requests that the ticket stands for where the demand is estimated; zero means 1.
	Weight float32
	// Alone asks for an isolated run: nothing else runs at the upstream meanwhile.
	Alone bool
	// Objective is the time on the monotonic clock of the node until which the answer to the whole request has its full
	// value; zero if the request has no objective.
	Objective time.Duration
}

// Decision is the end of a ticket's wait.
type Decision struct {
	ID uint64
	// Admitted is true if the call may be dispatched now; the caller of the Admitter must call Finish once.
	Admitted bool
	// Code is the reason if the ticket is refused.
	Code Code
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
}

// Sample is what an admitter learns from a finished call.
type Sample struct {
	// ServiceTime is the time from dispatch to the end of the answer.
	ServiceTime time.Duration
	// ChildTime is the part of ServiceTime in which at least one call to a further service was running; zero if the
	// node does not know. The concurrency limit follows the rest, so that a slow service below does not lower it.
	ChildTime time.Duration
	// Overloaded is true if the upstream refused or timed out.
	Overloaded bool
	// Failed is true if the upstream ran the call and failed, or broke off its answer.
	Failed bool
	// Ignore is true if the sample tells nothing about the upstream, for example a cancelled call.
	Ignore bool
}

// Admitter decides which calls run at one upstream, and when. Each method returns the decisions that became due; they
// may concern other tickets. It is not safe for concurrent use.
type Admitter interface {
	// Arrive offers a ticket.
	Arrive(now time.Duration, t Ticket) []Decision
	// Finish ends an admitted ticket.
	Finish(now time.Duration, id uint64, s Sample) []Decision
	// Cancel withdraws a waiting ticket; an admitted one is ended by Finish.
	Cancel(now time.Duration, id uint64) []Decision
	// Tick lets time pass; the node calls it every 5 ms while tickets wait.
	Tick(now time.Duration) []Decision
	// Pressure returns the admission level that answers carry.
	Pressure(now time.Duration) Pressure
}
