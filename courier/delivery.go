package courier

import (
	"context"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

// delivery is the delivery of one call, over all its sends.
type delivery struct {
	courier *Courier
	route   hornbeamcroft.Route
	rec     Record
	start   time.Duration
	// tried are the hosts to which the call was sent. They are excluded from the next send until waitForHost clears the
	// list.
	tried []string
	// mayHaveRunOn are the hosts on which the call may have run, with one entry for each such send. It names at most
	// Route.MaxAttempts different hosts.
	mayHaveRunOn []string
	// hedge is set if this is the delivery of a retry beside a run.
	hedge *hedge
}

// run admits the call, sends it until it must not be sent again, and returns the final answer.
func (d *delivery) run(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	verdict := d.courier.admit(call, d.rec.Age)
	if call.Depth == 1 {
		call.Weight = verdict.Weight
	}
	if !verdict.Admitted {
		d.rec.Service, d.rec.Level, d.rec.LevelAge = verdict.Service, verdict.Level, verdict.LevelAge
		code := hornbeamcroft.CodeServicePressedBelow
		if verdict.Service == call.Service {
			code = hornbeamcroft.CodeOverloaded
		}
		return d.finalAnswer(call, hornbeamcroft.Answer{Code: code})
	}
	return d.sendUntilFinal(ctx, call)
}

// sendUntilFinal sends the call until it must not be sent again, and returns the final answer.
func (d *delivery) sendUntilFinal(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	for {
		m, ok := d.waitForHost(ctx, &call)
		if !ok {
			return d.finalAnswer(call, hornbeamcroft.Answer{Code: hornbeamcroft.CodeNoUpstream, RetryAfter: noHostRetryAfter})
		}
		a, final := d.sendHedged(ctx, m, call)
		if final {
			return d.finalAnswer(call, a)
		}
		d.recordSend(&call, m.Name, a.Code)
		if !d.mayResend(ctx, call, a) {
			return d.finalAnswer(call, a)
		}
		a.CloseStream()
	}
}

// recordSend records a send to the host that was answered with the code, and updates the call for the next send.
func (d *delivery) recordSend(call *hornbeamcroft.Call, host string, code hornbeamcroft.Code) {
	d.rec.Hosts, d.rec.Codes = append(d.rec.Hosts, host), append(d.rec.Codes, code)
	d.tried = append(d.tried, host)
	if code == hornbeamcroft.CodeUpstreamRefused || mayHaveRun(code) {
		call.Sends++
	}
	if mayHaveRun(code) {
		d.mayHaveRunOn = append(d.mayHaveRunOn, host)
		call.Retry = true
	}
}

const (
	// hostPollInterval is the interval between two attempts to pick a host.
	hostPollInterval = 25 * time.Millisecond
	// childHostWait is the share of the remaining time for which a child call waits for a host: refusing it wastes
	// the work already done above it. The request of an external caller is refused after waiting for the share
	// ingressHostWait of its objective.
	childHostWait   = 0.5
	ingressHostWait = 0.1
)

// waitForHost picks the host of the next send, and sets call.Last. If no host is available, it polls for one until a time that depends on the
// depth of the call. It returns false if it found no host.
func (d *delivery) waitForHost(ctx context.Context, call *hornbeamcroft.Call) (hornbeamcroft.Member, bool) {
	maxWait := time.Duration(childHostWait * float64(call.Remaining))
	if call.Depth == 1 {
		maxWait = time.Duration(ingressHostWait * float64(call.Objective))
	}
	until := d.courier.Clock.Now() + maxWait
	for {
		m, ok := d.courier.pick(call, d.excluded)
		if !ok && d.mayTryAgain() && len(d.tried) > 0 {
			d.tried = nil
			continue
		}
		if ok || d.overloaded() || d.courier.Clock.Now() >= until || !sleeper.Sleep(ctx, hostPollInterval) {
			return m, ok
		}
	}
}

// mayTryAgain reports whether a host that the call was sent to may answer the next send: its upstream refused the call although it had
// a free slot, or the last answer was lost and a retry granted.
func (d *delivery) mayTryAgain() bool {
	n := len(d.rec.Codes)
	return n > 0 && mayHaveRun(d.rec.Codes[n-1]) || slices.Contains(d.rec.Codes, hornbeamcroft.CodeUpstreamRefused)
}

// overloaded reports whether a host has refused the call for lack of capacity. Waiting for another host does not help
// in that case.
func (d *delivery) overloaded() bool {
	return slices.Contains(d.rec.Codes, hornbeamcroft.CodeOverloaded)
}

// mayResend reports whether the call may be sent once more after the answer. Where that needs a retry from this node's
// part of the retry budget, mayResend spends it.
func (d *delivery) mayResend(ctx context.Context, call hornbeamcroft.Call, a hornbeamcroft.Answer) bool {
	if ctx.Err() != nil || len(d.rec.Hosts) >= maxSends {
		return false
	}
	switch a.Code {
	case hornbeamcroft.CodeOverloaded, hornbeamcroft.CodeQueueExpired, hornbeamcroft.CodeDraining,
		hornbeamcroft.CodeUpstreamNotRegistered, hornbeamcroft.CodeUpstreamUnreachable, hornbeamcroft.CodeConfirmedNotRun,
		hornbeamcroft.CodeFencedAfterLinkLoss, hornbeamcroft.CodeDuplicateTableFull:
		// The call did not reach an upstream.
		return true
	case hornbeamcroft.CodeUpstreamRefused:
		return a.RetryGranted
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated,
		hornbeamcroft.CodeAnswered, hornbeamcroft.CodeUnprovenRefusal:
		if !call.Idempotent || len(d.mayHaveRunOn) >= hornbeamcroft.MaxRuns {
			return false
		}
		// An answer without a load was not made by the node of the upstream, which could have granted a retry from its
		// own part of the retry budget. The retry is then spent from this node's part.
		return a.RetryGranted || a.Load == nil && a.Code != hornbeamcroft.CodeAnswered && d.courier.spendRetry(call)
	}
	return false
}

// excluded reports whether the host is excluded from the next send. Once the call may have run on Route.MaxAttempts
// hosts, all other hosts are excluded. Until then, the hosts in d.tried are.
func (d *delivery) excluded(host string) bool {
	if d.distinctHosts() >= d.route.MaxAttempts {
		return !slices.Contains(d.mayHaveRunOn, host)
	}
	return slices.Contains(d.tried, host)
}

// distinctHosts returns the number of different hosts on which the call may have run.
func (d *delivery) distinctHosts() int {
	n := 0
	for i, host := range d.mayHaveRunOn {
		if !slices.Contains(d.mayHaveRunOn[:i], host) {
			n++
		}
	}
	return n
}

// finalAnswer returns the answer to the caller. An answer that claims "not run" covers only the last send; if the call
// may have run on an earlier send, finalAnswer changes the code to CodeOutcomeUnknown. At depth 1, it sets the
// Retry-After time of a call that did not run.
func (d *delivery) finalAnswer(call hornbeamcroft.Call, a hornbeamcroft.Answer) hornbeamcroft.Answer {
	if a.Code.Claim() != hornbeamcroft.ClaimNotRun {
		return a
	}
	if len(d.mayHaveRunOn) > 0 {
		a.Code = hornbeamcroft.CodeOutcomeUnknown
		return a
	}
	if call.Depth == 1 {
		a.RetryAfter = d.courier.retryAfter(call.Type, call.Objective-(d.courier.Clock.Now()-d.start))
	}
	return a
}

// send sends the call to the host. It reduces the remaining time and the objective by the time that has passed since the
// delivery started.
func (d *delivery) send(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
	elapsed := d.courier.Clock.Now() - d.start
	call.Remaining -= elapsed
	call.Objective -= elapsed
	if call.Remaining <= 0 {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	call.ID = d.courier.nextID.Add(1)
	if m.Name == d.courier.Name {
		return d.courier.Local(ctx, call)
	}
	call.Upstream = d.courier.lastStatement(m.Name)
	a := d.courier.Remote(ctx, m, call)
	// A send that was cancelled while the link was being opened says nothing about the host.
	if a.Code == hornbeamcroft.CodeUpstreamUnreachable && a.Load == nil && ctx.Err() == nil {
		d.courier.markUnreachable(call.Service, m.Name)
	}
	return a
}

// mayHaveRun reports whether a call that was answered with the code may have run.
func mayHaveRun(c hornbeamcroft.Code) bool { return c.Claim() != hornbeamcroft.ClaimNotRun }
