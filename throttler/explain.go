package throttler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

// Explain returns the decision that Admit would make on requests like this one, as the part that is admitted, and its inputs. It
// changes nothing, also not the reports that have become too old.
func (t *Throttler) Explain(now time.Duration, request Request) hornbeamcroft.PlacementAdmission {
	view := t.view(request)
	service, share := view.limitingService(now, request)
	if request.CallerRetry {
		share = min(1, share*retryFactor)
	}
	limiting, keep := view.tenantShare(now, request)
	if share == 1 || keep < share {
		service = limiting
	}
	share *= keep
	e := hornbeamcroft.PlacementAdmission{Share: share + (1-share)*probeShare, Service: service}
	for _, reached := range view.reachedServices(request) {
		e.Services = append(e.Services, view.explainReached(now, request, reached))
	}
	slices.SortFunc(e.Services, func(a, b hornbeamcroft.PlacementReached) int {
		return cmp.Or(cmp.Compare(a.Calls, b.Calls), cmp.Compare(a.Service, b.Service))
	})
	return e
}

// view returns a copy of what the decision on the request reads, so that reading it changes nothing in t.
func (t *Throttler) view(request Request) *Throttler {
	v := &Throttler{loads: make(map[string]*serviceLoad), serviceCalls: t.serviceCalls}
	for _, service := range v.reachedServices(request) {
		if l := t.loads[service]; l != nil {
			c := *l
			c.hosts = maps.Clone(l.hosts)
			v.loads[service] = &c
		}
	}
	return v
}

// limitingService returns the service whose level admits the smallest part of the requests of this importance, and that part. The
// service is empty if all are admitted.
func (t *Throttler) limitingService(now time.Duration, request Request) (string, float64) {
	limiting, share := "", 1.0
	for _, service := range t.reachedServices(request) {
		if s := levelShare(t.level(now, service), request.Importance); s < share {
			limiting, share = service, s
		}
	}
	return limiting, share
}

// levelShare returns the part of the requests of the importance that the level admits.
func levelShare(level hornbeamcroft.AdmissionLevel, i hornbeamcroft.Importance) float64 {
	switch {
	case i > level.Importance:
		return 1
	case i < level.Importance:
		return 0
	}
	return float64(level.Threshold) / hornbeamcroft.ThresholdAll
}

// explainReached returns the admission level of a service. It drops reports that are too old.
func (t *Throttler) explainReached(now time.Duration, request Request, service string) hornbeamcroft.PlacementReached {
	level := t.level(now, service)
	r := hornbeamcroft.PlacementReached{
		Service: service, Importance: level.Importance.String(), Threshold: level.Threshold,
		LevelShare: levelShare(level, request.Importance), TenantShare: 1, Limited: []hornbeamcroft.PlacementLimited{},
	}
	if service != request.Service {
		r.Calls = t.serviceCalls[request.Route][service]
	}
	for _, s := range level.Shares {
		share := float64(s.Keep) / hornbeamcroft.FullShare
		r.Limited = append(r.Limited, hornbeamcroft.PlacementLimited{Tenant: s.Tenant, Importance: s.Importance.String(), Share: share})
		if request.Tenant != "" && s.Tenant == request.Tenant && s.Importance == request.Importance {
			r.TenantShare = min(r.TenantShare, share)
		}
	}
	if l := t.loads[service]; l != nil {
		ageMs := l.age(now).Milliseconds()
		r.Hosts, r.AgeMs = len(l.hosts), &ageMs
	}
	return r
}
