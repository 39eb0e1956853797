// Package forwarder sends calls to upstreams. It picks an upstream, sends the call over a link or runs it at the local
// upstream, asks for the outcome after a link was lost, and retries the call within the request's retry budget.
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

// maxRepicks is the largest number of times that one attempt picks a target again because no byte of the call could be
// sent to the one before.
const maxRepicks = 4

// reconnectDelay is the delay before each further try to reach a node after its link was lost or could not be opened.
const reconnectDelay = 50 * time.Millisecond

// Target is where a call is sent.
type Target struct {
	Name    string
	Address string
	// Code is the reason why there is no target; zero if there is one.
	Code hornbeamcroft.Code
	// Epoch is the roster epoch by which the home was chosen; zero if the target was not chosen by an epoch.
	Epoch uint64
}

// Forwarder sends calls. The exported fields must be set before the first Forward. It is safe for concurrent use.
type Forwarder struct {
	Clock hornbeamcroft.Clock
	// Name is the name of this node. A call whose target has this name is run by Local.
	Name        string
	Incarnation uint64
	Calls       *registrar.Registrar
	Links       *connector.Connector
	// Local runs a call at the local upstream.
	Local func(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer
	// Home returns the home of the key of a non-idempotent call.
	Home func(call hornbeamcroft.Call) Target
	// Lookup returns the target with the given name. It is called for the home that another node named in its answer.
	Lookup func(name string) Target
	// NewBalancer returns a new balancer for a service.
	NewBalancer func(service string) hornbeamcroft.Balancer
	// ShedEarly enables the refusal, at the ingress node, of requests that a service further down the call graph would
	// shed.
	ShedEarly bool

	nextID atomic.Uint64

	mu               sync.Mutex
	balancers        map[string]hornbeamcroft.Balancer
	members          map[string]hornbeamcroft.Member
	membersByService map[string][]hornbeamcroft.Member
	propagator       propagator.Propagator
	// reached holds, by "service/type", the services that calls of the request type reach besides the called one.
	reached map[string][]string
}

// Update sets the members that calls may be sent to.
func (f *Forwarder) Update(members []hornbeamcroft.Member) {
	now := f.Clock.Now()
	byName := make(map[string]hornbeamcroft.Member, len(members))
	membersByService := make(map[string][]hornbeamcroft.Member)
	for _, m := range members {
		byName[m.Name] = m
		membersByService[m.Service] = append(membersByService[m.Service], m)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members, f.membersByService = byName, membersByService
	for service, b := range f.balancers {
		b.Update(now, membersByService[service])
	}
}

// ResetBalancers drops the balancers of the services, whose routing settings changed. The next call creates new ones.
func (f *Forwarder) ResetBalancers(services []string) {
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

// balancer returns the balancer of the service and creates it if there is none. The caller must hold f.mu.
func (f *Forwarder) balancer(service string) hornbeamcroft.Balancer {
	b := f.balancers[service]
	if b == nil {
		b = f.NewBalancer(service)
		if f.balancers == nil {
			f.balancers = make(map[string]hornbeamcroft.Balancer)
		}
		f.balancers[service] = b
		b.Update(f.Clock.Now(), f.membersByService[service])
	}
	return b
}

// Forward sends the call as a child call of one of the parents, retries it if necessary, and returns the final answer.
func (f *Forwarder) Forward(ctx context.Context, parents []*registrar.RunningCall, call hornbeamcroft.Call,
) hornbeamcroft.Answer {
	if refusal, ok := f.shedEarly(call); ok {
		return refusal
	}
	child := retrier.Child{Service: call.Service, Type: call.Type, Content: call.Fingerprint}
	var excluded []string
	mayHaveRun, attempted := false, false
	for {
		attempt, code := f.Calls.Begin(parents, child)
		if code != hornbeamcroft.CodeAnswered {
			// If the budget does not cover a retry, the call was sent before. If that send was not part of this
			// Forward, its outcome is not known.
			call.FirstSend = call.FirstSend && (code != hornbeamcroft.CodeRetryBudgetSpent || attempted)
			return correctFinalClaim(f.refuse(call, code), mayHaveRun)
		}
		call.FirstSend = call.FirstSend && (!attempt.Retry || attempted)
		answer, retry := f.makeAttempt(ctx, call, child, attempt, &excluded)
		if !retry {
			return correctFinalClaim(answer, mayHaveRun)
		}
		// After an answer with the claim "not run", the next send still counts as the first one.
		attempted = true
		mayHaveRun = mayHaveRun || answer.Code.Claim() != hornbeamcroft.ClaimNotRun
		call.FirstSend = call.FirstSend && !mayHaveRun
	}
}

// correctFinalClaim corrects the claim of the final answer. The caller reads "not run" as covering all attempts, so
// it must not be claimed if an earlier attempt may have run.
func correctFinalClaim(a hornbeamcroft.Answer, mayHaveRun bool) hornbeamcroft.Answer {
	if mayHaveRun && a.Code.Claim() == hornbeamcroft.ClaimNotRun {
		a.Code = hornbeamcroft.CodeOutcomeUnknown
	}
	return a
}

// refuse returns a refusal by this node. For a non-idempotent call that may have been sent before, this node cannot
// claim that the key did not run.
func (f *Forwarder) refuse(call hornbeamcroft.Call, code hornbeamcroft.Code) hornbeamcroft.Answer {
	if !call.Idempotent && !call.FirstSend && code.Claim() == hornbeamcroft.ClaimNotRun {
		code = hornbeamcroft.CodeEarlierSendUnknown
	}
	return hornbeamcroft.Answer{Code: code, RetryAfter: time.Second}
}
