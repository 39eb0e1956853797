package hornbeamcroft

import "time"

// Section is one section of the operators' document as it is stored. Each section has one owner and is edited as a whole.
type Section struct {
	// Name is the text in the brackets of the section header, for example "service cash-office".
	Name string `cbor:"1,keyasint" json:"name"`
	// Owner is the team that may edit the section.
	Owner string `cbor:"2,keyasint" json:"owner"`
	// Text is the section's INI text without its header line.
	Text string `cbor:"3,keyasint" json:"text"`
	// Generation counts the accepted edits of this section, from 1. A removal counts as an edit.
	Generation uint64 `cbor:"4,keyasint" json:"generation"`
	// Writer is the id of the edit that wrote this generation. By it, an editor whose answer was lost finds out whether this
	// generation is its own write or another editor's.
	Writer string `cbor:"5,keyasint" json:"writer"`
	// Removed marks a removed section, whose Owner and Text are empty. This tombstone stays in the document, so that a merge
	// of diverged documents distinguishes a removed section from one that the other document never had.
	Removed bool `cbor:"6,keyasint,omitempty" json:"removed,omitempty"`
}

// StoredDocument is the operators' document as it is kept in the store. It is replaced as a whole by compare-and-swap.
type StoredDocument struct {
	// Revision rises by one with each accepted edit and never falls. It is independent of the store's revision, so that
	// nodes detect a store that was restored from an old backup.
	Revision uint64    `cbor:"1,keyasint" json:"revision"`
	Sections []Section `cbor:"2,keyasint" json:"sections"`
	// Proof authenticates the document as written with the operators' key. Nodes that have the key accept no document
	// without a valid proof.
	Proof []byte `cbor:"3,keyasint,omitempty" json:"-"`
}

// Document is the parsed and validated operators' document.
type Document struct {
	Revision uint64
	Platform Platform
	// Services holds the services by name.
	Services map[string]Service
	// RequestTypes holds the request types by "service/type".
	RequestTypes map[string]RequestType
	// Objectives holds the objectives by "service/type".
	Objectives map[string]Objective
}

// Platform holds the limits that apply to all services, from the section [platform].
type Platform struct {
	// MaxDepth is the maximum depth of a call graph; at least 1.
	MaxDepth int
	// MaxBody is the maximum size of a request or answer body in bytes.
	MaxBody int
	// KeyWindow is the time for which the home of an idempotency key remembers the key.
	KeyWindow time.Duration
	// ClockSkew is the maximum assumed difference between the wall clocks of hosts and callers.
	ClockSkew time.Duration
	// PermitTime is the time for which a permit for non-idempotent work is valid; called T in the protocol.
	PermitTime time.Duration
	// PoisonCrashes is the number of crashes after which a request is refused; 1 or 2.
	PoisonCrashes int
	// PoisonTime is the time for which a request that crashed upstreams is refused.
	PoisonTime time.Duration
	// MaxEjected is the maximum share of a service's upstreams that may be ejected at the same time, 0 to 1.
	MaxEjected float64
}

// Service describes one service and its upstreams.
type Service struct {
	Name  string
	Owner string
	// Slots is the number of requests that an upstream runs at once, and the upper bound of the concurrency limit; at
	// least 1.
	Slots int
	// Connections is the number of connections that an upstream accepts; at least Slots.
	Connections int
	// Calls holds the names of the services that this service calls. The call graph has no cycles.
	Calls []string
	// QueueTime is the maximum wait in the admission queue.
	QueueTime time.Duration
	// SlowStart is the time over which the load-balancing weight of an upstream grows after its start.
	SlowStart time.Duration
	// ZoneDelay is the one-way network delay between availability zones. The balancer adds it to the score of an upstream in
	// another zone.
	ZoneDelay time.Duration
}

// RequestType describes one type of request of a service.
type RequestType struct {
	Service string
	Name    string
	Owner   string
	// Importance is the importance of requests that enter with this type. All calls of the request inherit it.
	Importance Importance
	// Idempotent is true if running the request more than once has the same effect as running it once.
	Idempotent bool
	// Timeout is the time to the deadline of a request that has none, and the maximum of one that has.
	Timeout time.Duration
	// ExtraAttempts is the retry budget for the whole call graph of a request that enters with this type; 0 to 100.
	ExtraAttempts int
}

// Objective is a service-level objective for one request type.
type Objective struct {
	Service     string
	RequestType string
	Owner       string
	// Answered is the share of requests that must be answered, 0 to 1, for example 0.999.
	Answered float64
	// Within is the time in which WithinShare of the requests must be answered; zero if there is no such objective.
	Within      time.Duration
	WithinShare float64
	// Period is the time over which the error budget is counted.
	Period time.Duration
}
