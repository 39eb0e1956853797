package hornbeamcroft

import "time"

// Outcome is the result of a finished call as a balancer uses it.
type Outcome uint8

// The outcomes of a call to an upstream.
const (
	// OutcomeSuccess is an answer of the upstream with any HTTP status below 500.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure is evidence against the upstream: a lost answer, a crash, an HTTP status of 500 or above.
	OutcomeFailure
	// OutcomeRefused is a refusal by admission control, which shows that the upstream is busy, not faulty.
	OutcomeRefused
	// OutcomeIgnored carries no information about the upstream, for example a call cancelled by its caller.
	OutcomeIgnored
)

// Balancer picks an upstream of one service for each idempotent call. It is not safe for concurrent use.
type Balancer interface {
	// Update sets the live members of the service. Draining members are included and get no calls.
	Update(now time.Duration, members []Member)
	// Pick returns the name of a member, or false if none can be used. A member for which exclude is true is
	// skipped; exclude may be nil.
	Pick(now time.Duration, r Rand, exclude func(name string) bool) (string, bool)
	// Start records that a call to the member has begun.
	Start(now time.Duration, name string)
	// Finish records the outcome of a call that Start recorded.
	Finish(now time.Duration, name string, latency time.Duration, outcome Outcome)
}

// Ticket is a call that asks for admission at an upstream.
type Ticket struct {
	// ID is unique among the tickets of one Admitter.
	ID         uint64
	Importance Importance
	Depth      int
	// Hash is the survival hash of the request id, below ThresholdAll.
	Hash uint32
	// Deadline is the deadline of the call on the monotonic clock of the node.
	Deadline time.Duration
	// Tenant is the name of the tenant that the call belongs to; empty if there is none. TenantWeight is the weight of the tenant when
	// capacity is divided; above 0 if there is a tenant.
	Tenant       string
	TenantWeight float64
	// Weight is the number of requests that the ticket represents in estimates of the demand; zero means 1.
	Weight float32
	// Last is true if the sender of the call knows no other upstream to which it could send it.
	Last bool
	// Isolated requests an isolated run, during which the upstream runs nothing else.
	Isolated bool
	// Objective is the time, on the monotonic clock of the node, at which the latency objective of the whole request is
	// missed; zero if the request has no objective.
	Objective time.Duration
}

// Decision is the admission or refusal of a ticket.
type Decision struct {
	ID uint64
	// Admitted is true if the call may be dispatched now. The caller of the Admitter must then call Finish once.
	Admitted bool
	// Code is the reason if the ticket is refused.
	Code Code
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
}

// Sample is a measurement of a finished call, from which an admitter adapts its limit.
type Sample struct {
	// ServiceTime is the time from the dispatch of the call to the end of the answer.
	ServiceTime time.Duration
	// ChildTime is the part of ServiceTime in which at least one call to a further service was running; zero if it is
	// unknown. The concurrency limit depends on the rest of ServiceTime only, so that a slow downstream service does not
	// lower it.
	ChildTime time.Duration
	// Overloaded is true if the upstream refused or timed out.
	Overloaded bool
	// Failed is true if the upstream ran the call and failed, or sent an incomplete answer.
	Failed bool
	// Ignore is true if the sample carries no information about the upstream, for example that of a cancelled call.
	Ignore bool
}

// Admitter decides which calls run at one upstream, and when. Each method that changes its state returns the decisions that
// became due, also those about other tickets. It is not safe for concurrent use.
type Admitter interface {
	// Arrive requests admission for a ticket.
	Arrive(now time.Duration, t Ticket) []Decision
	// Finish records the end of an admitted call.
	Finish(now time.Duration, id uint64, s Sample) []Decision
	// Cancel withdraws a ticket that waits. An admitted ticket ends with Finish instead.
	Cancel(now time.Duration, id uint64) []Decision
	// Tick decides on the waiting tickets whose decision became due as time passed. The node calls it periodically while
	// tickets wait.
	Tick(now time.Duration) []Decision
	// AdmissionLevel returns the present admission level, which answers carry to the callers.
	AdmissionLevel(now time.Duration) AdmissionLevel
}
