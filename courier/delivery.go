package courier

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
)

// outcomePause is the wait between attempts to reach a node whose link was lost.
const outcomePause = 50 * time.Millisecond

// delivery is one request on its way.
type delivery struct {
	c     *Courier
	route hornbeamcroft.Route
	rec   Record
	start time.Duration
	// tried are the hosts that the call is not sent to again while there are others.
	tried []string
	// ranOn are the hosts on which the call may have run, one entry for each send.
	ranOn []string
}

// maxRuns bounds the sends of a call that may have run. They go to at most Route.MaxAttempts hosts.
const maxRuns = 3

func (d *delivery) run(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	v := d.c.admit(call)
	d.rec.Returning = v.Returning
	if !v.Admitted {
		d.rec.Service = v.Service
		code := hornbeamcroft.CodeServicePressedBelow
		if v.Service == call.Service {
			code = hornbeamcroft.CodeOverloaded
		}
		return hornbeamcroft.Answer{Code: code, RetryAfter: v.RetryAfter}
	}
	for moves := 0; ; moves++ {
		m, ok := d.host(ctx, call)
		if !ok {
			return d.conclude(call, hornbeamcroft.Answer{Code: hornbeamcroft.CodeNoUpstream, RetryAfter: noHostRetry})
		}
		a, mayHaveRun := d.send(ctx, m, call)
		d.c.learn(call, m.Name, a)
		d.rec.Hosts, d.rec.Codes = append(d.rec.Hosts, m.Name), append(d.rec.Codes, a.Code)
		d.tried = append(d.tried, m.Name)
		if mayHaveRun {
			d.ranOn = append(d.ranOn, m.Name)
			call.Repeat = true
		}
		if !d.again(ctx, call, a, moves) {
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
		if ok || d.refused() || d.c.Clock.Now() >= until || !sleep(ctx, hostPause) {
			return m, ok
		}
	}
}

// refused reports whether a host was left out because it has no room; waiting for another one does not help then.
func (d *delivery) refused() bool {
	return slices.Contains(d.rec.Codes, hornbeamcroft.CodeOverloaded)
}

// again reports whether the call is sent once more after the answer.
func (d *delivery) again(ctx context.Context, call hornbeamcroft.Call, a hornbeamcroft.Answer, moves int) bool {
	if ctx.Err() != nil || moves >= maxMoves {
		return false
	}
	switch a.Code {
	case hornbeamcroft.CodeOverloaded, hornbeamcroft.CodeQueueExpired, hornbeamcroft.CodeDraining,
		hornbeamcroft.CodeUpstreamNotRegistered, hornbeamcroft.CodeUpstreamUnreachable, hornbeamcroft.CodeConfirmedNotRun,
		hornbeamcroft.CodeFencedAfterLinkLoss, hornbeamcroft.CodeDuplicateTableFull:
		// Nothing reached the upstream.
		return true
	case hornbeamcroft.CodeUpstreamRefused:
		return d.c.allowRepeat(call, false)
	case hornbeamcroft.CodeOutcomeUnknown, hornbeamcroft.CodeUpstreamCrashed, hornbeamcroft.CodeAnswerTruncated:
	case hornbeamcroft.CodeAnswered:
		// A failure of a run that made calls is most likely one of those, and they were repeated already.
		if a.Status < 500 || len(a.Reach) > 0 {
			return false
		}
	default:
		return false
	}
	return call.Idempotent && len(d.ranOn) < maxRuns && d.c.allowRepeat(call, true)
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
		a.RetryAfter = d.c.retryAfter(call)
	}
	return a
}

// send sends the call to the host. It reports whether the call may have run there.
func (d *delivery) send(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	elapsed := d.c.Clock.Now() - d.start
	call.Remaining -= elapsed
	call.Objective -= elapsed
	if call.Remaining <= 0 {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}, false
	}
	call.ID = d.c.nextID.Add(1)
	if m.Name == d.c.Name {
		a := d.c.Local(ctx, call)
		return a, ran(a.Code)
	}
	l := d.c.Links.Peer(m.Name)
	if l == nil {
		var err error
		if l, err = d.c.Links.Link(ctx, m.Address); err != nil {
			d.c.down(call.Service, m.Name)
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable}, false
		}
	}
	a, err := l.Call(ctx, call)
	switch {
	case err == nil:
		return a, ran(a.Code)
	case errors.Is(err, connector.ErrNotSent):
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable}, false
	case errors.Is(err, connector.ErrLinkLost):
		a := d.lost(ctx, m, call, l.Peer.Incarnation)
		return a, ran(a.Code)
	}
	return hornbeamcroft.Answer{Code: ended(ctx)}, true
}

// ran reports whether a call with this answer may have run.
func ran(c hornbeamcroft.Code) bool { return c.Claim() != hornbeamcroft.ClaimNotRun }

func ended(ctx context.Context) hornbeamcroft.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return hornbeamcroft.CodeDeadlinePassed
	}
	return hornbeamcroft.CodeCallerGone
}

// lost settles a call whose link ended. An idempotent one is sent elsewhere; for another the node at the other end is
// asked, until the deadline, what became of it. A node that was started anew does not know.
func (d *delivery) lost(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call, incarnation uint64,
) hornbeamcroft.Answer {
	unknown := hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	if call.Idempotent {
		return unknown
	}
	for sleep(ctx, outcomePause) {
		l, err := d.c.Links.Link(ctx, m.Address)
		if err != nil {
			continue
		}
		if l.Peer.Name != m.Name || l.Peer.Incarnation != incarnation {
			return unknown
		}
		deadline, _ := ctx.Deadline()
		a, err := l.Outcome(ctx, framer.OutcomeQuery{
			Sender: d.c.Name, Incarnation: d.c.Incarnation, ID: call.ID, Remaining: time.Until(deadline),
		})
		if err == nil {
			return a
		}
	}
	return hornbeamcroft.Answer{Code: ended(ctx)}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
