package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/retrier"
	"hornbeamcroft/sleeper"
)

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
		f.Calls.End(attempt, answer.UnspentRetries, sent && lost(answer.Code))
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
	r.AdmissionLevels = a.AdmissionLevels
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
		return hornbeamcroft.Answer{Code: t.Code, RetryAfter: time.Second, UnspentRetries: call.RetryBudget}, "", false
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
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, UnspentRetries: call.RetryBudget}, false
	}
	a, err := l.Call(ctx, call)
	switch {
	case err == nil:
		return a, true
	case errors.Is(err, connector.ErrNotSent):
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, UnspentRetries: call.RetryBudget}, false
	case errors.Is(err, connector.ErrLinkLost):
		return f.askOutcome(ctx, t, call, l.Peer.Incarnation), true
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}, true
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
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
}

func deadlineOf(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(time.Second)
}
