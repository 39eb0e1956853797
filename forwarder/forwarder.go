// Package forwarder sends calls to other upstreams: it picks one, sends the call over a link or runs it at the own
// upstream, asks for the outcome when a link is lost, and repeats the call within the request's retry budget.
package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/propagator"
	"hornbeamcroft/registrar"
	"hornbeamcroft/retrier"
)

// maxLocalReroutes bounds the picks after a target that could not even be sent to.
const maxLocalReroutes = 4

// outcomePause is the wait between attempts to reach a node whose link was lost.
const outcomePause = 50 * time.Millisecond

// Target is where a call is sent.
type Target struct {
	Name    string
	Address string
	// Code is the reason if there is no target.
	Code hornbeamcroft.Code
	// Epoch is the roster epoch by which a home was chosen.
	Epoch uint64
}

// Forwarder sends calls. Set the exported fields before the first Forward. It is safe for concurrent use.
type Forwarder struct {
	Clock hornbeamcroft.Clock
	// Name is the node's own name; a call to it is run by Local.
	Name        string
	Incarnation uint64
	Calls       *registrar.Registrar
	Links       *connector.Connector
	// Local runs a call at the own upstream.
	Local func(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer
	// Home returns the home of a non-idempotent call's key.
	Home func(call hornbeamcroft.Call) Target
	// Lookup returns the target with the given name, to which another node has pointed.
	Lookup func(name string) Target
	// NewBalancer returns the balancer of a service.
	NewBalancer func(service string) hornbeamcroft.Balancer
	// ShedEarly is true if requests that a service below would shed are refused here.
	ShedEarly bool

	nextID atomic.Uint64

	mu         sync.Mutex
	balancers  map[string]hornbeamcroft.Balancer
	members    map[string]hornbeamcroft.Member
	byService  map[string][]hornbeamcroft.Member
	propagator propagator.Propagator
	// paths are the services below that calls of a request type reach.
	paths map[string][]string
}

// Update sets the members that calls may be sent to.
func (f *Forwarder) Update(members []hornbeamcroft.Member) {
	now := f.Clock.Now()
	byName := make(map[string]hornbeamcroft.Member, len(members))
	byService := make(map[string][]hornbeamcroft.Member)
	for _, m := range members {
		byName[m.Name] = m
		byService[m.Service] = append(byService[m.Service], m)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members, f.byService = byName, byService
	for service, b := range f.balancers {
		b.Update(now, byService[service])
	}
}

// Reconfigure rebuilds the balancers of services whose routing settings changed.
func (f *Forwarder) Reconfigure(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range services {
		delete(f.balancers, name)
	}
}

// Member returns the record of a member.
func (f *Forwarder) Member(name string) (hornbeamcroft.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	return m, ok
}

// balancer returns the balancer of the service. The lock is held.
func (f *Forwarder) balancer(service string) hornbeamcroft.Balancer {
	b := f.balancers[service]
	if b == nil {
		b = f.NewBalancer(service)
		if f.balancers == nil {
			f.balancers = make(map[string]hornbeamcroft.Balancer)
		}
		f.balancers[service] = b
		b.Update(f.Clock.Now(), f.byService[service])
	}
	return b
}

// Forward sends the call under one of the parents, with repeats, and returns the final answer.
func (f *Forwarder) Forward(ctx context.Context, parents []*registrar.Running, call hornbeamcroft.Call,
) hornbeamcroft.Answer {
	if refusal, ok := f.shed(call); ok {
		return refusal
	}
	child := retrier.Child{Service: call.Service, Type: call.Type, Content: call.Fingerprint}
	var excluded []string
	mayHaveRun, repeated := false, false
	for {
		attempt, code := f.Calls.Begin(parents, child)
		if code != hornbeamcroft.CodeAnswered {
			// A repeat that the budget does not cover follows an earlier send, whose outcome this node does not know.
			call.FirstSend = call.FirstSend && (code != hornbeamcroft.CodeRetryBudgetSpent || repeated)
			return conclude(f.refuse(call, code), mayHaveRun)
		}
		call.FirstSend = call.FirstSend && (!attempt.Repeat || repeated)
		answer, again := f.attempt(ctx, call, child, attempt, &excluded)
		if !again {
			return conclude(answer, mayHaveRun)
		}
		// After "not run", the next send is as good as the first one.
		repeated = true
		mayHaveRun = mayHaveRun || answer.Code.Claim() != hornbeamcroft.ClaimNotRun
		call.FirstSend = call.FirstSend && !mayHaveRun
	}
}

// conclude corrects the claim of the final answer: "not run" is about all attempts, and an earlier one may have run.
func conclude(a hornbeamcroft.Answer, mayHaveRun bool) hornbeamcroft.Answer {
	if mayHaveRun && a.Code.Claim() == hornbeamcroft.ClaimNotRun {
		a.Code = hornbeamcroft.CodeOutcomeUnknown
	}
	return a
}

// refuse returns a refusal by this node. For a non-idempotent call that may have been sent before, the node cannot say
// that its key did not run.
func (f *Forwarder) refuse(call hornbeamcroft.Call, code hornbeamcroft.Code) hornbeamcroft.Answer {
	if !call.Idempotent && !call.FirstSend && code.Claim() == hornbeamcroft.ClaimNotRun {
		code = hornbeamcroft.CodeEarlierSendUnknown
	}
	return hornbeamcroft.Answer{Code: code, RetryAfter: time.Second}
}
