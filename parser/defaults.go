package parser

import "time"

// Defaults of the section [platform].
const (
	// DefaultMaxDepth is the greatest depth of a call graph in levels; the deepest known call graph has 27.
	DefaultMaxDepth = 32
	// DefaultMaxBody is the greatest size of a request or answer body in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultKeyWindow is the time for which an idempotency key is remembered.
	DefaultKeyWindow = 10 * time.Minute
	// DefaultClockSkew is the allowed difference between wall clocks of hosts and callers.
	DefaultClockSkew = time.Second
	// DefaultPermitTime is the time for which a permit for non-idempotent work is valid.
	DefaultPermitTime = time.Second
	// DefaultPoisonCrashes is the number of crashes after which a request is refused: one crash while other requests ran
	// too, and one in an isolated run.
	DefaultPoisonCrashes = 2
	// DefaultPoisonTime is the time for which a request that crashed upstreams is refused.
	DefaultPoisonTime = 10 * time.Minute
	// DefaultMaxEjected is the greatest share of a service's upstreams that may be ejected, from 0 to 1.
	DefaultMaxEjected = 1.0 / 3
)

// Defaults of a section [service NAME]. The keys slots and connections are required and have none.
const (
	// DefaultQueueTime is the longest wait in the admission queue.
	DefaultQueueTime = 100 * time.Millisecond
	// DefaultSlowStart is the time over which the weight of a cold upstream grows.
	DefaultSlowStart = 10 * time.Second
	// DefaultZoneDelay is the one-way delay between availability zones.
	DefaultZoneDelay = time.Millisecond
)

// Defaults of a section [request SERVICE/TYPE].
const (
	// DefaultImportance is the name of the importance level.
	DefaultImportance = "normal"
	// DefaultIdempotent is false, the safe value: a second run of a request wrongly declared idempotent could do harm.
	DefaultIdempotent = false
	// DefaultTimeout is the deadline of a request that arrives without one.
	DefaultTimeout = 5 * time.Second
	// DefaultExtraAttempts is the retry budget of the whole call graph of a request, in attempts.
	DefaultExtraAttempts = 3
)

// DefaultPeriod is the period over which the error budget of a section [objective SERVICE/TYPE] is counted: 30 days.
const DefaultPeriod = 30 * 24 * time.Hour

// Inclusive bounds of the values. MinMaxBody and MaxMaxBody are in bytes, MaxMaxDepth is in levels, and the other
// integers are counts.
const (
	MaxMaxDepth      = 1000 // the greatest depth that a frame can state
	MinMaxBody       = 1 << 10
	MaxMaxBody       = 64 << 20
	MinKeyWindow     = 10 * time.Second
	MaxKeyWindow     = 24 * time.Hour
	MaxClockSkew     = time.Minute
	MinPermitTime    = 500 * time.Millisecond
	MaxPermitTime    = time.Minute
	MaxPoisonCrashes = 2 // a third crash would exceed two of four upstreams, the half that one request may crash
	MinPoisonTime    = time.Second
	MaxPoisonTime    = 24 * time.Hour
	MaxSlots         = 100_000
	MaxConnections   = 1_000_000
	MaxQueueTime     = 10 * time.Second
	MaxSlowStart     = 10 * time.Minute
	MaxZoneDelay     = time.Second
	MinTimeout       = time.Millisecond
	MaxTimeout       = 10 * time.Minute
	MaxExtraAttempts = 100
	MinPeriod        = time.Hour
	MaxPeriod        = 90 * 24 * time.Hour
)

// MaxNameLength is the greatest length of the name of a service, request type or owner in bytes. The name
// "service/type" then has at most 127 bytes and fits the 128 bytes of a field in a member record or call.
const MaxNameLength = 63

// MaxDocument is the greatest size of an encoded document in bytes. The store's limit is 1 MB; the rest is reserved for
// the framing of the history entry, which is written in the same transaction, and for the encoding of the request.
const MaxDocument = 900_000

// MaxSection is the greatest size of a section's text in bytes. It lets any section fit into one message between nodes.
const MaxSection = 32 << 10
