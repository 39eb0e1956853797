// Package throttler decides at the way in whether a request starts. It knows which services the requests of a route
// reach, and the admission level of these services as answers report it, so that a request which a service further down
// would turn away is refused before any work is spent on it.
package throttler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
)

const (
	// reachGain is the weight of one answer in the number of calls that a request makes to a service.
	reachGain = 0.05
	// leastReach is the number of calls below which a service is not counted as reached.
	leastReach = 0.1
	// maxRoutes, maxViews and maxServices bound what answers can make a node remember.
	maxRoutes   = 4096
	maxViews    = 1024
	maxServices = 64
	// probeShare of the requests that would be refused starts, so that a lower level is noticed.
	probeShare = 0.01
	// maxLevels bounds the levels on one answer.
	maxLevels = 8
	// returningFactor is how much more likely a request is admitted whose caller has tried before.
	returningFactor = 2
	// leastRetry and retrySpread give the time after which a refused request may come back: long enough for the level to
	// change, and spread so that refused callers do not come back together.
	leastRetry  = 300 * time.Millisecond
	retrySpread = time.Second
)

// Verdict says whether a request starts.
type Verdict struct {
	Admitted bool
	// Weight is the number of requests that an admitted one stands for: the inverse of the probability to be admitted.
	Weight float32
	// Service is the one that would turn the request away, Level its admission level and LevelAge the age of that.
	Service  string
	Level    hornbeamcroft.Pressure
	LevelAge time.Duration
}

// Request is what is asked about.
type Request struct {
	Route      string
	Service    string
	Importance hornbeamcroft.Importance
	// Returning is true if the caller has tried before and can still get its answer in time.
	Returning bool
}

// Throttler holds the levels and what it learned about routes. It is not safe for concurrent use.
type Throttler struct {
	// views are what is known of the levels of services.
	views map[string]*view
	// reach is the number of calls to each service by route.
	reach    map[string]map[string]float64
	services []string
}

// Admit decides about a request.
func (t *Throttler) Admit(now time.Duration, rnd hornbeamcroft.Rand, q Request) Verdict {
	hash := uint32(rnd.IntN(hornbeamcroft.ThresholdAll))
	if q.Returning {
		// Of the requests of one importance, those that were refused before have a better chance. They do not all pass:
		// callers that come back at once would make the level useless.
		hash /= returningFactor
	}
	service, share := t.pressed(now, q, hash)
	if service == "" || rnd.Float64() < probeShare {
		if q.Returning {
			share = min(1, share*returningFactor)
		}
		return Verdict{Admitted: true, Weight: float32(1 / max(share, probeShare))}
	}
	v := Verdict{Service: service, Level: t.level(now, service)}
	if view := t.views[service]; view != nil {
		v.LevelAge = view.age(now)
	}
	return v
}

// pressed returns the service that would turn the request away, or "", and the share of such requests that starts.
func (t *Throttler) pressed(now time.Duration, q Request, hash uint32) (string, float64) {
	refusing, least := "", 1.0
	for _, service := range t.reached(q) {
		p := t.level(now, service)
		if !admitter.Admits(p, q.Importance, hash) {
			refusing = service
		}
		switch {
		case p.Importance == q.Importance:
			least = min(least, float64(p.Threshold)/hornbeamcroft.ThresholdAll)
		case p.Importance > q.Importance:
			least = 0
		}
	}
	return refusing, least
}

// level returns the admission level of a service.
func (t *Throttler) level(now time.Duration, service string) hornbeamcroft.Pressure {
	if v := t.views[service]; v != nil {
		return v.level(now, service)
	}
	return hornbeamcroft.Pressure{Service: service, Threshold: hornbeamcroft.ThresholdAll}
}

// RetryAfter returns when a refused request may come back, given the time that it can spare: within it, if that is long
// enough for the level to change.
func RetryAfter(rnd hornbeamcroft.Rand, spare time.Duration) time.Duration {
	spread := retrySpread
	if spare > leastRetry {
		spread = min(spread, spare-leastRetry)
	}
	return leastRetry + time.Duration(rnd.Float64()*float64(spread))
}

// reached returns the service of the request and those that its calls reach.
func (t *Throttler) reached(q Request) []string {
	t.services = append(t.services[:0], q.Service)
	for s, calls := range t.reach[q.Route] {
		if calls >= leastReach && s != q.Service {
			t.services = append(t.services, s)
		}
	}
	return t.services
}

// Source is where an answer came from.
type Source struct {
	Route, Service, Host string
}

// Observe takes the load of the host that answered, the levels of the services below, and the calls that the run made.
func (t *Throttler) Observe(now time.Duration, from Source, a hornbeamcroft.Answer) {
	if a.Load != nil {
		t.view(from.Service).take(now, from.Host, *a.Load)
	}
	for _, p := range a.Pressure {
		t.view(p.Service).hear(now, p)
	}
	t.learn(from.Route, a.Reach, a.Code == hornbeamcroft.CodeAnswered && a.Status < 300)
}

func (t *Throttler) view(service string) *view {
	v := t.views[service]
	if v != nil {
		return v
	}
	if t.views == nil || len(t.views) >= maxViews {
		t.views = make(map[string]*view)
	}
	v = &view{}
	t.views[service] = v
	return v
}

// learn counts the calls of a run. One that failed may not have made all its calls, but the services that it reached
// are known by it.
func (t *Throttler) learn(route string, reach []hornbeamcroft.Reach, whole bool) {
	known := t.reach[route]
	if known == nil {
		if len(t.reach) >= maxRoutes || len(reach) == 0 {
			return
		}
		if t.reach == nil {
			t.reach = make(map[string]map[string]float64)
		}
		known = make(map[string]float64)
		t.reach[route] = known
	}
	if whole {
		for s := range known {
			known[s] -= known[s] * reachGain
		}
	}
	for _, r := range reach {
		calls := float64(r.Calls)
		switch _, ok := known[r.Service]; {
		case !ok && len(known) < maxServices:
			known[r.Service] = calls
		case ok && whole:
			known[r.Service] += calls * reachGain
		case ok:
			known[r.Service] = max(known[r.Service], calls)
		}
	}
}

// Learned returns what is known of the routes, for a node that has just started.
func (t *Throttler) Learned() map[string][]hornbeamcroft.Reach {
	all := make(map[string][]hornbeamcroft.Reach, len(t.reach))
	for route, services := range t.reach {
		for s, calls := range services {
			if len(all[route]) < hornbeamcroft.MaxReach {
				all[route] = append(all[route], hornbeamcroft.Reach{Service: s, Calls: int(math.Ceil(calls))})
			}
		}
	}
	return all
}

// Teach takes what another node knows of routes that this one has not seen yet.
func (t *Throttler) Teach(routes map[string][]hornbeamcroft.Reach) {
	for route, reach := range routes {
		if t.reach[route] == nil {
			t.learn(route, reach, false)
		}
	}
}

// Levels returns the levels of the services that a run reached, the most pressed first, for the answer to the sender.
// Levels that admit everything are told too, so that the sender hears of the end of an overload.
func (t *Throttler) Levels(now time.Duration, reach []hornbeamcroft.Reach) []hornbeamcroft.Pressure {
	var list []hornbeamcroft.Pressure
	for _, r := range reach {
		list = append(list, t.level(now, r.Service))
	}
	slices.SortFunc(list, func(a, b hornbeamcroft.Pressure) int {
		return cmp.Or(cmp.Compare(b.Importance, a.Importance), cmp.Compare(a.Threshold, b.Threshold))
	})
	return list[:min(len(list), maxLevels)]
}

// Reach returns the number of calls that a request of the route makes to each service.
func (t *Throttler) Reach(route string) map[string]float64 { return t.reach[route] }
