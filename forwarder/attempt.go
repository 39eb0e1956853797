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

// makeAttempt makes one attempt at the call. If a target did not take the call, makeAttempt sends it to another target,
// which costs no retry budget. Targets that failed are added to excluded. It reports whether the call may be retried, after
// it has waited for the backoff of the retry.
func (f *Forwarder) makeAttempt(ctx context.Context, call hornbeamcroft.Call, child retrier.Child, attempt retrier.Attempt,
	excluded *[]string,
) (hornbeamcroft.Answer, bool) {
	call.RetryBudget = attempt.Share
	home := ""
	for repicks := 0; ; {
		answer, target, sent := f.send(ctx, call, home, *excluded)
		if target != "" && answer.Code != hornbeamcroft.CodeAnswered {
			*excluded = append(*excluded, target)
		}
		if !sent && target != "" && repicks < maxRepicks && ctx.Err() == nil {
			repicks++
			if !call.Idempotent {
				if !sleeper.Sleep(ctx, reconnectDelay) {
					break
				}
				*excluded, home = nil, ""
			}
			continue
		}
		verdict := f.Calls.Decide(randomizer.Randomizer{}, attempt, child, retrier.Failure{
			Code: answer.Code, Claim: answer.Code.Claim(), Idempotent: call.Idempotent, RetryAfter: answer.RetryAfter,
		})
		if verdict.Retry && verdict.Reroute {
			home = answer.Home
			continue
		}
		f.Calls.EndAttempt(attempt, answer.UnspentRetries, sent && budgetLost(answer.Code))
		if !verdict.Retry || !sleeper.Sleep(ctx, verdict.Wait) {
			return f.correctClaim(call, answer, sent), false
		}
		if len(*excluded) > 2*maxRepicks {
			*excluded = nil
		}
		return answer, true
	}
	f.Calls.EndAttempt(attempt, call.RetryBudget, false)
	return f.refuse(call, hornbeamcroft.CodeHomeUnreachable), false
}

// correctClaim returns the target's answer, unless nothing was sent or the code covers only this send (concernsOneSend).
// Then it returns a refusal by this node, with the claim that this node can make.
func (f *Forwarder) correctClaim(call hornbeamcroft.Call, a hornbeamcroft.Answer, sent bool) hornbeamcroft.Answer {
	if sent && !concernsOneSend(a.Code) {
		return a
	}
	refusal := f.refuse(call, a.Code)
	refusal.AdmissionLevels = a.AdmissionLevels
	return refusal
}

// concernsOneSend reports whether a refusal with the code covers only one send of a call, so that it says nothing about
// other sends with the same key.
func concernsOneSend(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeHomeMoved, hornbeamcroft.CodeConfirmedNotRun, hornbeamcroft.CodeFencedAfterLinkLoss:
		return true
	}
	return false
}

// budgetLost reports whether the retry budget of an attempt that ended with the code counts as spent, because no answer
// returned the unspent part.
func budgetLost(c hornbeamcroft.Code) bool {
	switch c {
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeDeadlinePassed, hornbeamcroft.CodeCallerGone:
		return true
	}
	return false
}

// send picks a target, sends the call to it and waits for the answer. It returns the name of the target, empty if there
// is none, and whether any byte of the call may have been sent.
func (f *Forwarder) send(ctx context.Context, call hornbeamcroft.Call, home string, excluded []string,
) (answer hornbeamcroft.Answer, target string, sent bool) {
	deadline, ok := ctx.Deadline()
	if ok {
		call.Remaining = time.Until(deadline)
	}
	if call.Remaining <= 0 {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}, "", false
	}
	t := f.pickTarget(call, home, excluded)
	if t.Code != 0 {
		return hornbeamcroft.Answer{Code: t.Code, RetryAfter: time.Second, UnspentRetries: call.RetryBudget}, "", false
	}
	call.ID = f.nextID.Add(1)
	call.Epoch = t.Epoch
	start := f.Clock.Now()
	answer, sent = f.exchange(ctx, t, call)
	f.recordOutcome(call, t.Name, f.Clock.Now()-start, answer)
	return answer, t.Name, sent
}

// pickTarget returns the target of a call. For an idempotent call, this is the member that the balancer picks; it is an
// excluded one only if all members are excluded. For a non-idempotent call, it is the given home, or the home of the
// call's key if home is empty.
func (f *Forwarder) pickTarget(call hornbeamcroft.Call, home string, excluded []string) Target {
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

// exchange sends the call to the target and waits for the answer. It reports whether any byte of the call may have been
// sent.
func (f *Forwarder) exchange(ctx context.Context, t Target, call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	if t.Name == f.Name {
		return f.Local(ctx, call), true
	}
	link, err := f.Links.Link(ctx, t.Address)
	if err != nil {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, UnspentRetries: call.RetryBudget}, false
	}
	a, err := link.Call(ctx, call)
	switch {
	case err == nil:
		return a, true
	case errors.Is(err, connector.ErrNotSent):
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable, UnspentRetries: call.RetryBudget}, false
	case errors.Is(err, connector.ErrLinkLost):
		return f.queryOutcome(ctx, t, call, link.Peer.Incarnation), true
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}, true
}

// queryOutcome asks the node to which the call was sent, over a new link, for the outcome of the call after its link
// was lost. The outcome is unknown if that node has restarted since then.
func (f *Forwarder) queryOutcome(ctx context.Context, t Target, call hornbeamcroft.Call, incarnation uint64,
) hornbeamcroft.Answer {
	unknown := hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	for sleeper.Sleep(ctx, reconnectDelay) {
		if m, ok := f.Member(t.Name); !ok || m.Incarnation > incarnation {
			return unknown
		}
		link, err := f.Links.Link(ctx, t.Address)
		if err != nil {
			if call.Idempotent {
				return unknown
			}
			continue
		}
		if link.Peer.Incarnation != incarnation {
			return unknown
		}
		a, err := link.Outcome(ctx, framer.OutcomeQuery{
			Sender: f.Name, Incarnation: f.Incarnation, ID: call.ID, Remaining: time.Until(deadlineOf(ctx)),
		}, call.Memory)
		if err == nil {
			return a
		}
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
}

// deadlineOf returns the deadline of ctx, or a time 1 s from now if ctx has none.
func deadlineOf(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(time.Second)
}
