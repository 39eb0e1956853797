// Package rationer bounds the repeats that all nodes together send to a service. Each node spends its own part of the
// allowance, so that nodes need not ask each other.
package rationer

import (
	"time"

	"hornbeamcroft"
)

const (
	// buckets divide the window, so that it slides in steps of a tenth.
	buckets = 10
	// kept is the number of buckets that are remembered: those of the window and of the one before it.
	kept = 2 * buckets
	// safeShare is the part of the allowance that is spent. Nodes see requests and repeats at slightly different times,
	// and an allowance that is exceeded breaks the bound for all.
	safeShare = 0.8
	// scarceShare is the part of the allowance below which repeats are kept for some requests, and the reserves are the
	// parts that are left to those that come next: repeats of requests that make no further calls, which are worth most
	// for each repeat, and before them those of critical requests.
	scarceShare     = 0.5
	singleReserve   = 0.1
	criticalReserve = 0.25
	// subtreeShare is the part of the allowance that goes to repeats of runs which make further calls, at each of the
	// upper subtreeDepth levels. All calls of such a run are repeats at the services below, so that the sum over the
	// levels must leave room for theirs.
	subtreeShare = 0.25
	subtreeDepth = 3
)

// Rationer counts requests and repeats by service. It is not safe for concurrent use.
type Rationer struct {
	// Ratio is the number of repeats allowed for each request, 0 to 1.
	Ratio float64
	// Slack is the number of repeats in a window that all nodes together may send besides.
	Slack float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
	// Nodes is the number of nodes that share the slack; at least 1.
	Nodes int

	services map[string]*count
}

type count struct {
	at                int64
	requests, repeats [kept]float64
}

// Request counts the first send of a request to the service.
func (r *Rationer) Request(now time.Duration, service string) {
	c := r.count(now, service)
	c.requests[c.at%kept]++
}

// Caused counts a call to the service that is a repeat because a run above it was one.
func (r *Rationer) Caused(now time.Duration, service string) {
	c := r.count(now, service)
	c.repeats[c.at%kept]++
}

// Repeat is what is asked about.
type Repeat struct {
	Service string
	// Subtree is true if the first send may have run and made calls of its own, which the repeat makes again.
	Subtree bool
	// Depth is 1 for the request of a caller.
	Depth int
	// Single is true if the call is a whole request, and not one of several calls that must all succeed.
	Single     bool
	Importance hornbeamcroft.Importance
	// Hash is the survival hash of the whole request. When repeats are scarce, some requests get all that they need and
	// the others none: a request of which one call fails is lost, with all that was spent on it.
	Hash uint32
}

// Allow reports whether a repeat may be sent, and counts it.
func (r *Rationer) Allow(now time.Duration, q Repeat) bool {
	c := r.count(now, q.Service)
	allowance := r.allowance(c)
	left := allowance - c.spent() - 1
	if left < 0 || !q.due(left/allowance) {
		return false
	}
	c.repeats[c.at%kept]++
	return true
}

// due reports whether the request is one of those that get repeats while the given part of the allowance is left.
func (q Repeat) due(left float64) bool {
	if q.Subtree {
		return q.Depth <= subtreeDepth && left >= 1-subtreeShare
	}
	if q.Single || left >= scarceShare {
		return true
	}
	reserve := criticalReserve
	if q.Importance == hornbeamcroft.ImportanceCritical {
		reserve = singleReserve
	}
	share := (left - reserve) / (scarceShare - reserve)
	return float64(q.Hash) < share*hornbeamcroft.ThresholdAll
}

// Left returns the repeats to the service that are still allowed.
func (r *Rationer) Left(now time.Duration, service string) float64 {
	c := r.count(now, service)
	return r.allowance(c) - c.spent()
}

func (r *Rationer) allowance(c *count) float64 {
	return safeShare * (r.Ratio*c.demand() + r.Slack/float64(max(r.Nodes, 1)))
}

// count returns the counts of the service with the buckets that left the window cleared.
func (r *Rationer) count(now time.Duration, service string) *count {
	if r.services == nil {
		r.services = make(map[string]*count)
	}
	at := int64(now / (max(r.Window, time.Second) / buckets))
	c := r.services[service]
	if c == nil {
		c = &count{at: at}
		r.services[service] = c
	}
	for steps := 0; c.at < at && steps < kept; steps++ {
		c.at++
		c.requests[c.at%kept], c.repeats[c.at%kept] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}

// spent returns the repeats of the window.
func (c *count) spent() float64 { return c.window(c.repeats, 0) }

// demand returns the requests of the window, of the one before it or of the one half a window before, whichever has most:
// a burst of failures comes with or after the requests that it belongs to.
func (c *count) demand() float64 {
	return max(c.window(c.requests, 0), c.window(c.requests, buckets/2), c.window(c.requests, buckets))
}

// window sums the buckets of the window that ended the given number of buckets ago.
func (c *count) window(values [kept]float64, ago int64) float64 {
	total := 0.0
	for i := range int64(buckets) {
		if at := c.at - ago - i; at >= 0 {
			total += values[at%kept]
		}
	}
	return total
}
