// Package forwarder sends calls to other upstreams: it picks one, sends the call over a link or runs it at the own
// upstream, asks for the outcome when a link is lost, and repeats the call within the request's retry budget.
package forwarder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/propagator"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/registrar"
	"hornbeamcroft/retrier"
	"hornbeamcroft/sleeper"
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

	mu        sync.Mutex
	balancers map[string]hornbeamcroft.Balancer
	members   map[string]hornbeamcroft.Member
	byService map[string][]hornbeamcroft.Member
	pressure  propagator.Propagator
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

// attempt sends the call once, and again at no cost while upstreams that did not take it can be avoided. It reports
// whether another attempt is to be made.
func (f *Forwarder) attempt(ctx context.Context, call hornbeamcroft.Call, child retrier.Child, attempt retrier.Attempt,
	excluded *[]string,
) (hornbeamcroft.Answer, bool) {
	call.RetryBudget = attempt.Share
	home := ""
	for reroutes := 0; ; {
		answer, target, sent := f.send(ctx, call, home, *excluded)
		if target != "" && answer.Code != hornbeamcroft.CodeAnswered {
			*excluded = append(*excluded, target)
		}
		if !sent && target != "" && reroutes < maxLocalReroutes && ctx.Err() == nil {
			reroutes++
			if !call.Idempotent {
				if !sleeper.Sleep(ctx, outcomePause) {
					break
				}
				*excluded, home = nil, ""
			}
			continue
		}
		v := f.Calls.Decide(randomizer.Randomizer{}, attempt, child, retrier.Failure{
			Code: answer.Code, Claim: answer.Code.Claim(), Idempotent: call.Idempotent, RetryAfter: answer.RetryAfter,
		})
		if v.Retry && v.Free {
			home = answer.Home
			continue
		}
		f.Calls.End(attempt, answer.Unspent, sent && lost(answer.Code))
		if !v.Retry || !sleeper.Sleep(ctx, v.Wait) {
			return f.settle(call, answer, sent), false
		}
		if len(*excluded) > 2*maxLocalReroutes {
			*excluded = nil
		}
		return answer, true
	}
	f.Calls.End(attempt, call.RetryBudget, false)
	return f.refuse(call, hornbeamcroft.CodeHomeUnreachable), false
}

// settle adjusts the claim of a refusal that the key's home did not make.
func (f *Forwarder) settle(call hornbeamcroft.Call, a hornbeamcroft.Answer, sent bool) hornbeamcroft.Answer {
	if sent && !aboutCall(a.Code) {
		return a
	}
	r := f.refuse(call, a.Code)
	r.Pressure = a.Pressure
	return r
}

// aboutCall reports whether a refusal speaks about one send of a call and not about its key.
func aboutCall(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeHomeMoved, hornbeamcroft.CodeConfirmedNotRun, hornbeamcroft.CodeFencedAfterLinkLoss:
		return true
	}
	return false
}

func lost(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeDeadlinePassed, hornbeamcroft.CodeCallerGone:
		return true
	}
	return false
}

// send sends the call to one target. It returns the target's name, and whether any byte of the call was sent.
func (f *Forwarder) send(ctx context.Context, call hornbeamcroft.Call, home string, excluded []string,
) (answer hornbeamcroft.Answer, target string, sent bool) {
	deadline, ok := ctx.Deadline()
	if ok {
		call.Remaining = time.Until(deadline)
	}
	if call.Remaining <= 0 {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}, "", false
	}
	t := f.target(call, home, excluded)
	if t.Code != 0 {
		return hornbeamcroft.Answer{Code: t.Code, RetryAfter: time.Second, Unspent: call.RetryBudget}, "", false
	}
	call.ID = f.nextID.Add(1)
	call.Epoch = t.Epoch
	start := f.Clock.Now()
	answer, sent = f.exchange(ctx, t, call)
	f.learn(call, t.Name, f.Clock.Now()-start, answer)
	return answer, t.Name, sent
}

func (f *Forwarder) target(call hornbeamcroft.Call, home string, excluded []string) Target {
	if !call.Idempotent {
		if home != "" {
			return f.Lookup(home)
		}
		return f.Home(call)
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.balancer(call.Service)
	name, ok := b.Pick(now, randomizer.Randomizer{}, func(name string) bool { return slices.Contains(excluded, name) })
	if !ok && len(excluded) > 0 {
		name, ok = b.Pick(now, randomizer.Randomizer{}, nil)
	}
	if !ok {
		return Target{Code: hornbeamcroft.CodeNoUpstream}
	}
	b.Start(now, name)
	return Target{Name: name, Address: f.members[name].Address}
}

func (f *Forwarder) exchange(ctx context.Context, t Target, call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	if t.Name == f.Name {
		return f.Local(ctx, call), true
	}
	l, err := f.Links.Link(ctx, t.Address)
	if err != nil {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, Unspent: call.RetryBudget}, false
	}
	a, err := l.Call(ctx, call)
	switch {
	case err == nil:
		return a, true
	case errors.Is(err, connector.ErrNotSent):
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, Unspent: call.RetryBudget}, false
	case errors.Is(err, connector.ErrLinkLost):
		return f.askOutcome(ctx, t, call, l.Peer.Incarnation), true
	}
	return hornbeamcroft.Answer{Code: ended(ctx)}, true
}

func ended(ctx context.Context) hornbeamcroft.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hornbeamcroft.CodeDeadlinePassed
	}
	return hornbeamcroft.CodeCallerGone
}

// askOutcome asks the executing node over a new link what became of a call whose link was lost. A node that restarted
// meanwhile does not know.
func (f *Forwarder) askOutcome(ctx context.Context, t Target, call hornbeamcroft.Call, incarnation uint64,
) hornbeamcroft.Answer {
	unknown := hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	for sleeper.Sleep(ctx, outcomePause) {
		if m, ok := f.Member(t.Name); !ok || m.Incarnation > incarnation {
			return unknown
		}
		l, err := f.Links.Link(ctx, t.Address)
		if err != nil {
			if call.Idempotent {
				return unknown
			}
			continue
		}
		if l.Peer.Incarnation != incarnation {
			return unknown
		}
		a, err := l.Outcome(ctx, framer.OutcomeQuery{
			Sender: f.Name, Incarnation: f.Incarnation, ID: call.ID, Remaining: time.Until(deadlineOf(ctx)),
		})
		if err == nil {
			return a
		}
	}
	return hornbeamcroft.Answer{Code: ended(ctx)}
}

func deadlineOf(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(time.Second)
}

// learn passes the outcome to the balancer and the reported pressure to the propagator.
func (f *Forwarder) learn(call hornbeamcroft.Call, target string, took time.Duration, a hornbeamcroft.Answer) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pressure.Observe(now, call.Service, a.Pressure)
	f.learnPath(call, a.Pressure)
	if call.Idempotent {
		f.balancer(call.Service).Finish(now, target, took, outcome(a))
	}
}

func outcome(a hornbeamcroft.Answer) hornbeamcroft.Outcome {
	switch a.Code {
	case hornbeamcroft.CodeAnswered, hornbeamcroft.CodeAnsweredFromRecord:
		if a.Status >= 500 {
			return hornbeamcroft.OutcomeFailure
		}
		return hornbeamcroft.OutcomeSuccess
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated,
		hornbeamcroft.CodeUpstreamUnreachable, hornbeamcroft.CodeUpstreamNotRegistered, hornbeamcroft.CodeDeadlinePassed:
		return hornbeamcroft.OutcomeFailure
	case hornbeamcroft.CodeCallerGone, hornbeamcroft.CodeCancelledBeforeStart:
		return hornbeamcroft.OutcomeIgnored
	}
	return hornbeamcroft.OutcomeRefused
}

// shed refuses an idempotent request at its entry if a service below would shed it.
func (f *Forwarder) shed(call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	if !f.ShedEarly || !call.Idempotent || call.Depth != 1 {
		return hornbeamcroft.Answer{}, false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.pressure.Admit(now, randomizer.Randomizer{}, append([]string{call.Service}, f.paths[call.Service+"/"+call.Type]...), call.Importance, admitter.Hash(call.Request))
	if v.Admitted {
		return hornbeamcroft.Answer{}, false
	}
	code := hornbeamcroft.CodeServicePressedBelow
	if v.Service == call.Service {
		code = hornbeamcroft.CodeOverloaded
	}
	return hornbeamcroft.Answer{Code: code, RetryAfter: v.RetryAfter}, true
}

// maxPaths bounds the request types whose services are remembered.
const maxPaths = 4096

// learnPath notes the services that calls of the type reach. Only these can shed a request of the type: the document
// says which services a service may call, but not for which request types. The lock is held.
func (f *Forwarder) learnPath(call hornbeamcroft.Call, pressure []hornbeamcroft.Pressure) {
	name := call.Service + "/" + call.Type
	path := f.paths[name]
	for _, p := range pressure {
		if p.Service != call.Service && !slices.Contains(path, p.Service) && len(path) < propagator.MaxEntries {
			path = append(path, p.Service)
		}
	}
	if f.paths == nil {
		f.paths = make(map[string][]string)
	}
	if _, ok := f.paths[name]; ok || len(f.paths) < maxPaths {
		f.paths[name] = path
	}
}
