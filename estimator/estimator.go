// Package estimator knows by route for how long callers have been waiting when they send an attempt, and how long an answer
// takes. The objective of a request counts from its caller's first attempt, and only the deadline of a later one tells that
// there was an earlier one.
package estimator

import "time"

const (
	// epoch is the time over which the longest deadline of a route is taken; the one before it counts too.
	epoch = 10 * time.Second
	// tookGain is the weight of one answer in the usual time of a route, and tookMargin what is added to it, as a share.
	tookGain   = 0.05
	tookMargin = 0.25
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Estimator holds what is known of routes. The zero value is ready for use; it is not safe for concurrent use.
type Estimator struct {
	routes map[string]*route
}

type route struct {
	// began is the begin of the epoch, longest its longest deadline and before that of the epoch before.
	began           time.Duration
	longest, before time.Duration
	// took is the smoothed time of a good answer.
	took time.Duration
}

// Age returns for how long the caller of an attempt has been waiting. Callers of a route have the same patience at first;
// one whose deadline is nearer has tried before.
func (e *Estimator) Age(now time.Duration, name string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	r := e.route(name)
	if now-r.began >= epoch {
		r.before, r.longest, r.began = r.longest, 0, now
	}
	r.longest = max(r.longest, deadline)
	return max(r.longest, r.before) - deadline
}

// Served takes the time of a good answer.
func (e *Estimator) Served(name string, took time.Duration) {
	r := e.route(name)
	if r.took == 0 {
		r.took = took
	}
	r.took += time.Duration(float64(took-r.took) * tookGain)
}

// Spare returns how much of the time left for an answer is not needed to make one. It is negative if the answer will be
// late.
func (e *Estimator) Spare(name string, left time.Duration) time.Duration {
	took := e.route(name).took
	return left - took - time.Duration(tookMargin*float64(took))
}

func (e *Estimator) route(name string) *route {
	r := e.routes[name]
	if r != nil {
		return r
	}
	if e.routes == nil || len(e.routes) >= maxRoutes {
		e.routes = make(map[string]*route)
	}
	r = &route{}
	e.routes[name] = r
	return r
}
