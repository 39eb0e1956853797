package parser

import "time"

// Defaults of the section [platform].
const (
	// DefaultMaxDepth is in levels; the deepest known call graph has 27.
	DefaultMaxDepth = 32
	// DefaultMaxBody is in bytes.
	DefaultMaxBody = 1 << 20
	// DefaultKeyWindow is the retention of idempotency keys, as a duration.
	DefaultKeyWindow = 10 * time.Minute
	// DefaultClockSkew is the allowed difference of wall clocks, as a duration.
	DefaultClockSkew = time.Second
	// DefaultPermitTime is the validity of a permit, as a duration.
	DefaultPermitTime = time.Second
	// DefaultPoisonCrashes is in crashes: one among others and one in an isolated run.
	DefaultPoisonCrashes = 2
	// DefaultPoisonTime is the time for which a poison request is refused, as a duration.
	DefaultPoisonTime = 10 * time.Minute
	// DefaultMaxEjected is a share of a service's upstreams.
	DefaultMaxEjected = 1.0 / 3
)

// Defaults of a section [service NAME]. Slots and connections have none.
const (
	// DefaultQueueTime is the longest wait in the admission queue, as a duration.
	DefaultQueueTime = 100 * time.Millisecond
	// DefaultSlowStart is the time in which a cold upstream's weight grows, as a duration.
	DefaultSlowStart = 10 * time.Second
	// DefaultZoneDelay is the one-way delay between availability zones, as a duration.
	DefaultZoneDelay = time.Millisecond
)

// Defaults of a section [request SERVICE/TYPE].
const (
	// DefaultImportance is a name of an importance level.
	DefaultImportance = "normal"
	// DefaultIdempotent is false, since a second run of a wrongly declared type could do harm.
	DefaultIdempotent = false
	// DefaultTimeout is the deadline of a request that brings none, as a duration.
	DefaultTimeout = 5 * time.Second
	// DefaultExtraAttempts is in attempts for the whole call graph.
	DefaultExtraAttempts = 3
)

// DefaultPeriod of a section [objective SERVICE/TYPE] is the period of the error budget, as a duration: 30 days.
const DefaultPeriod = 30 * 24 * time.Hour

// Bounds of the values. Their units are those of the defaults.
const (
	MaxMaxDepth      = 1000 // the bound of the depth field in frames
	MinMaxBody       = 1 << 10
	MaxMaxBody       = 64 << 20
	MinKeyWindow     = 10 * time.Second
	MaxKeyWindow     = 24 * time.Hour
	MaxClockSkew     = time.Minute
	MinPermitTime    = 500 * time.Millisecond
	MaxPermitTime    = time.Minute
	MaxPoisonCrashes = 2 // a third crash would exceed the half of four upstreams that one request may take down
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

// MaxNameLength bounds names of services, request types and owners, in bytes. A request's full name then fits the 128
// bytes of a member or call field.
const MaxNameLength = 63

// MaxDocument is the greatest size of an encoded document in bytes. The store's limit is 1 MB; the rest is reserved for
// the history entry's framing and the encoding of the request.
const MaxDocument = 900_000

// MaxSection is the greatest size of a section's text in bytes, so that a message between nodes holds any section.
const MaxSection = 32 << 10
