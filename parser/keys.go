package parser

import (
	"fmt"
	"strconv"
	"time"
)

// KeyInfo describes one key for docs/settings-document.md.
type KeyInfo struct {
	// Kind is the kind of section.
	Kind    string
	Key     string
	Unit    string
	Default string
	Allowed string
	Meaning string
}

// required stands in place of a default.
const required = "required"

func span(least, most time.Duration) string {
	return FormatDuration(least) + " to " + FormatDuration(most)
}

func count(least, most int) string { return fmt.Sprintf("%d to %d", least, most) }

// Keys lists all keys of the document in the order of the reference.
var Keys = []KeyInfo{
	{KindPlatform, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindPlatform, "max-depth", "levels", strconv.Itoa(DefaultMaxDepth), count(1, MaxMaxDepth), "Greatest depth of a call graph."},
	{KindPlatform, "max-body", "B, KiB, MiB", FormatBytes(DefaultMaxBody), FormatBytes(MinMaxBody) + " to " + FormatBytes(MaxMaxBody), "Greatest size of a request or answer body."},
	{KindPlatform, "key-window", unitTime, FormatDuration(DefaultKeyWindow), span(MinKeyWindow, MaxKeyWindow) + "; more than twice clock-skew", "Time for which an idempotency key is remembered."},
	{KindPlatform, "clock-skew", unitTime, FormatDuration(DefaultClockSkew), span(0, MaxClockSkew), "Greatest difference between wall clocks of hosts and callers."},
	{KindPlatform, "permit-time", unitTime, FormatDuration(DefaultPermitTime), span(MinPermitTime, MaxPermitTime), "Validity of a permit for non-idempotent work."},
	{KindPlatform, "poison-crashes", "crashes", strconv.Itoa(DefaultPoisonCrashes), count(1, MaxPoisonCrashes), "Crashes after which a request is refused."},
	{KindPlatform, "poison-time", unitTime, FormatDuration(DefaultPoisonTime), span(MinPoisonTime, MaxPoisonTime), "Time for which a request that crashed upstreams is refused."},
	{KindPlatform, "max-ejected", "share", "1/3", "0 to 1, or 0% to 100%", "Greatest share of a service's upstreams that may be ejected."},

	{KindService, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindService, "slots", "requests", required, count(1, MaxSlots), "Requests that an upstream runs at once; ceiling of the concurrency limit."},
	{KindService, "connections", "connections", required, count(1, MaxConnections) + "; at least slots", "Connections that an upstream accepts."},
	{KindService, "calls", "names", "none", "services of the document, separated by spaces; no cycles; no more levels than max-depth", "Services that this service calls."},
	{KindService, "queue-time", unitTime, FormatDuration(DefaultQueueTime), span(0, MaxQueueTime), "Longest wait in the admission queue."},
	{KindService, "slow-start", unitTime, FormatDuration(DefaultSlowStart), span(0, MaxSlowStart), "Time over which the weight of a cold upstream grows."},
	{KindService, "zone-delay", unitTime, FormatDuration(DefaultZoneDelay), span(0, MaxZoneDelay), "One-way delay between availability zones."},

	{KindRequest, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindRequest, "importance", "level", DefaultImportance, "low, normal, high, critical", "A lower level is shed first."},
	{KindRequest, "idempotent", "yes or no", "no", "yes, no", "Whether running the request twice does no harm."},
	{KindRequest, "timeout", unitTime, FormatDuration(DefaultTimeout), span(MinTimeout, MaxTimeout) + "; at most key-window unless idempotent", "Deadline of a request that brings none, and upper bound of one that does."},
	{KindRequest, "extra-attempts", "attempts", strconv.Itoa(DefaultExtraAttempts), count(0, MaxExtraAttempts), "Retry budget of the whole call graph."},

	{KindObjective, "owner", "name", required, allowedOwner, "The team that may edit the section."},
	{KindObjective, "answered", "share", required, allowedShare, "Share of whole requests that must be answered."},
	{KindObjective, "within", unitTime, "none", span(MinTimeout, MaxTimeout) + "; at most the request's timeout", "Time in which within-share of the requests must be answered."},
	{KindObjective, "within-share", "share", "none", allowedShare + "; together with within only", "Share of requests that must be answered in time."},
	{KindObjective, "period", unitTime, FormatDuration(DefaultPeriod), span(MinPeriod, MaxPeriod), "Period over which the error budget is counted."},
}

const (
	allowedOwner = "1 to 63 lower-case letters, digits, hyphens"
	allowedShare = "above 0 and below 1, or above 0% and below 100%"
	unitTime     = "us, ms, s, m, h, d"
)
