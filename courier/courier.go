// Package courier takes a request from the way in to an upstream and brings its answer back. It decides whether the
// request starts, picks the host, and sends the call again where that is safe and within the allowance of repeats.
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
	// maxSends bounds the sends of one call, those included that a host refused before they reached its upstream.
	maxSends = 8
	// noHostRetry is when a request may come back for which no host is known.
	noHostRetry = 500 * time.Millisecond
	// leastAge is the age from which on an attempt counts as a later one of its caller.
	leastAge = 50 * time.Millisecond
)

// Record tells what became of a request, for the log.
type Record struct {
	Call  hornbeamcroft.Call
	Route hornbeamcroft.Route
	Code  hornbeamcroft.Code
	// Status is the upstream's, if it answered.
	Status int
	// Hosts are those that the call was sent to, in order.
	Hosts []string
	// Codes are the answers of Hosts.
	Codes []hornbeamcroft.Code
	// Service is the one whose level refused the request, Level that level and LevelAge its age; empty if none did.
	Service  string
	Level    hornbeamcroft.Pressure
	LevelAge time.Duration
	// Age is how long the caller had been waiting when it sent the request.
	Age  time.Duration
	Took time.Duration
}

// Courier delivers calls. Set the exported fields before the first Deliver. It is safe for concurrent use.
type Courier struct {
	Clock hornbeamcroft.Clock
	Rand  hornbeamcroft.Rand
	Name  string
	Zone  string
	// Local runs a call at the own upstream, Remote at that of another host.
	Local  func(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer
	Remote func(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer
	// Linked reports whether a link to the named member is open.
	Linked func(name string) bool
	// Dial opens a link in the background.
	Dial func(m hornbeamcroft.Member)
	// Rationer holds the allowance of repeats.
	Rationer *rationer.Rationer
	// OnEnd takes a record of each request.
	OnEnd func(r Record)

	nextID atomic.Uint64

	mu        sync.Mutex
	throttler throttler.Throttler
	estimator estimator.Estimator
	placers   map[string]*placer.Placer
	members   map[string]hornbeamcroft.Member
	byService map[string][]hornbeamcroft.Member
}

// Update sets the known members.
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
	c.Rationer.Nodes = max(c.Rationer.Nodes, len(members))
	var dial []hornbeamcroft.Member
	for service, p := range c.placers {
		dial = append(dial, c.refresh(service, p)...)
	}
	c.mu.Unlock()
	c.dialAll(dial)
}

func (c *Courier) dialAll(members []hornbeamcroft.Member) {
	for _, m := range members {
		c.Dial(m)
	}
}

// placer returns the placer of the service. The lock is held; it is released while links are opened.
func (c *Courier) placer(service string) *placer.Placer {
	p := c.placers[service]
	if p != nil {
		return p
	}
	if c.placers == nil {
		c.placers = make(map[string]*placer.Placer)
	}
	p = &placer.Placer{Zone: c.Zone}
	c.placers[service] = p
	wanted := c.refresh(service, p)
	go c.dialAll(wanted)
	return p
}

// SetLinked tells that a link with a member was opened or that the last one has ended.
func (c *Courier) SetLinked(name string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.placers[c.members[name].Service]; p != nil {
		p.Link(name, open)
	}
}

// Report takes the load that a member reported by itself.
func (c *Courier) Report(name string, l hornbeamcroft.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.placers[c.members[name].Service]; p != nil {
		p.Report(c.Clock.Now(), name, l)
	}
}

// Levels returns the levels of the services that a run reached.
func (c *Courier) Levels(reach []hornbeamcroft.Reach) []hornbeamcroft.Pressure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.throttler.Levels(c.Clock.Now(), reach)
}

// Learned returns what is known of the calls that requests of each route make.
func (c *Courier) Learned() map[string][]hornbeamcroft.Reach {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.throttler.Learned()
}

// Teach takes what another node knows of routes.
func (c *Courier) Teach(routes map[string][]hornbeamcroft.Reach) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.throttler.Teach(routes)
}

// Deliver sends the call and returns the final answer. The caller had been waiting for age before.
func (c *Courier) Deliver(ctx context.Context, call hornbeamcroft.Call, route hornbeamcroft.Route, age time.Duration,
) hornbeamcroft.Answer {
	d := delivery{c: c, route: route, rec: Record{Call: call, Route: route, Age: age}, start: c.Clock.Now()}
	a := d.run(ctx, call)
	d.rec.Code, d.rec.Status, d.rec.Took = a.Code, a.Status, c.Clock.Now()-d.start
	if call.Depth == 1 && a.Code == hornbeamcroft.CodeAnswered && a.Status < 300 {
		c.served(call.Type, d.rec.Took)
	}
	c.OnEnd(d.rec)
	return a
}

// admit decides whether a request of a caller starts.
func (c *Courier) admit(call hornbeamcroft.Call, age time.Duration) throttler.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	c.Rationer.Request(now, call.Service)
	if call.Depth > 1 {
		return throttler.Verdict{Admitted: true}
	}
	return c.throttler.Admit(now, c.Rand, throttler.Request{
		Route: call.Type, Service: call.Service, Importance: call.Importance,
		Returning: age >= leastAge && c.estimator.Spare(call.Type, call.Objective) > 0,
	})
}

// Age returns for how long the caller of a request on the route has been waiting, given the time that it still waits.
func (c *Courier) Age(route string, remaining time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Age(c.Clock.Now(), route, remaining)
}

// served takes the time in which a request was answered.
func (c *Courier) served(route string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.Served(route, took)
}

// retryAfter returns when a refused request may come back that has the given time left for its objective.
func (c *Courier) retryAfter(route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return throttler.RetryAfter(c.Rand, c.estimator.Spare(route, left))
}

// pick chooses the host of the next send and counts it.
func (c *Courier) pick(call hornbeamcroft.Call, exclude func(host string) bool) (hornbeamcroft.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.placer(call.Service)
	m, ok := p.Pick(c.Clock.Now(), c.Rand, placer.Choice{
		Slack: call.Objective, Once: !call.Idempotent, Exclude: exclude,
	})
	if ok {
		p.Start(m.Name)
	}
	return m, ok
}

// learn takes what an answer tells about the host and the services that the call reached.
func (c *Courier) learn(call hornbeamcroft.Call, host string, a hornbeamcroft.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	p := c.placer(call.Service)
	p.Finish(host)
	if a.Load != nil {
		p.Report(now, host, *a.Load)
	}
	c.throttler.Observe(now, throttler.Source{Route: call.Type, Service: call.Service, Host: host}, a)
}

func (c *Courier) down(service, host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placer(service).Down(c.Clock.Now(), host)
}

// allowRepeat reports whether a repeat of a call that got no answer is within the allowance of this node.
func (c *Courier) allowRepeat(call hornbeamcroft.Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := len(c.throttler.Reach(call.Type)) > 0
	return c.Rationer.Allow(c.Clock.Now(), rationer.Repeat{
		Service: call.Service, Subtree: calls, Depth: call.Depth, Single: call.Depth == 1 && !calls,
		Importance: call.Importance, Hash: admitter.Hash(call.Request),
	})
}

// RepeatsLeft returns the repeats that this node may still send to each service.
func (c *Courier) RepeatsLeft() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := make(map[string]float64, len(c.placers))
	for service := range c.placers {
		left[service] = c.Rationer.Left(c.Clock.Now(), service)
	}
	return left
}
