package courier

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

// hedge is the retry of a call whose run is presumed lost but goes on. The first success of the run and the retry ends the other.
type hedge struct {
	// begin starts the retry. It is set before the call is sent.
	begin func(h *hedge)
	// cancelRun ends the run.
	cancelRun context.CancelFunc

	mu sync.Mutex
	// runEnded is set when the run has ended: a grant that arrives later starts no retry. runCanceled is set when a successful retry
	// has ended the run before.
	runEnded, runCanceled bool
	// runAnswered is set when the upstream has answered the run with a failure: the retry is not sent again then. retrySending is true
	// while a send of the retry awaits its answer, and from its success on.
	runAnswered, retrySending bool
	// retry is the delivery of the retry, cancelRetry ends it, and answer receives its final answer. They are nil if none was granted.
	retry       *delivery
	cancelRetry context.CancelFunc
	answer      chan hornbeamcroft.Answer
}

// onGranted starts the retry unless the run has ended.
func (h *hedge) onGranted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.runEnded && h.retry == nil {
		h.begin(h)
	}
}

// onRetrySucceeded ends the run unless it has ended, in which case its answer may have a stream that goes on.
func (h *hedge) onRetrySucceeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.runEnded {
		h.runCanceled = true
		h.cancelRun()
	}
}

// endRun records that the run has ended, and reports whether there is a retry. From then on, runCanceled does not change.
func (h *hedge) endRun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runEnded = true
	return h.retry != nil
}

// setRunAnswered records that the upstream has answered the run with a failure, and ends a retry that is not at a host now: the caller
// must not wait for the failure until a host has room.
func (h *hedge) setRunAnswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runAnswered = true
	if !h.retrySending {
		h.cancelRetry()
	}
}

// setRetrySending records whether a send of the retry awaits its answer or has succeeded.
func (h *hedge) setRetrySending(sending bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retrySending = sending
}

// mayRetry reports whether the retry may be sent again.
func (h *hedge) mayRetry() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.runAnswered
}

// sendHedged sends the call to the host. If a retry is granted while the run goes on, it delivers the call once more beside it and
// returns the better answer of both. It reports whether that answer is final.
func (d *delivery) sendHedged(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) (hornbeamcroft.Answer, bool) {
	if !call.Idempotent {
		return d.sendOnce(ctx, m, call), false
	}
	runCtx, cancelRun := context.WithCancel(ctx)
	h := &hedge{cancelRun: cancelRun, begin: func(h *hedge) { d.beginRetry(ctx, h, m.Name, call) }}
	sent := call
	sent.OnRetryGranted = h.onGranted
	a := d.sendOnce(runCtx, m, sent).OnStreamEnd(cancelRun)
	if !h.endRun() {
		return a, false
	}
	return d.awaitRetry(h, a), true
}

// sendOnce sends the call to the host and records the answer.
func (d *delivery) sendOnce(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
	if d.hedge == nil {
		a := d.send(ctx, m, call)
		d.courier.recordAnswer(call, m.Name, a)
		return a
	}
	d.hedge.setRetrySending(true)
	a := d.send(ctx, m, call)
	d.courier.recordAnswer(call, m.Name, a)
	d.hedge.setRetrySending(succeeded(a))
	return a
}

// beginRetry starts to deliver the call once more while it runs on the host. The caller must hold h.mu, and the delivery must be
// waiting for the answer of the host.
func (d *delivery) beginRetry(ctx context.Context, h *hedge, host string, call hornbeamcroft.Call) {
	if len(d.rec.Hosts)+1 >= maxSends {
		return
	}
	retry := &delivery{
		courier: d.courier, route: d.route, rec: d.rec, start: d.start, hedge: h,
		tried: slices.Clone(d.tried), mayHaveRunOn: slices.Clone(d.mayHaveRunOn),
	}
	retry.rec.Hosts, retry.rec.Codes = slices.Clone(d.rec.Hosts), slices.Clone(d.rec.Codes)
	retry.recordSend(&call, host, hornbeamcroft.CodeOutcomeUnknown)
	ctx, cancel := context.WithCancel(ctx)
	answer := make(chan hornbeamcroft.Answer, 1)
	h.retry, h.cancelRetry, h.answer = retry, cancel, answer
	go func() {
		a := retry.deliverRetry(ctx, host, call)
		if succeeded(a) {
			h.onRetrySucceeded()
		}
		answer <- a
	}()
}

// minRetryBackoff is the time after which a granted retry that all hosts refused is sent again. It doubles each time, so that a service
// without capacity gets few such calls while the run goes on.
const minRetryBackoff = 50 * time.Millisecond

// deliverRetry delivers a granted retry of a call that runs on the host, and sends it again while all hosts refuse it: the answer
// of the run may be lost, and the retry budget has been charged.
func (d *delivery) deliverRetry(ctx context.Context, host string, call hornbeamcroft.Call) hornbeamcroft.Answer {
	runs := len(d.mayHaveRunOn)
	backoff := minRetryBackoff
	for {
		sends := len(d.rec.Hosts)
		a := d.sendUntilFinal(ctx, call)
		refused := len(d.rec.Hosts) == sends || refusedByHost(d.rec.Codes[len(d.rec.Codes)-1])
		if len(d.mayHaveRunOn) > runs || !refused || len(d.rec.Hosts) >= maxSends || !d.hedge.mayRetry() || !sleeper.Sleep(ctx, backoff) {
			return a
		}
		d.tried = []string{host}
		backoff *= 2
	}
}

// refusedByHost reports whether a host refused the call with the code, because of its load or a planned stop, without sending it to its
// upstream. A call that the upstream refused needs another grant.
func refusedByHost(code hornbeamcroft.Code) bool {
	return code == hornbeamcroft.CodeOverloaded || code == hornbeamcroft.CodeQueueExpired || code == hornbeamcroft.CodeDraining
}

// awaitRetry waits for the end of the retry, which it cancels if the run has succeeded. It returns the answer of the run if that succeeded,
// or if it is the upstream's and the retry did not succeed, and otherwise the answer of the retry. The delivery takes over the record of
// the retry.
func (d *delivery) awaitRetry(h *hedge, run hornbeamcroft.Answer) hornbeamcroft.Answer {
	streamLost := run.Stream != nil && h.runCanceled
	runSucceeded := succeeded(run) && !streamLost
	switch {
	case runSucceeded:
		h.cancelRetry()
	case run.Code == hornbeamcroft.CodeAnswered && !streamLost:
		h.setRunAnswered()
	}
	a := <-h.answer
	at := len(d.rec.Codes) // beginRetry recorded the run there with CodeOutcomeUnknown; its code is known now
	d.rec, d.tried, d.mayHaveRunOn = h.retry.rec, h.retry.tried, h.retry.mayHaveRunOn
	d.rec.Codes[at] = run.Code
	if runSucceeded || !streamLost && !succeeded(a) && run.Code == hornbeamcroft.CodeAnswered {
		h.cancelRetry()
		a.CloseStream()
		return run
	}
	run.CloseStream()
	return a.OnStreamEnd(h.cancelRetry)
}

// succeeded reports whether the upstream answered the call with a status below 500.
func succeeded(a hornbeamcroft.Answer) bool {
	return a.Code == hornbeamcroft.CodeAnswered && a.Status < 500
}
