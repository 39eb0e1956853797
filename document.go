package hornbeamcroft

import "time"

// Section is one section of the operators' document as it is stored. A section is the unit of ownership and of edits.
type Section struct {
	// Name is the name in brackets, for example "service cash-office".
	Name string `cbor:"1,keyasint" json:"name"`
	// Owner is the team that may edit the section.
	Owner string `cbor:"2,keyasint" json:"owner"`
	// Text is the section's INI text without the line in brackets.
	Text string `cbor:"3,keyasint" json:"text"`
	// Generation counts the accepted edits of this section, from 1, its removal included.
	Generation uint64 `cbor:"4,keyasint" json:"generation"`
	// Writer identifies the edit that wrote this generation; it tells a lost answer from another's write.
	Writer string `cbor:"5,keyasint" json:"writer"`
	// Removed marks a section that was removed; Owner and Text are empty. The mark stays in the document, so that a merge
	// of documents that diverged tells a removed section from one that the other document never had.
	Removed bool `cbor:"6,keyasint,omitempty" json:"removed,omitempty"`
}

// StoredDocument is the value in the store. It is replaced as a whole by compare-and-swap.
type StoredDocument struct {
	// Revision rises by one with each accepted edit and never falls. It is independent of the store's revision, so that
	// a store restored from an old copy is noticed.
	Revision uint64    `cbor:"1,keyasint" json:"revision"`
	Sections []Section `cbor:"2,keyasint" json:"sections"`
	// Proof shows that the document was written with the operators' key; nodes that have the key accept no other.
	Proof []byte `cbor:"3,keyasint,omitempty" json:"-"`
}

// Document is the parsed and checked document.
type Document struct {
	Revision uint64
	Platform Platform
	// Services by name.
	Services map[string]Service
	// Requests by "service/type".
	Requests map[string]RequestType
	// Objectives by "service/type".
	Objectives map[string]Objective
}

// Platform holds the limits that apply to all services, from the section [platform].
type Platform struct {
	// MaxDepth is the greatest depth of a call graph; at least 1.
	MaxDepth int
	// MaxBody is the greatest size of a request or answer body in bytes.
	MaxBody int
	// KeyWindow is the time for which an idempotency key is remembered.
	KeyWindow time.Duration
	// ClockSkew is the greatest difference between wall clocks of hosts and callers.
	ClockSkew time.Duration
	// PermitTime is the time T for which a permit for non-idempotent work is valid.
	PermitTime time.Duration
	// PoisonCrashes is the number of crashes after which a request is refused; 1 or 2.
	PoisonCrashes int
	// PoisonTime is the time for which a request that crashed upstreams is refused.
	PoisonTime time.Duration
	// MaxEjected is the greatest share of a service's upstreams that may be ejected, 0 to 1.
	MaxEjected float64
}

// Service describes one service and its upstreams.
type Service struct {
	Name  string
	Owner string
	// Slots is the number of requests an upstream runs at once; the ceiling of the concurrency limit; at least 1.
	Slots int
	// Connections is the number of connections an upstream accepts; at least Slots.
	Connections int
	// Calls names the services that this service calls; the graph has no cycles.
	Calls []string
	// QueueTime is the longest wait in the admission queue.
	QueueTime time.Duration
	// SlowStart is the time over which the weight of a cold upstream grows.
	SlowStart time.Duration
	// ZoneDelay is the one-way delay between availability zones, added when an upstream in another zone is scored.
	ZoneDelay time.Duration
}

// RequestType describes one type of request of a service.
type RequestType struct {
	Service string
	Name    string
	Owner   string
	// Importance applies when a request of this type enters; calls below inherit it.
	Importance Importance
	// Idempotent is true if running the request twice does no harm.
	Idempotent bool
	// Timeout is the deadline of a request that brings none, and the upper bound of one that does.
	Timeout time.Duration
	// ExtraAttempts is the retry budget of the whole call graph of a request that enters with this type; 0 to 100.
	ExtraAttempts int
}

// Objective is a service-level objective for one request type.
type Objective struct {
	Service string
	Request string
	Owner   string
	// Answered is the share of whole requests that must be answered, 0 to 1, for example 0.999.
	Answered float64
	// Within is the time in which WithinShare of the requests must be answered; zero if there is no such objective.
	Within      time.Duration
	WithinShare float64
	// Period is the time over which the error budget is counted.
	Period time.Duration
}
