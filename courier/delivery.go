package courier

import (
	"context"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

// delivery is one request on its way.
type delivery struct {
	c     *Courier
	route hornbeamcroft.Route
	rec   Record
	start time.Duration
	// tried are the hosts that the call is not sent to again while there are others.
	tried []string
	// ranOn are the hosts on which the call may have run, one entry for each send. They are at most Route.MaxAttempts
	// different ones.
	ranOn []string
}

func (d *delivery) run(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	v := d.c.admit(call, d.rec.Age)
	if call.Depth == 1 {
		call.Weight = v.Weight
	}
	if !v.Admitted {
		d.rec.Service, d.rec.Level, d.rec.LevelAge = v.Service, v.Level, v.LevelAge
		code := hornbeamcroft.CodeServicePressedBelow
		if v.Service == call.Service {
			code = hornbeamcroft.CodeOverloaded
		}
		return d.conclude(call, hornbeamcroft.Answer{Code: code})
	}
	for {
		m, ok := d.host(ctx, call)
		if !ok {
			return d.conclude(call, hornbeamcroft.Answer{Code: hornbeamcroft.CodeNoUpstream, RetryAfter: noHostRetry})
		}
		a := d.send(ctx, m, call)
		d.c.learn(call, m.Name, a)
		d.rec.Hosts, d.rec.Codes = append(d.rec.Hosts, m.Name), append(d.rec.Codes, a.Code)
		d.tried = append(d.tried, m.Name)
		if a.Code == hornbeamcroft.CodeUpstreamRefused || ran(a.Code) {
			call.Sends++
		}
		if ran(a.Code) {
			d.ranOn = append(d.ranOn, m.Name)
			call.Repeat = true
		}
		if !d.again(ctx, call, a) {
			return d.conclude(call, a)
		}
	}
}

const (
	// hostPause is the time between two looks for a host.
	hostPause = 25 * time.Millisecond
	// innerPatience is the part of the time left for which a call of a running request waits for a host: refusing it
	// wastes the work above. A request of a caller waits for startPatience of its objective, and is then refused.
	innerPatience = 0.5
	startPatience = 0.1
)

// host picks the host of the next send. Where none takes calls, it waits a while for one.
func (d *delivery) host(ctx context.Context, call hornbeamcroft.Call) (hornbeamcroft.Member, bool) {
	patience := time.Duration(innerPatience * float64(call.Remaining))
	if call.Depth == 1 {
		patience = time.Duration(startPatience * float64(call.Objective))
	}
	until := d.c.Clock.Now() + patience
	for {
		m, ok := d.c.pick(call, d.excluded)
		if !ok && slices.Contains(d.rec.Codes, hornbeamcroft.CodeUpstreamRefused) && len(d.tried) > 0 {
			// An upstream that refuses without reason may take the next send.
			d.tried = nil
			continue
		}
		if ok || d.refused() || d.c.Clock.Now() >= until || !sleeper.Sleep(ctx, hostPause) {
			return m, ok
		}
	}
}

// refused reports whether a host was left out because it has no room; waiting for another one does not help then.
func (d *delivery) refused() bool {
	return slices.Contains(d.rec.Codes, hornbeamcroft.CodeOverloaded)
}

// again reports whether the call is sent once more after the answer.
func (d *delivery) again(ctx context.Context, call hornbeamcroft.Call, a hornbeamcroft.Answer) bool {
	if ctx.Err() != nil || len(d.rec.Hosts) >= maxSends {
		return false
	}
	switch a.Code {
	case hornbeamcroft.CodeOverloaded, hornbeamcroft.CodeQueueExpired, hornbeamcroft.CodeDraining,
		hornbeamcroft.CodeUpstreamNotRegistered, hornbeamcroft.CodeUpstreamUnreachable, hornbeamcroft.CodeConfirmedNotRun,
		hornbeamcroft.CodeFencedAfterLinkLoss, hornbeamcroft.CodeDuplicateTableFull:
		// Nothing reached the upstream.
		return true
	case hornbeamcroft.CodeUpstreamRefused:
		return a.Again
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated,
		hornbeamcroft.CodeAnswered:
		if !call.Idempotent || len(d.ranOn) >= hornbeamcroft.MaxRuns {
			return false
		}
		// Without a load the answer is not from the node beside the upstream, which could have granted a repeat.
		return a.Again || a.Load == nil && a.Code != hornbeamcroft.CodeAnswered && d.c.allowRepeat(call)
	}
	return false
}

// excluded reports whether the next send does not go to the host.
func (d *delivery) excluded(host string) bool {
	if d.hostsUsed() >= d.route.MaxAttempts {
		return !slices.Contains(d.ranOn, host)
	}
	return slices.Contains(d.tried, host)
}

// hostsUsed returns the number of hosts on which the call may have run.
func (d *delivery) hostsUsed() int {
	n := 0
	for i, host := range d.ranOn {
		if !slices.Contains(d.ranOn[:i], host) {
			n++
		}
	}
	return n
}

// conclude makes the final answer. A refusal is about all sends, and an earlier one may have run.
func (d *delivery) conclude(call hornbeamcroft.Call, a hornbeamcroft.Answer) hornbeamcroft.Answer {
	if a.Code.Claim() != hornbeamcroft.ClaimNotRun {
		return a
	}
	if len(d.ranOn) > 0 {
		a.Code = hornbeamcroft.CodeOutcomeUnknown
		return a
	}
	if call.Depth == 1 {
		a.RetryAfter = d.c.retryAfter(call.Type, call.Objective-(d.c.Clock.Now()-d.start))
	}
	return a
}

// send sends the call to the host, with the times that are left now.
func (d *delivery) send(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
	elapsed := d.c.Clock.Now() - d.start
	call.Remaining -= elapsed
	call.Objective -= elapsed
	if call.Remaining <= 0 {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	call.ID = d.c.nextID.Add(1)
	if m.Name == d.c.Name {
		return d.c.Local(ctx, call)
	}
	a := d.c.Remote(ctx, m, call)
	if a.Code == hornbeamcroft.CodeUpstreamUnreachable && a.Load == nil {
		d.c.down(call.Service, m.Name)
	}
	return a
}

// ran reports whether a call with this answer may have run.
func ran(c hornbeamcroft.Code) bool { return c.Claim() != hornbeamcroft.ClaimNotRun }
