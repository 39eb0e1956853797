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
	"hornbeamcroft/propagator"
)

const (
	// reachGain is the weight of one answer in the number of calls that a request makes to a service.
	reachGain = 0.05
	// leastReach is the number of calls below which a service is not counted as reached.
	leastReach = 0.1
	// maxRoutes and maxServices bound what answers can make a node remember.
	maxRoutes   = 4096
	maxServices = 64
	// probeShare of the requests that would be refused starts, so that a lower level is noticed.
	probeShare = 0.01
	// returnTime is how long a refused request is remembered, so that its caller goes first when it comes back.
	returnTime = 5 * time.Second
	// maxReturns bounds the refused requests that are remembered.
	maxReturns = 16384
	// leastRetry and retrySpread give the time after which a refused request may come back: long enough for the level to
	// change, and spread so that refused callers do not come back together.
	leastRetry  = 300 * time.Millisecond
	retrySpread = time.Second
)

// Verdict says whether a request starts.
type Verdict struct {
	Admitted bool
	// Service is the one that would turn the request away.
	Service string
	// Returning is true if the request was refused here before.
	Returning bool
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
}

// Request is what is asked about.
type Request struct {
	Route      string
	Service    string
	Importance hornbeamcroft.Importance
	// Fingerprint is equal for the attempts of one request.
	Fingerprint uint64
}

// Throttler holds the levels and what it learned about routes. It is not safe for concurrent use.
type Throttler struct {
	// views are the levels of services that this node calls itself, levels those that it hears of through others.
	views  map[string]*view
	levels propagator.Propagator
	// reach is the number of calls to each service by route.
	reach    map[string]map[string]float64
	returns  map[uint64]time.Duration
	oldest   []returning
	services []string
}

type returning struct {
	fingerprint uint64
	at          time.Duration
}

// Admit decides about a request.
func (t *Throttler) Admit(now time.Duration, rnd hornbeamcroft.Rand, q Request) Verdict {
	t.forget(now)
	_, returning := t.returns[q.Fingerprint]
	hash := uint32(rnd.IntN(hornbeamcroft.ThresholdAll))
	if returning {
		// Of the requests of one importance, those that were refused before go first.
		hash = 0
	}
	service, pressed := t.pressed(now, q, hash)
	if !pressed || rnd.Float64() < probeShare {
		delete(t.returns, q.Fingerprint)
		return Verdict{Admitted: true, Returning: returning}
	}
	after := t.refused(now, rnd, q)
	return Verdict{Service: service, Returning: returning, RetryAfter: after}
}

// pressed returns a service that would turn the request away.
func (t *Throttler) pressed(now time.Duration, q Request, hash uint32) (string, bool) {
	for _, service := range t.reached(q) {
		if !admitter.Admits(t.level(now, service), q.Importance, hash) {
			return service, true
		}
	}
	return "", false
}

// level returns the admission level of a service.
func (t *Throttler) level(now time.Duration, service string) hornbeamcroft.Pressure {
	p := t.levels.Pressure(now, service)
	if v := t.views[service]; v != nil && len(v.hosts) > 0 {
		p = v.least(now)
	}
	p.Service = service
	return p
}

// Refused remembers a request that was refused elsewhere, and returns when it may come back.
func (t *Throttler) Refused(now time.Duration, rnd hornbeamcroft.Rand, q Request) time.Duration {
	t.forget(now)
	return t.refused(now, rnd, q)
}

func (t *Throttler) refused(now time.Duration, rnd hornbeamcroft.Rand, q Request) time.Duration {
	if t.returns == nil {
		t.returns = make(map[uint64]time.Duration)
	}
	if len(t.oldest) < maxReturns {
		t.returns[q.Fingerprint] = now
		t.oldest = append(t.oldest, returning{fingerprint: q.Fingerprint, at: now})
	}
	return leastRetry + time.Duration(rnd.Float64()*float64(retrySpread))
}

func (t *Throttler) forget(now time.Duration) {
	for len(t.oldest) > 0 && now-t.oldest[0].at >= returnTime {
		o := t.oldest[0]
		t.oldest = t.oldest[1:]
		if t.returns[o.fingerprint] == o.at {
			delete(t.returns, o.fingerprint)
		}
	}
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

// Observe takes the levels of an answer, that of its own service first, and the calls that the run made.
func (t *Throttler) Observe(now time.Duration, from Source, a hornbeamcroft.Answer) {
	if len(a.Pressure) > 0 {
		t.view(from.Service).take(now, from.Host, a.Pressure[0])
		t.levels.Observe(now, from.Service, a.Pressure[1:])
	}
	t.learn(from.Route, a.Reach, a.Code == hornbeamcroft.CodeAnswered && a.Status < 300)
}

func (t *Throttler) view(service string) *view {
	v := t.views[service]
	if v != nil {
		return v
	}
	if t.views == nil {
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
	return list[:min(len(list), propagator.MaxEntries-1)]
}

// Reach returns the number of calls that a request of the route makes to each service.
func (t *Throttler) Reach(route string) map[string]float64 { return t.reach[route] }
