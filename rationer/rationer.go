// Package rationer implements the retry budget of a service: it bounds the repeats that all nodes together send to
// it. A repeat is a call that a node sends again after a failure, or a call made again because the run that makes it
// is a repeat. Most of the allowance is spent by the nodes beside the upstreams: each sees all calls to its upstream,
// and therefore which of them benefit most from a repeat. The rest is for senders whose call got no answer at all.
package rationer

import (
	"time"

	"hornbeamcroft"
)

const (
	// windowBuckets is the number of buckets in a window, which slides in steps of one bucket.
	windowBuckets = 10
	// keptBuckets is the number of buckets that are kept: those of the current window and of the window before it.
	keptBuckets = 2 * windowBuckets
	// unpacedShare is the unspent share of the allowance from which on repeats are not paced, so that a burst of
	// failures, as after a crash, is repeated at once.
	unpacedShare = 0.7
	// Single requests that make no further calls gain the most from each repeat and are not paced. Grouped calls, of
	// which several must all succeed, are paced by bucket. minGroupedShare is the share of the allowance of one bucket
	// that they may always get. singleMargin is the factor by which the budget kept for single requests exceeds their
	// smoothed demand, and singleGain the weight of one bucket in that demand.
	minGroupedShare = 0.1
	singleMargin    = 1.2
	singleGain      = 0.5
	// singleReserveBuckets is the number of buckets of the single requests' demand for repeats that stay untouched by
	// grouped calls.
	singleReserveBuckets = 0.5
	// minSubset is the smallest share of critical requests whose grouped calls get repeats when these are scarce. After
	// each bucket without a denied repeat, subsetStep and subsetFactor raise the subset.
	minSubset    = 0.02
	subsetStep   = 0.02
	subsetFactor = 1.25
	// fullSubset is the subset that contains the requests of all levels of importance.
	fullSubset = float64(hornbeamcroft.ImportanceCount)
	// subtreeShare is the share of the allowance that is available to repeats of runs which make further calls, at each
	// of the upper subtreeDepth levels of the call tree. All calls of such a run are repeats at the services below, so
	// the sum over the levels must leave room for those.
	subtreeShare = 0.25
	subtreeDepth = 3
)

// UpstreamShare and SenderShare divide the allowance. Their sum is below 1: nodes see requests and repeats at slightly
// different times, and one node that exceeds its allowance breaks the bound for all.
const (
	// UpstreamShare is the share of the nodes beside the upstreams.
	UpstreamShare = 0.78
	// SenderShare is the share of the senders.
	SenderShare = 0.12
)

// Rationer counts requests and repeats by service and grants repeats. It is not safe for concurrent use.
type Rationer struct {
	// Ratio is the number of repeats allowed per request, 0 to 1.
	Ratio float64
	// Slack is the number of repeats per window that all nodes together may send in addition to Ratio.
	Slack float64
	// Window is the time over which requests and repeats are counted; a value below 1 s counts as 1 s.
	Window time.Duration
	// Share is the share of the allowance that this Rationer may spend: UpstreamShare or SenderShare.
	Share float64
	// Nodes is the number of nodes that divide the slack equally; at least 1.
	Nodes int

	services map[string]*serviceCounts
}

// serviceCounts holds the counts of one service.
type serviceCounts struct {
	// bucket is the number of the current bucket; requests and repeats are indexed by the bucket number modulo
	// keptBuckets.
	bucket            int64
	requests, repeats [keptBuckets]float64
	// subset determines whose grouped calls get repeats, beginning with the most important requests. Its integer part
	// is the number of levels of importance of which all requests do, its fraction the share of the next level. granted
	// and denied count the repeats asked for in the current bucket by grouped calls of these requests.
	subset          float64
	granted, denied float64
	// singleRate is the smoothed number of repeats per bucket that single requests ask for, and singleCount the number
	// in the current bucket.
	singleRate, singleCount float64
}

// Request counts the first send of a request to the service.
func (r *Rationer) Request(now time.Duration, service string) {
	c := r.serviceCounts(now, service)
	c.requests[c.bucket%keptBuckets]++
}

// Caused counts a call to the service that is a repeat because a run above it in the call tree is one.
func (r *Rationer) Caused(now time.Duration, service string) {
	c := r.serviceCounts(now, service)
	c.repeats[c.bucket%keptBuckets]++
}

// Repeat describes a repeat to be decided on.
type Repeat struct {
	Service string
	// Subtree is true if the first send may have run and made calls of its own, which the repeat would make again.
	Subtree bool
	// Depth is the depth in the call tree: 1 for the request of a caller.
	Depth int
	// Single is true if the call is a whole request, and not one of several calls that must all succeed.
	Single     bool
	Importance hornbeamcroft.Importance
	// Hash is the survival hash of the whole request.
	Hash uint32
}

// Allow reports whether a repeat may be sent, and counts it if so.
func (r *Rationer) Allow(now time.Duration, q Repeat) bool {
	c := r.serviceCounts(now, q.Service)
	allowance := r.allowance(c)
	left := allowance - c.windowRepeats() - 1
	if q.Single && !q.Subtree {
		c.singleCount++
	}
	if left < 0 || !c.permitted(q, left, allowance) {
		return false
	}
	c.repeats[c.bucket%keptBuckets]++
	return true
}

// permitted reports whether the repeat may be sent while the given part of the allowance is left.
func (c *serviceCounts) permitted(q Repeat, left, allowance float64) bool {
	switch {
	case q.Subtree:
		return q.Depth <= subtreeDepth && left >= (1-subtreeShare)*allowance
	case q.Single || left >= unpacedShare*allowance:
		return true
	}
	if float64(q.Hash) >= c.subsetShare(q.Importance)*hornbeamcroft.ThresholdAll {
		return false
	}
	quota, singleRate := allowance/windowBuckets, max(c.singleRate, c.singleCount)
	if left < singleReserveBuckets*singleRate || c.granted >= max(minGroupedShare*quota, quota-singleMargin*singleRate) {
		c.denied++
		return false
	}
	c.granted++
	return true
}

// subsetShare returns the share of the requests of importance i that belong to the subset. It is 0 or less if none
// do.
func (c *serviceCounts) subsetShare(i hornbeamcroft.Importance) float64 {
	return c.subset - float64(hornbeamcroft.ImportanceCritical-i)
}

// nextBucket begins a new bucket and adapts the subset to the repeats asked for in the last one. Limiting repeats to
// a subset gives some requests all the repeats that they need and the others none: a request that loses one of its
// calls fails, and all work done for it is wasted.
func (c *serviceCounts) nextBucket() {
	c.bucket++
	c.requests[c.bucket%keptBuckets], c.repeats[c.bucket%keptBuckets] = 0, 0
	if c.denied > 0 {
		c.subset = max(minSubset, c.subset*c.granted/(c.granted+c.denied))
	} else {
		c.subset = min(fullSubset, c.subset*subsetFactor+subsetStep)
	}
	c.singleRate += (c.singleCount - c.singleRate) * singleGain
	c.granted, c.denied, c.singleCount = 0, 0, 0
}

// Left returns the number of repeats to the service that are still allowed.
func (r *Rationer) Left(now time.Duration, service string) float64 {
	c := r.serviceCounts(now, service)
	return r.allowance(c) - c.windowRepeats()
}

// allowance returns the number of repeats that this Rationer may send in a window.
func (r *Rationer) allowance(c *serviceCounts) float64 {
	return r.Share * (r.Ratio*c.peakRequests() + r.Slack/float64(max(r.Nodes, 1)))
}

// serviceCounts returns the counts of the service, advanced to the bucket of now.
func (r *Rationer) serviceCounts(now time.Duration, service string) *serviceCounts {
	if r.services == nil {
		r.services = make(map[string]*serviceCounts)
	}
	bucket := int64(now / (max(r.Window, time.Second) / windowBuckets))
	c := r.services[service]
	if c == nil {
		c = &serviceCounts{bucket: bucket, subset: fullSubset}
		r.services[service] = c
	}
	for advanced := 0; c.bucket < bucket && advanced < keptBuckets; advanced++ {
		c.nextBucket()
	}
	c.bucket = max(c.bucket, bucket)
	return c
}

// windowRepeats returns the number of repeats in the current window.
func (c *serviceCounts) windowRepeats() float64 { return c.windowSum(c.repeats, 0) }

// peakRequests returns the greatest number of requests among the current window, the window half a window earlier and
// the window before. A burst of failures comes with or after the requests that it belongs to.
func (c *serviceCounts) peakRequests() float64 {
	return max(c.windowSum(c.requests, 0), c.windowSum(c.requests, windowBuckets/2), c.windowSum(c.requests, windowBuckets))
}

// windowSum returns the sum of the buckets of the window that ended ago buckets before the current bucket.
func (c *serviceCounts) windowSum(values [keptBuckets]float64, ago int64) float64 {
	total := 0.0
	for i := range int64(windowBuckets) {
		if bucket := c.bucket - ago - i; bucket >= 0 {
			total += values[bucket%keptBuckets]
		}
	}
	return total
}
