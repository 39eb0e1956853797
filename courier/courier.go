// Package courier delivers requests from the ingress to an upstream and returns their answers. It decides whether a
// request starts, picks the host, and sends the call again where that is safe and within the retry budget.
package courier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/estimator"
	"hornbeamcroft/placer"
	"hornbeamcroft/rationer"
	"hornbeamcroft/throttler"
)

const (
	// maxSends bounds the number of sends of one call, including those that a host refused before they reached its
	// upstream.
	maxSends = 8
	// noHostRetryAfter is the Retry-After time of a child call for which no host is available. At depth 1, finalAnswer
	// replaces it unless the call may have run on an earlier send.
	noHostRetryAfter = 500 * time.Millisecond
	// minRetryAge is the age at which a request counts as a retry by its caller.
	minRetryAge = 50 * time.Millisecond
)

// Record is the log record of a request.
type Record struct {
	Call  hornbeamcroft.Call
	Route hornbeamcroft.Route
	Code  hornbeamcroft.Code
	// Status is the HTTP status of the upstream's answer; zero if it did not answer.
	Status int
	// Hosts are the hosts that the call was sent to, in order.
	Hosts []string
	// Codes are the codes of the answers of Hosts, in the same order.
	Codes []hornbeamcroft.Code
	// Service is the service whose admission level refused the request, Level that level, and LevelAge the time since
	// it was reported. They are zero if the request was admitted.
	Service  string
	Level    hornbeamcroft.AdmissionLevel
	LevelAge time.Duration
	// Age is how long the caller had been waiting when it sent this attempt.
	Age time.Duration
	// Took is the time from the arrival of the request at the courier to its final answer.
	Took time.Duration
}

// Courier delivers calls. Set the exported fields before the first Deliver. It is safe for concurrent use.
type Courier struct {
	Clock hornbeamcroft.Clock
	Rand  hornbeamcroft.Rand
	Name  string
	Zone  string
	// EvenFrom is the number of known nodes from which on placer.Placer.Even applies; zero if it never does.
	EvenFrom int
	// Local runs a call at the upstream of this node, Remote at that of another host.
	Local  func(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer
	Remote func(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer
	// Linked reports whether a link to the named member is open.
	Linked func(name string) bool
	// Dial opens a link to the member in the background.
	Dial func(m hornbeamcroft.Member)
	// Rationer holds this node's part of the retry budget.
	Rationer *rationer.Rationer
	// OnEnd is called with the record of each request when it ends.
	OnEnd func(r Record)

	nextID atomic.Uint64

	mu        sync.Mutex
	throttler throttler.Throttler
	estimator estimator.Estimator
	placers   map[string]*placer.Placer
	members   map[string]hornbeamcroft.Member
	byService map[string][]hornbeamcroft.Member
	// even is true once EvenFrom nodes have been known. It stays true, so that losses of nodes do not switch the rule.
	even bool
	// statements holds what the upstreams of other hosts stated last.
	statements statementTable
}

// Update sets the known members and dials those to which links are missing.
func (c *Courier) Update(members []hornbeamcroft.Member) {
	byName := make(map[string]hornbeamcroft.Member, len(members))
	byService := make(map[string][]hornbeamcroft.Member)
	for _, m := range members {
		byName[m.Name] = m
		if m.Service != "" {
			byService[m.Service] = append(byService[m.Service], m)
		}
	}
	c.mu.Lock()
	c.members, c.byService = byName, byService
	c.statements.retain(byName)
	c.Rationer.Nodes = max(c.Rationer.Nodes, len(members))
	var dial []hornbeamcroft.Member
	c.even = c.even || c.EvenFrom > 0 && len(members) >= c.EvenFrom
	for service, p := range c.placers {
		p.Even = c.even
		dial = append(dial, c.updatePlacer(service, p)...)
	}
	c.mu.Unlock()
	c.dialAll(dial)
}

// dialAll dials each of the members.
func (c *Courier) dialAll(members []hornbeamcroft.Member) {
	for _, m := range members {
		c.Dial(m)
	}
}

// placerFor returns the placer of the service. If it creates the placer, it dials the hosts of the service in the
// background. The caller must hold c.mu.
func (c *Courier) placerFor(service string) *placer.Placer {
	p := c.placers[service]
	if p != nil {
		return p
	}
	if c.placers == nil {
		c.placers = make(map[string]*placer.Placer)
	}
	p = &placer.Placer{Zone: c.Zone, Even: c.even}
	c.placers[service] = p
	missing := c.updatePlacer(service, p)
	go c.dialAll(missing)
	return p
}

// SetLinked records that a link with the named member was opened, or that the last link with it has ended.
func (c *Courier) SetLinked(name string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.placers[c.members[name].Service]; p != nil {
		p.SetLinked(name, open)
	}
}

// RecordLoad records a load that a member reported outside of an answer.
func (c *Courier) RecordLoad(name string, l hornbeamcroft.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.placers[c.members[name].Service]; p != nil {
		p.Report(c.Clock.Now(), name, l)
	}
}

// Levels returns the admission levels of the services that a run called, at any depth.
func (c *Courier) Levels(serviceCalls []hornbeamcroft.ServiceCalls) []hornbeamcroft.AdmissionLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.throttler.Levels(c.Clock.Now(), serviceCalls)
}

// LearnedRoutes returns, by route, the calls that requests are known to make to each service.
func (c *Courier) LearnedRoutes() map[string][]hornbeamcroft.ServiceCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.throttler.LearnedRoutes()
}

// MergeRoutes merges the calls by route that another node has learned (its LearnedRoutes) into those of this node.
func (c *Courier) MergeRoutes(routes map[string][]hornbeamcroft.ServiceCalls) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.throttler.MergeRoutes(routes)
}

// Deliver sends the call, sends it again where that is allowed, and returns the final answer. age is how long the caller
// had been waiting when it sent the request.
func (c *Courier) Deliver(ctx context.Context, call hornbeamcroft.Call, route hornbeamcroft.Route, age time.Duration,
) hornbeamcroft.Answer {
	d := delivery{courier: c, route: route, rec: Record{Call: call, Route: route, Age: age}, start: c.Clock.Now()}
	a := d.run(ctx, call)
	d.rec.Code, d.rec.Status, d.rec.Took = a.Code, a.Status, c.Clock.Now()-d.start
	if call.Depth == 1 && a.Code == hornbeamcroft.CodeAnswered && a.Status < 300 {
		c.recordResponseTime(call.Type, d.rec.Took)
	}
	c.OnEnd(d.rec)
	return a
}

// admit decides whether a request starts. It admits all child calls.
func (c *Courier) admit(call hornbeamcroft.Call, age time.Duration) throttler.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.Rationer.CountRequest(now, call.Service)
	if call.Depth > 1 {
		return throttler.Verdict{Admitted: true}
	}
	return c.throttler.Admit(now, c.Rand, throttler.Request{
		Route: call.Type, Service: call.Service, Importance: call.Importance, Tenant: call.Tenant,
		CallerRetry: age >= minRetryAge && c.estimator.SpareTime(call.Type, call.Objective) > 0,
	})
}

// Age returns how long the caller of a request on the route has been waiting. remaining is the time for which the caller
// will still wait.
func (c *Courier) Age(route string, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Age(c.Clock.Now(), route, remaining)
}

// recordResponseTime records the response time of a request that was answered with a status below 300.
func (c *Courier) recordResponseTime(route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.AddResponseTime(route, took)
}

// retryAfter returns the Retry-After time of a refused request that has the given time left for its objective.
func (c *Courier) retryAfter(route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return throttler.RetryAfter(c.Rand, c.estimator.SpareTime(route, left))
}

// pick chooses the host of the next send and counts the send as outstanding. It sets call.Last if there is no other host.
func (c *Courier) pick(call *hornbeamcroft.Call, exclude func(host string) bool) (hornbeamcroft.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.placerFor(call.Service)
	m, ok := p.Pick(c.Clock.Now(), c.Rand, placer.Requirements{
		Slack: call.Objective, Once: !call.Idempotent, Exclude: exclude,
	})
	if ok {
		p.Start(m.Name)
	}
	call.Last = p.Alternatives() == 0
	return m, ok
}

// recordAnswer ends an outstanding send. It records the load that the answer reports, and the admission levels of the
// services that the call reached.
func (c *Courier) recordAnswer(call hornbeamcroft.Call, host string, a hornbeamcroft.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.statements.record(host, a)
	p := c.placerFor(call.Service)
	p.Finish(host)
	if a.Load != nil {
		p.Report(now, host, *a.Load)
	}
	c.throttler.Observe(now, throttler.Source{Route: call.Type, Service: call.Service, Host: host}, a)
}

// lastStatement returns what the upstream of the host stated last, or nil if nothing is known.
func (c *Courier) lastStatement(host string) *hornbeamcroft.InstanceStatement {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statements.last(host)
}

// markUnreachable records that the host could not be reached, so that the placer avoids it for a while.
func (c *Courier) markUnreachable(service, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placerFor(service).MarkUnreachable(c.Clock.Now(), host)
}

// spendRetry spends one retry from this node's part of the retry budget for a call that got no answer from an upstream,
// if the budget allows it, and reports whether it does.
func (c *Courier) spendRetry(call hornbeamcroft.Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	makesCalls := len(c.throttler.ServiceCalls(call.Type)) > 0
	return c.Rationer.Allow(c.Clock.Now(), rationer.Retry{
		Service: call.Service, Subtree: makesCalls, Depth: call.Depth, WholeRequest: call.Depth == 1 && !makesCalls,
		Importance: call.Importance, Hash: admitter.Hash(call.Request),
	})
}

// RetriesLeft returns, by service, the number of retries that remain in this node's part of the retry budget.
func (c *Courier) RetriesLeft() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := make(map[string]float64, len(c.placers))
	for service := range c.placers {
		left[service] = c.Rationer.Remaining(c.Clock.Now(), service)
	}
	return left
}
