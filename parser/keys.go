package parser

import (
	"fmt"
	"strconv"
	"time"
)

// KeyInfo describes one key of the document. docs/settings-document.md lists Unit, Default, Allowed and Meaning as they
// stand here.
type KeyInfo struct {
	// Kind is the kind of section that the key belongs to.
	Kind string
	Key  string
	// Unit is the unit of the value, or what the value is.
	Unit string
	// Default is the value of an absent key, required if the key must be present, or "none".
	Default string
	// Allowed states the values that are allowed.
	Allowed string
	// Meaning says in one sentence what the value sets.
	Meaning string
}

// required is the Default of a key that must be present.
const required = "required"

// durationRange returns the inclusive range of a duration as the reference shows it.
func durationRange(least, most time.Duration) string {
	return FormatDuration(least) + " to " + FormatDuration(most)
}

// integerRange returns the inclusive range of an integer as the reference shows it.
func integerRange(least, most int) string { return fmt.Sprintf("%d to %d", least, most) }

// Keys lists all keys of the document in the order of the reference, docs/settings-document.md.
var Keys = []KeyInfo{
	{KindPlatform, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindPlatform, "max-depth", "levels", strconv.Itoa(DefaultMaxDepth), integerRange(1, MaxMaxDepth), "Greatest depth of a call graph."},
	{KindPlatform, "max-body", "B, KiB, MiB", FormatBytes(DefaultMaxBody), FormatBytes(MinMaxBody) + " to " + FormatBytes(MaxMaxBody), "Greatest size of a request or answer body."},
	{KindPlatform, "key-window", durationUnits, FormatDuration(DefaultKeyWindow), durationRange(MinKeyWindow, MaxKeyWindow) + "; more than twice clock-skew", "Time for which an idempotency key is remembered."},
	{KindPlatform, "clock-skew", durationUnits, FormatDuration(DefaultClockSkew), durationRange(0, MaxClockSkew), "Greatest difference between wall clocks of hosts and callers."},
	{KindPlatform, "permit-time", durationUnits, FormatDuration(DefaultPermitTime), durationRange(MinPermitTime, MaxPermitTime), "Validity of a permit for non-idempotent work."},
	{KindPlatform, "poison-crashes", "crashes", strconv.Itoa(DefaultPoisonCrashes), integerRange(1, MaxPoisonCrashes), "Crashes after which a request is refused."},
	{KindPlatform, "poison-time", durationUnits, FormatDuration(DefaultPoisonTime), durationRange(MinPoisonTime, MaxPoisonTime), "Time for which a request that crashed upstreams is refused."},
	{KindPlatform, "max-ejected", "share", "1/3", "0 to 1, or 0% to 100%", "Greatest share of a service's upstreams that may be ejected."},

	{KindService, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindService, "slots", "requests", required, integerRange(1, MaxSlots), "Requests that an upstream runs at once; ceiling of the concurrency limit."},
	{KindService, "connections", "connections", required, integerRange(1, MaxConnections) + "; at least slots", "Connections that an upstream accepts."},
	{KindService, "calls", "names", "none", "services of the document, separated by spaces; no cycles; no more levels than max-depth", "Services that this service calls."},
	{KindService, "queue-time", durationUnits, FormatDuration(DefaultQueueTime), durationRange(0, MaxQueueTime), "Longest wait in the admission queue."},
	{KindService, "slow-start", durationUnits, FormatDuration(DefaultSlowStart), durationRange(0, MaxSlowStart), "Time over which the weight of a cold upstream grows."},
	{KindService, "zone-delay", durationUnits, FormatDuration(DefaultZoneDelay), durationRange(0, MaxZoneDelay), "One-way delay between availability zones."},

	{KindRequest, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindRequest, "importance", "level", DefaultImportance, "low, normal, high, critical", "A lower level is shed first."},
	{KindRequest, "idempotent", "yes or no", "no", "yes, no", "Whether running the request twice does no harm."},
	{KindRequest, "timeout", durationUnits, FormatDuration(DefaultTimeout), durationRange(MinTimeout, MaxTimeout) + "; at most key-window unless idempotent", "Deadline of a request that brings none, and upper bound of one that does."},
	{KindRequest, "extra-attempts", "attempts", strconv.Itoa(DefaultExtraAttempts), integerRange(0, MaxExtraAttempts), "Retry budget of the whole call graph."},

	{KindObjective, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindObjective, "answered", "share", required, allowedShare, "Share of whole requests that must be answered."},
	{KindObjective, "within", durationUnits, "none", durationRange(MinTimeout, MaxTimeout) + "; at most the request's timeout", "Time in which within-share of the requests must be answered."},
	{KindObjective, "within-share", "share", "none", allowedShare + "; together with within only", "Share of requests that must be answered in time."},
	{KindObjective, "period", durationUnits, FormatDuration(DefaultPeriod), durationRange(MinPeriod, MaxPeriod), "Period over which the error budget is counted."},
}

const (
	allowedOwner  = "1 to 63 lower-case letters, digits, hyphens"
	allowedShare  = "above 0 and below 1, or above 0% and below 100%"
	durationUnits = "us, ms, s, m, h, d"
)
