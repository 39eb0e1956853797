// Package waiter learns for how long runs of each route work themselves, and says from when on the answer of a run is taken
// as lost: an upstream can lose an answer and leave the connection open, so that only time shows it.
package waiter

import "time"

const (
	// lostFactor is by how much a run outlasts the usual one until its answer is taken as lost. The longest runs of a
	// route, at an upstream that is nearly full, stay below it: to end one of them wastes its work.
	lostFactor = 10
	// leastPatience is the shortest time until an answer is taken as lost; it covers pauses of the processes.
	leastPatience = 100 * time.Millisecond
	// leastRuns is the number of runs from which on the usual time counts.
	leastRuns = 20
	// gain is the weight of one run in the usual time.
	gain = 0.05
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// Waiter holds what is known of routes. The zero value is ready for use; it is not safe for concurrent use.
type Waiter struct {
	routes map[string]*route
}

type route struct {
	// usual is the smoothed time of a run, without the calls that it waits for.
	usual time.Duration
	runs  int
}

// Answered takes for how long a run with a good answer worked itself.
func (w *Waiter) Answered(name string, worked time.Duration) {
	r := w.routes[name]
	if r == nil {
		if w.routes == nil || len(w.routes) >= maxRoutes {
			w.routes = make(map[string]*route)
		}
		r = &route{usual: worked}
		w.routes[name] = r
	}
	r.runs++
	r.usual += time.Duration(float64(worked-r.usual) * gain)
}

// Patience returns how long a run of the route may work itself before its answer is taken as lost; false if too few runs
// are known.
func (w *Waiter) Patience(name string) (time.Duration, bool) {
	r := w.routes[name]
	if r == nil || r.runs < leastRuns {
		return 0, false
	}
	return max(lostFactor*r.usual, leastPatience), true
}
