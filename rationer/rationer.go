// Package rationer bounds the repeats that all nodes together send to a service. Each node spends its own part of the
// allowance, so that nodes need not ask each other.
package rationer

import "time"

const (
	// buckets divide the window, so that it slides in steps of a tenth.
	buckets = 10
	// safeShare is the part of the allowance that is spent. Nodes differ in what they see, repeats cause further calls
	// below, and an allowance that is exceeded breaks the bound for all.
	safeShare = 0.5
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
	requests, repeats [buckets]float64
}

// Request counts the first send of a request to the service.
func (r *Rationer) Request(now time.Duration, service string) {
	c := r.count(now, service)
	c.requests[c.at%buckets]++
}

// Allow reports whether a repeat may be sent, and counts it. Weight is the number of calls to each service that the
// repeat may cause, that to the service itself included.
func (r *Rationer) Allow(now time.Duration, weight map[string]float64) bool {
	for service, w := range weight {
		c := r.count(now, service)
		if sum(c.repeats)+w > r.allowance(c) {
			return false
		}
	}
	for service, w := range weight {
		c := r.count(now, service)
		c.repeats[c.at%buckets] += w
	}
	return true
}

// Left returns the repeats to the service that are still allowed.
func (r *Rationer) Left(now time.Duration, service string) float64 {
	c := r.count(now, service)
	return r.allowance(c) - sum(c.repeats)
}

func (r *Rationer) allowance(c *count) float64 {
	return safeShare * (r.Ratio*sum(c.requests) + r.Slack/float64(max(r.Nodes, 1)))
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
	for steps := 0; c.at < at && steps < buckets; steps++ {
		c.at++
		c.requests[c.at%buckets], c.repeats[c.at%buckets] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}

func sum(values [buckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
