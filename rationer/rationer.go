// Package rationer bounds the repeats that all nodes together send to a service. Most of the allowance is spent by the
// nodes beside the upstreams: each sees all calls to its upstream, and so which of them a repeat helps most. The rest is
// for senders whose call got no answer at all.
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
	// freeShare is the part of the allowance above which repeats are not paced: a burst of failures, as after a crash, is
	// repeated at once.
	freeShare = 0.7
	// Repeats of requests that make no further calls are worth most for each repeat and are not paced. leastInner is the
	// part of the allowance of one bucket that calls of which several must succeed may get at least, singleMargin what is
	// kept for the others beyond what they wanted lately, and singleGain the weight of one bucket in that.
	leastInner   = 0.1
	singleMargin = 1.2
	singleGain   = 0.5
	// singleReserve is the number of buckets for which the repeats that single requests want stay untouched by others.
	singleReserve = 0.5
	// leastSubset is the least share of critical requests that get repeats when they are scarce; subsetStep and
	// subsetFactor raise the subset in each bucket in which none was denied.
	leastSubset  = 0.02
	subsetStep   = 0.02
	subsetFactor = 1.25
	// wholeSubset contains the requests of all levels of importance.
	wholeSubset = float64(hornbeamcroft.ImportanceCount)
	// subtreeShare is the part of the allowance that goes to repeats of runs which make further calls, at each of the
	// upper subtreeDepth levels. All calls of such a run are repeats at the services below, so that the sum over the
	// levels must leave room for theirs.
	subtreeShare = 0.25
	subtreeDepth = 3
)

// The parts of the allowance. Their sum is below 1: nodes see requests and repeats at slightly different times, and an
// allowance that is exceeded breaks the bound for all.
const (
	// UpstreamShare is spent by the nodes beside the upstreams.
	UpstreamShare = 0.78
	// SenderShare is spent by senders.
	SenderShare = 0.12
)

// Rationer counts requests and repeats by service. It is not safe for concurrent use.
type Rationer struct {
	// Ratio is the number of repeats allowed for each request, 0 to 1.
	Ratio float64
	// Slack is the number of repeats in a window that all nodes together may send besides.
	Slack float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
	// Share is the part of the allowance that this Rationer spends; UpstreamShare or SenderShare.
	Share float64
	// Nodes is the number of nodes that share the slack; at least 1.
	Nodes int

	services map[string]*count
}

type count struct {
	at                int64
	requests, repeats [kept]float64
	// subset tells whose calls get repeats, from the most important requests on: its whole part is the number of levels of
	// importance of which all do, the rest the share of the next level. granted and denied are the repeats of such calls
	// in the bucket.
	subset          float64
	granted, denied float64
	// singles is the smoothed number of repeats in a bucket that single requests want, and single that of this bucket.
	singles, single float64
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
	// Hash is the survival hash of the whole request.
	Hash uint32
}

// Allow reports whether a repeat may be sent, and counts it.
func (r *Rationer) Allow(now time.Duration, q Repeat) bool {
	c := r.count(now, q.Service)
	allowance := r.allowance(c)
	left := allowance - c.spent() - 1
	if q.Single && !q.Subtree {
		c.single++
	}
	if left < 0 || !c.due(q, left, allowance) {
		return false
	}
	c.repeats[c.at%kept]++
	return true
}

// due reports whether the request is one of those that get repeats while the given part of the allowance is left.
func (c *count) due(q Repeat, left, allowance float64) bool {
	switch {
	case q.Subtree:
		return q.Depth <= subtreeDepth && left >= (1-subtreeShare)*allowance
	case q.Single || left >= freeShare*allowance:
		return true
	}
	if float64(q.Hash) >= c.share(q.Importance)*hornbeamcroft.ThresholdAll {
		return false
	}
	quota, singles := allowance/buckets, max(c.singles, c.single)
	if left < singleReserve*singles || c.granted >= max(leastInner*quota, quota-singleMargin*singles) {
		c.denied++
		return false
	}
	c.granted++
	return true
}

// share returns the share of the requests of an importance that belong to the subset.
func (c *count) share(i hornbeamcroft.Importance) float64 {
	return c.subset - float64(hornbeamcroft.ImportanceCritical-i)
}

// turn begins a bucket. The subset follows what was asked for in the last one: some requests get all repeats that they
// need and the others none, since a request of which one call fails is lost with all that was spent on it.
func (c *count) turn() {
	c.at++
	c.requests[c.at%kept], c.repeats[c.at%kept] = 0, 0
	if c.denied > 0 {
		c.subset = max(leastSubset, c.subset*c.granted/(c.granted+c.denied))
	} else {
		c.subset = min(wholeSubset, c.subset*subsetFactor+subsetStep)
	}
	c.singles += (c.single - c.singles) * singleGain
	c.granted, c.denied, c.single = 0, 0, 0
}

// Left returns the repeats to the service that are still allowed.
func (r *Rationer) Left(now time.Duration, service string) float64 {
	c := r.count(now, service)
	return r.allowance(c) - c.spent()
}

func (r *Rationer) allowance(c *count) float64 {
	return r.Share * (r.Ratio*c.demand() + r.Slack/float64(max(r.Nodes, 1)))
}

// count returns the counts of the service with the buckets that left the window cleared.
func (r *Rationer) count(now time.Duration, service string) *count {
	if r.services == nil {
		r.services = make(map[string]*count)
	}
	at := int64(now / (max(r.Window, time.Second) / buckets))
	c := r.services[service]
	if c == nil {
		c = &count{at: at, subset: wholeSubset}
		r.services[service] = c
	}
	for steps := 0; c.at < at && steps < kept; steps++ {
		c.turn()
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
