package courier

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/placer"
	"hornbeamcroft/throttler"
)

// ExplainAge returns how long the caller of a request on the route has been waiting, and whether the request counts as its caller's
// retry. Unlike Age, it does not record the request. remaining is the time for which the caller will still wait, and objective the time
// left until the objective at the first attempt.
func (c *Courier) ExplainAge(route string, remaining, objective time.Duration) (age time.Duration, retry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, spare := c.estimator.Peek(c.Clock.Now(), route, remaining, objective)
	return age, age >= minRetryAge && spare > 0
}

// Explain returns how the call would be admitted and to which hosts it could go now. It sends nothing, dials nobody, counts nothing and
// changes nothing. A service to which the node has sent no call is explained without reports.
func (c *Courier) Explain(call hornbeamcroft.Call, retry bool) (e hornbeamcroft.PlacementTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	e.Service = call.Service
	e.Admission = c.throttler.Explain(now, throttler.Request{
		Route: call.Type, Service: call.Service, Importance: call.Importance, Tenant: call.Tenant, CallerRetry: retry,
	})
	p := c.placers[call.Service]
	if e.InUse = p != nil; !e.InUse {
		p = c.temporaryPlacer(call.Service)
	}
	e.Candidates = p.Explain(now, placer.Requirements{Slack: call.Objective, Once: !call.Idempotent})
	return e
}

// temporaryPlacer returns a placer for a service that has none, which is not kept. The caller must hold c.mu.
func (c *Courier) temporaryPlacer(service string) *placer.Placer {
	p := &placer.Placer{Zone: c.Zone}
	p.Update(c.byService[service])
	for _, m := range c.byService[service] {
		p.SetLinked(m.Name, m.Name == c.Name || c.Linked(m.Name))
	}
	return p
}
