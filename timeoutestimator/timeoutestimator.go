// Package timeoutestimator measures how long runs of each route work, without the time of the calls that they wait for, and
// derives the time after which the answer of a run counts as lost. An upstream can lose an answer and leave the
// connection open, so that only a timeout detects the loss.
package timeoutestimator

import "time"

const (
	// timeoutFactor is the multiple of the smoothed run time after which an answer counts as lost. The longest runs of
	// a route, at an upstream that is nearly full, stay below it: ending one of them would waste its work.
	timeoutFactor = 10
	// minTimeout is the shortest time after which an answer counts as lost; it covers pauses of the processes.
	minTimeout = 100 * time.Millisecond
	// minRuns is the number of runs from which on the smoothed run time is used.
	minRuns = 20
	// runTimeGain is the weight of one run in the smoothed run time.
	runTimeGain = 0.05
	// maxRoutes bounds the number of routes whose run times are kept.
	maxRoutes = 4096
)

// TimeoutEstimator holds the run times by route. The zero value is ready for use; it is not safe for concurrent use.
type TimeoutEstimator struct {
	routes map[string]*route
}

// route holds the run time of one route.
type route struct {
	// runTime is the smoothed time of a run, without the calls that it waits for.
	runTime time.Duration
	runs    int
}

// AddOwnTime adds the time for which a run with a successful answer worked, without the calls that it waited for. It
// drops all routes when a new one exceeds maxRoutes.
func (e *TimeoutEstimator) AddOwnTime(name string, ownTime time.Duration) {
	r := e.routes[name]
	if r == nil {
		if e.routes == nil || len(e.routes) >= maxRoutes {
			e.routes = make(map[string]*route)
		}
		r = &route{runTime: ownTime}
		e.routes[name] = r
	}
	r.runs++
	r.runTime += time.Duration(float64(ownTime-r.runTime) * runTimeGain)
}

// AttemptTimeout returns how long a run of the route may work, without the calls that it waits for, before its answer
// counts as lost. It returns false if fewer than minRuns runs are known.
func (e *TimeoutEstimator) AttemptTimeout(name string) (time.Duration, bool) {
	r := e.routes[name]
	if r == nil || r.runs < minRuns {
		return 0, false
	}
	return max(timeoutFactor*r.runTime, minTimeout), true
}
