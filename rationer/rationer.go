// Package rationer implements the retry budget of a service: it bounds the retries that all nodes together send to
// it. A retry is a call that a node sends again after a failure, or a call made again because the run that makes it
// is a retry. Most of the budget is spent by the nodes beside the upstreams: each sees all calls to its upstream,
// and therefore which of them benefit most from a retry. The rest is for senders whose call got no answer at all.
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
	// unpacedShare is the unspent share of the budget from which on retries are not paced, so that a burst of
	// failures, as after a crash, is retried at once.
	unpacedShare = 0.7
	// A single request is a call with WholeRequest set and Subtree unset in its Retry: it makes no further calls, gains
	// the most from each retry, and is not paced. A grouped call has both unset: it is one of several calls that must
	// all succeed, and is paced by bucket. minGroupedShare is the share of the budget of one bucket that grouped calls
	// may always get. singleMargin is the factor by which the budget kept for single requests exceeds their smoothed
	// demand for retries, and singleGain the weight of one bucket in that demand.
	minGroupedShare = 0.1
	singleMargin    = 1.2
	singleGain      = 0.5
	// singleReserveBuckets is the number of buckets of the single requests' demand for retries that stay untouched by
	// grouped calls.
	singleReserveBuckets = 0.5
	// minSubset is the smallest share of critical requests whose grouped calls get retries when these are scarce. After
	// each bucket without a denied retry, subsetStep and subsetFactor raise the subset.
	minSubset    = 0.02
	subsetStep   = 0.02
	subsetFactor = 1.25
	// fullSubset is the subset that contains the requests of all levels of importance.
	fullSubset = float64(hornbeamcroft.ImportanceCount)
	// ordinaryBand is the band of most tenants. The requests of a higher one belong to the subset as if their route were one level
	// more important.
	ordinaryBand = 1
	// subtreeShare is the share of the budget that is available to retries of runs which make further calls, at each
	// of the upper subtreeDepth levels of the call tree. All calls of such a run are retries at the services below, so
	// the sum over the levels must leave room for those.
	subtreeShare = 0.25
	subtreeDepth = 3
)

// UpstreamShare and SenderShare divide the budget. Their sum is below 1: nodes see requests and retries at slightly
// different times, and one node that exceeds its part breaks the bound for all.
const (
	// UpstreamShare is the share of the nodes beside the upstreams.
	UpstreamShare = 0.78
	// SenderShare is the share of the senders.
	SenderShare = 0.12
)

// Rationer counts requests and retries by service and grants retries. It is not safe for concurrent use.
type Rationer struct {
	// Ratio is the number of retries allowed per request, 0 to 1.
	Ratio float64
	// Allowance is the number of retries per window that all nodes together may send in addition to Ratio.
	Allowance float64
	// Window is the time over which requests and retries are counted; a value below 1 s counts as 1 s.
	Window time.Duration
	// Share is the share of the budget that this Rationer may spend: UpstreamShare or SenderShare.
	Share float64
	// Nodes is the number of nodes that divide Allowance equally; at least 1.
	Nodes int

	services map[string]*serviceCounts
}

// serviceCounts holds the counts of one service.
type serviceCounts struct {
	// bucket is the number of the current bucket; requests and retries are indexed by the bucket number modulo
	// keptBuckets.
	bucket            int64
	requests, retries [keptBuckets]float64
	// subset determines the requests whose grouped calls get retries, beginning with the most important requests. Its
	// integer part is the number of levels of importance all of whose requests belong to the subset, its fraction the
	// share of the requests of the next level that do. granted and denied count the paced retries in the current bucket
	// that grouped calls of these requests were granted and denied.
	subset          float64
	granted, denied float64
	// singleRate is the smoothed number per bucket of calls of Allow for single requests, whether granted or denied, and
	// singleCount their number in the current bucket.
	singleRate, singleCount float64
}

// CountRequest counts the first send of a request to the service.
func (r *Rationer) CountRequest(now time.Duration, service string) {
	c := r.serviceCounts(now, service)
	c.requests[c.bucket%keptBuckets]++
}

// CountInducedRetry counts a call to the service that is a retry because a run above it in the call tree is a retry.
func (r *Rationer) CountInducedRetry(now time.Duration, service string) {
	c := r.serviceCounts(now, service)
	c.retries[c.bucket%keptBuckets]++
}

// Retry describes a retry to be decided on.
type Retry struct {
	Service string
	// Subtree is true if the first send may have run and made calls of its own, which the retry would make again.
	Subtree bool
	// Depth is the depth in the call tree: 1 for the request of a caller.
	Depth int
	// WholeRequest is true if the call is a whole request, and not one of several calls that must all succeed.
	WholeRequest bool
	Importance   hornbeamcroft.Importance
	// Hash is the survival hash of the whole request.
	Hash uint32
}

// Allow reports whether a retry may be sent. If so, it counts the retry against the budget.
func (r *Rationer) Allow(now time.Duration, retry Retry) bool {
	c := r.serviceCounts(now, retry.Service)
	budget := r.budget(c)
	remaining := budget - c.windowRetries() - 1
	if retry.WholeRequest && !retry.Subtree {
		c.singleCount++
	}
	if remaining < 0 || !c.permitted(retry, remaining, budget) {
		return false
	}
	c.retries[c.bucket%keptBuckets]++
	return true
}

// permitted reports whether the retry may be sent while the given part of the budget remains.
func (c *serviceCounts) permitted(retry Retry, remaining, budget float64) bool {
	switch {
	case retry.Subtree:
		return retry.Depth <= subtreeDepth && remaining >= (1-subtreeShare)*budget
	case retry.WholeRequest || remaining >= unpacedShare*budget:
		return true
	}
	if float64(retry.Hash) >= c.subsetShare(retry.Importance)*hornbeamcroft.ThresholdAll {
		return false
	}
	quota, singleRate := budget/windowBuckets, max(c.singleRate, c.singleCount)
	if remaining < singleReserveBuckets*singleRate || c.granted >= max(minGroupedShare*quota, quota-singleMargin*singleRate) {
		c.denied++
		return false
	}
	c.granted++
	return true
}

// subsetShare returns the share of the requests of importance i that belong to the subset. The share is 0 or less if
// none belong to it, and 1 or more if all do.
func (c *serviceCounts) subsetShare(i hornbeamcroft.Importance) float64 {
	share := c.subset - float64(hornbeamcroft.ImportanceCritical-i.InBand(0))
	return share + float64(max(0, i.Band()-ordinaryBand))
}

// nextBucket begins a new bucket and adapts the subset to the retries asked for in the last one. Limiting retries to
// a subset gives some requests all the retries that they need and the others none: a request that loses one of its
// calls fails, and all work done for it is wasted.
func (c *serviceCounts) nextBucket() {
	c.bucket++
	c.requests[c.bucket%keptBuckets], c.retries[c.bucket%keptBuckets] = 0, 0
	if c.denied > 0 {
		c.subset = max(minSubset, c.subset*c.granted/(c.granted+c.denied))
	} else {
		c.subset = min(fullSubset, c.subset*subsetFactor+subsetStep)
	}
	c.singleRate += (c.singleCount - c.singleRate) * singleGain
	c.granted, c.denied, c.singleCount = 0, 0, 0
}

// Remaining returns the number of retries to the service that are still allowed.
func (r *Rationer) Remaining(now time.Duration, service string) float64 {
	c := r.serviceCounts(now, service)
	return r.budget(c) - c.windowRetries()
}

// budget returns the number of retries that this Rationer may send in a window.
func (r *Rationer) budget(c *serviceCounts) float64 {
	return r.Share * (r.Ratio*c.peakRequests() + r.Allowance/float64(max(r.Nodes, 1)))
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

// windowRetries returns the number of retries in the current window.
func (c *serviceCounts) windowRetries() float64 { return c.windowSum(c.retries, 0) }

// peakRequests returns the greatest number of requests among the current window, the window half a window earlier and
// the window before. A burst of failures comes with or after the requests that it belongs to.
func (c *serviceCounts) peakRequests() float64 {
	return max(c.windowSum(c.requests, 0), c.windowSum(c.requests, windowBuckets/2), c.windowSum(c.requests, windowBuckets))
}

// windowSum returns the sum of the buckets of the window that ended bucketsAgo buckets before the current bucket.
func (c *serviceCounts) windowSum(values [keptBuckets]float64, bucketsAgo int64) float64 {
	total := 0.0
	for i := range int64(windowBuckets) {
		if bucket := c.bucket - bucketsAgo - i; bucket >= 0 {
			total += values[bucket%keptBuckets]
		}
	}
	return total
}
