// Package estimator estimates, for each route, how long a caller has been waiting when it sends an attempt, and how
// long an answer takes. The objective of a request counts from the first attempt of its caller. A later attempt can
// be recognized only by its shorter deadline.
package estimator

import "time"

const (
	// epoch is the time over which the longest deadline of a route is determined; the previous epoch counts too.
	epoch = 10 * time.Second
	// responseTimeGain is the weight of one answer in the smoothed response time of a route. responseTimeMargin is the
	// share of the response time that is added to it as a reserve.
	responseTimeGain   = 0.05
	responseTimeMargin = 0.25
	// maxRoutes bounds the number of routes whose estimates are kept.
	maxRoutes = 4096
)

// Estimator holds the estimates by route. The zero value is ready for use; it is not safe for concurrent use.
type Estimator struct {
	routes map[string]*route
}

// route holds the estimates of one route.
type route struct {
	// epochStart is the start of the current epoch, maxDeadline its longest deadline and prevMaxDeadline that of the
	// previous epoch.
	epochStart                   time.Duration
	maxDeadline, prevMaxDeadline time.Duration
	// responseTime is the smoothed response time of successful answers; zero before the first one.
	responseTime time.Duration
}

// Age returns how long the caller of an attempt has been waiting since its first attempt. It assumes that all callers
// of a route start with the same deadline: a caller with less time until its deadline has tried before.
func (e *Estimator) Age(now time.Duration, name string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	r := e.route(name)
	if now-r.epochStart >= epoch {
		r.prevMaxDeadline, r.maxDeadline, r.epochStart = r.maxDeadline, 0, now
	}
	r.maxDeadline = max(r.maxDeadline, deadline)
	return max(r.maxDeadline, r.prevMaxDeadline) - deadline
}

// AddResponseTime adds the response time of a successful answer.
func (e *Estimator) AddResponseTime(name string, responseTime time.Duration) {
	r := e.route(name)
	if r.responseTime == 0 {
		r.responseTime = responseTime
	}
	r.responseTime += time.Duration(float64(responseTime-r.responseTime) * responseTimeGain)
}

// SpareTime returns how much of the time left exceeds the time that an answer takes, with a margin. It is negative if the
// answer is expected to be late.
func (e *Estimator) SpareTime(name string, left time.Duration) time.Duration {
	responseTime := e.route(name).responseTime
	return left - responseTime - time.Duration(responseTimeMargin*float64(responseTime))
}

// route returns the estimates of a route, with empty ones added if there are none. It drops all routes when there are
// maxRoutes.
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
