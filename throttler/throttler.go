// Package throttler decides, where a request enters the system, whether the request starts. It tracks which services
// the requests of a route call, directly or indirectly, and the admission levels that answers report for these
// services. It refuses a request that a downstream service would shed before any work is spent on it.
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
	// serviceCallsGain is the weight of one answer in the smoothed number of calls that a request makes to a service.
	serviceCallsGain = 0.05
	// minServiceCalls is the smoothed number of calls per request below which a service does not count as reached.
	minServiceCalls = 0.1
	// maxRoutes, maxServices and maxServicesPerRoute bound what a node stores from answers: the routes, the services
	// whose load is kept, and the services reached by one route.
	maxRoutes           = 4096
	maxServices         = 1024
	maxServicesPerRoute = 64
	// probeShare is the share of the requests to be refused that start nevertheless, so that the node notices when a
	// service admits more requests again.
	probeShare = 0.01
	// maxLevels bounds the number of admission levels on one answer.
	maxLevels = 8
	// retryFactor is how many times more likely a request is admitted if its caller has tried before.
	retryFactor = 2
	// minRetryAfter and retryAfterSpread bound the time after which a refused caller may retry, from minRetryAfter to
	// minRetryAfter+retryAfterSpread. The minimum gives the admission level time to change; the random spread keeps
	// refused callers from returning together.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = time.Second
)

// Verdict is the decision on whether a request starts.
type Verdict struct {
	Admitted bool
	// Weight is the number of requests that an admitted one represents: the inverse of its admission probability.
	Weight float32
	// Service is the service that would refuse the request, Level its admission level, and LevelAge the time since the
	// newest report about it. They are set for refused requests only.
	Service  string
	Level    hornbeamcroft.AdmissionLevel
	LevelAge time.Duration
}

// Request describes a request to be decided on.
type Request struct {
	Route      string
	Service    string
	Importance hornbeamcroft.Importance
	// Tenant is the name of the tenant that sends the request; empty if there is none.
	Tenant string
	// CallerRetry is true if the caller has tried before and can still get its answer in time.
	CallerRetry bool
}

// Throttler holds the reported loads of services and the observed service calls of routes. It is not safe for concurrent use.
type Throttler struct {
	// loads holds the load of each service, by service.
	loads map[string]*serviceLoad
	// serviceCalls is the smoothed number of calls that one request makes, by route and service.
	serviceCalls map[string]map[string]float64
	// services is the buffer for the result of reachedServices.
	services []string
}

// Admit decides whether a request starts at now.
func (t *Throttler) Admit(now time.Duration, rnd hornbeamcroft.Rand, request Request) Verdict {
	hash := uint32(rnd.IntN(hornbeamcroft.ThresholdAll))
	if request.CallerRetry {
		// Among requests of equal importance, those that were refused before are more likely to be admitted. They are not
		// all admitted: callers that retry at once would then defeat the admission level.
		hash /= retryFactor
	}
	service, share := t.findRefusingService(now, request, hash)
	limiting, keep := t.tenantShare(now, request)
	if service == "" && keep < 1 && rnd.Float64() >= keep {
		service = limiting
	}
	if service == "" || rnd.Float64() < probeShare {
		if request.CallerRetry {
			share = min(1, share*retryFactor)
		}
		share *= keep
		return Verdict{Admitted: true, Weight: float32(1 / max(share, probeShare))}
	}
	v := Verdict{Service: service, Level: t.level(now, service)}
	if l := t.loads[service]; l != nil {
		v.LevelAge = l.age(now)
	}
	return v
}

// findRefusingService returns a service that would refuse the request, or "" if none would, and the smallest share of the
// requests of this importance that any of the reached services admits.
func (t *Throttler) findRefusingService(now time.Duration, request Request, hash uint32) (string, float64) {
	refusingService, minShare := "", 1.0
	for _, service := range t.reachedServices(request) {
		level := t.level(now, service)
		if !admitter.Admits(level, request.Importance, hash) {
			refusingService = service
		}
		switch {
		case level.Importance == request.Importance:
			minShare = min(minShare, float64(level.Threshold)/hornbeamcroft.ThresholdAll)
		case level.Importance > request.Importance:
			minShare = 0
		}
	}
	return refusingService, minShare
}

// tenantShare returns the smallest share of the requests of the tenant that is within its fair share of a reached service, and that
// service. The share is 1 if the tenant is not limited.
func (t *Throttler) tenantShare(now time.Duration, request Request) (service string, keep float64) {
	keep = 1
	if request.Tenant == "" {
		return "", keep
	}
	for _, reached := range t.reachedServices(request) {
		for _, share := range t.level(now, reached).Shares {
			k := float64(share.Keep) / hornbeamcroft.FullShare
			if share.Tenant == request.Tenant && share.Importance == request.Importance && k < keep {
				service, keep = reached, k
			}
		}
	}
	return service, keep
}

// level returns the admission level of a service; it admits everything if nothing is known.
func (t *Throttler) level(now time.Duration, service string) hornbeamcroft.AdmissionLevel {
	if l := t.loads[service]; l != nil {
		return l.level(now, service)
	}
	return hornbeamcroft.AdmissionLevel{Service: service, Threshold: hornbeamcroft.ThresholdAll}
}

// RetryAfter returns the random time after which a refused caller may retry. It stays within spareTime, the time that the
// caller can wait and still get its answer in time, unless spareTime is shorter than minRetryAfter.
func RetryAfter(rnd hornbeamcroft.Rand, spareTime time.Duration) time.Duration {
	spread := retryAfterSpread
	if spareTime > minRetryAfter {
		spread = min(spread, spareTime-minRetryAfter)
	}
	return minRetryAfter + time.Duration(rnd.Float64()*float64(spread))
}

// reachedServices returns the service of the request and the services that requests of its route call, directly or
// indirectly. The result is valid until the next call.
func (t *Throttler) reachedServices(request Request) []string {
	t.services = append(t.services[:0], request.Service)
	for s, calls := range t.serviceCalls[request.Route] {
		if calls >= minServiceCalls && s != request.Service {
			t.services = append(t.services, s)
		}
	}
	return t.services
}

// Source identifies the sender of an answer.
type Source struct {
	Route, Service, Host string
}

// Observe records from an answer the load of the host that sent it, the admission levels of downstream services, and
// the calls that the run made.
func (t *Throttler) Observe(now time.Duration, from Source, a hornbeamcroft.Answer) {
	if a.Load != nil {
		t.loadOrAdd(from.Service).addReport(now, from.Host, *a.Load)
	}
	for _, level := range a.AdmissionLevels {
		t.loadOrAdd(level.Service).addRemoteLevel(now, level)
	}
	t.updateServiceCalls(from.Route, a.ServiceCalls, a.Code == hornbeamcroft.CodeAnswered && a.Status < 300)
}

// loadOrAdd returns the load of a service. It adds an empty one if there is none.
func (t *Throttler) loadOrAdd(service string) *serviceLoad {
	l := t.loads[service]
	if l != nil {
		return l
	}
	if t.loads == nil || len(t.loads) >= maxServices {
		t.loads = make(map[string]*serviceLoad)
	}
	l = &serviceLoad{}
	t.loads[service] = l
	return l
}

// updateServiceCalls records the calls that a run made. A run that is not complete may have made only some of its calls: it
// can add services and raise the numbers of calls, but lowers none.
func (t *Throttler) updateServiceCalls(route string, serviceCalls []hornbeamcroft.ServiceCalls, complete bool) {
	known := t.serviceCalls[route]
	if known == nil {
		if len(t.serviceCalls) >= maxRoutes || len(serviceCalls) == 0 {
			return
		}
		if t.serviceCalls == nil {
			t.serviceCalls = make(map[string]map[string]float64)
		}
		known = make(map[string]float64)
		t.serviceCalls[route] = known
	}
	if complete {
		for s := range known {
			known[s] -= known[s] * serviceCallsGain
		}
	}
	for _, r := range serviceCalls {
		calls := float64(r.Calls)
		switch _, ok := known[r.Service]; {
		case !ok && len(known) < maxServicesPerRoute:
			known[r.Service] = calls
		case ok && complete:
			known[r.Service] += calls * serviceCallsGain
		case ok:
			known[r.Service] = max(known[r.Service], calls)
		}
	}
}

// LearnedRoutes returns the service calls of all known routes, at most hornbeamcroft.MaxServiceCalls services of each,
// for a node that has just started.
func (t *Throttler) LearnedRoutes() map[string][]hornbeamcroft.ServiceCalls {
	all := make(map[string][]hornbeamcroft.ServiceCalls, len(t.serviceCalls))
	for route, services := range t.serviceCalls {
		for s, calls := range services {
			if len(all[route]) < hornbeamcroft.MaxServiceCalls {
				all[route] = append(all[route], hornbeamcroft.ServiceCalls{Service: s, Calls: int(math.Ceil(calls))})
			}
		}
	}
	return all
}

// MergeRoutes adds the service calls that another node has observed, for routes that this node has not seen yet.
func (t *Throttler) MergeRoutes(routes map[string][]hornbeamcroft.ServiceCalls) {
	for route, serviceCalls := range routes {
		if t.serviceCalls[route] == nil {
			t.updateServiceCalls(route, serviceCalls, false)
		}
	}
}

// Levels returns the admission levels of the services that a run reached, at most maxLevels, the most restrictive
// first, for the answer to the sender. It includes levels that admit everything, so that the answer reports the end of
// an overload.
func (t *Throttler) Levels(now time.Duration, serviceCalls []hornbeamcroft.ServiceCalls) []hornbeamcroft.AdmissionLevel {
	var list []hornbeamcroft.AdmissionLevel
	for _, r := range serviceCalls {
		list = append(list, t.level(now, r.Service))
	}
	slices.SortFunc(list, func(a, b hornbeamcroft.AdmissionLevel) int {
		return cmp.Or(cmp.Compare(b.Importance, a.Importance), cmp.Compare(a.Threshold, b.Threshold))
	})
	return list[:min(len(list), maxLevels)]
}

// ServiceCalls returns the smoothed number of calls that a request of the route makes to each service.
func (t *Throttler) ServiceCalls(route string) map[string]float64 { return t.serviceCalls[route] }
