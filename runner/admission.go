package runner

import (
	"context"
	"time"

	"hornbeamcroft"
)

// awaitReady waits until calls may run, and returns zero then, or the code with which the call is refused.
func (r *Runner) awaitReady(ctx context.Context) hornbeamcroft.Code {
	if r.Ready == nil {
		return 0
	}
	select {
	case <-r.Ready:
		return 0
	case <-r.Unready:
		if r.unready() {
			return hornbeamcroft.CodeUpstreamNotRegistered
		}
		return 0
	case <-ctx.Done():
		return hornbeamcroft.CodeCancelledBeforeStart
	}
}

// unready reports whether calls are refused until Ready is closed.
func (r *Runner) unready() bool { return isClosed(r.Unready) && !isClosed(r.Ready) }

// isClosed reports whether the channel, which may be nil, is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// admit queues the call at the scheduler and waits for the decision, or until ctx ends. It returns the id of the ticket
// and the decision.
func (r *Runner) admit(ctx context.Context, call hornbeamcroft.Call, now time.Duration) (uint64, hornbeamcroft.Decision) {
	ch := make(chan hornbeamcroft.Decision, 1)
	r.mu.Lock()
	r.nextID++
	id := r.nextID
	if code := r.unavailableCode(); code != 0 {
		r.mu.Unlock()
		return id, hornbeamcroft.Decision{Code: code}
	}
	if r.waiting == nil {
		r.waiting = make(map[uint64]chan hornbeamcroft.Decision)
		r.running = make(map[uint64]uint64)
	}
	r.waiting[id] = ch
	t := hornbeamcroft.Ticket{
		ID: id, Importance: call.Importance, Depth: call.Depth, Deadline: now + call.Remaining,
		Weight: call.Weight, Last: call.Last,
	}
	if call.Tenant != "" && r.TenantWeight != nil {
		t.Tenant, t.TenantWeight = call.Tenant, r.TenantWeight(call.Tenant)
	}
	if call.Objective != 0 {
		t.Objective = max(now+call.Objective, 1)
	}
	r.deliverDecisions(r.scheduler.Arrive(now, t))
	r.startTicker()
	r.mu.Unlock()
	select {
	case d := <-ch:
		return id, d
	case <-ctx.Done():
		return id, r.cancelWaiting(id, ch)
	}
}

// unavailableCode returns the code with which calls are refused while the upstream is not registered or is draining, or
// zero if the upstream accepts calls. The caller must hold r.mu.
func (r *Runner) unavailableCode() hornbeamcroft.Code {
	switch {
	case r.upstream.Instance == "":
		return hornbeamcroft.CodeUpstreamNotRegistered
	case !r.upstream.Usable():
		return hornbeamcroft.CodeDraining
	}
	return 0
}

// cancelWaiting cancels a call that waits for its admission. If the scheduler admitted the call in the meantime,
// cancelWaiting releases the slot of the call.
func (r *Runner) cancelWaiting(id uint64, ch chan hornbeamcroft.Decision) hornbeamcroft.Decision {
	r.mu.Lock()
	delete(r.waiting, id)
	r.deliverDecisions(r.scheduler.Cancel(r.Clock.Now(), id))
	r.mu.Unlock()
	select {
	case d := <-ch:
		if d.Admitted {
			r.finish(id, hornbeamcroft.Sample{Ignore: true})
		}
	default:
	}
	return hornbeamcroft.Decision{ID: id, Code: hornbeamcroft.CodeCancelledBeforeStart}
}

// finish ends an admitted call in the scheduler, which frees its slot, and delivers the decisions on waiting calls that
// the scheduler makes in response.
func (r *Runner) finish(id uint64, s hornbeamcroft.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliverDecisions(r.scheduler.Finish(r.Clock.Now(), id, s))
}

// deliverDecisions sends each decision to the call that waits for it. The caller must hold r.mu.
func (r *Runner) deliverDecisions(decisions []hornbeamcroft.Decision) {
	for _, d := range decisions {
		if ch := r.waiting[d.ID]; ch != nil {
			delete(r.waiting, d.ID)
			ch <- d
		}
	}
}

// startTicker calls tick every tickInterval for as long as calls wait. The caller must hold r.mu.
func (r *Runner) startTicker() {
	if r.tickerRunning || len(r.waiting) == 0 {
		return
	}
	r.tickerRunning = true
	go func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for range t.C {
			if !r.tick() {
				return
			}
		}
	}()
}

// tick lets the scheduler reconsider the waiting calls. It reports whether calls still wait.
func (r *Runner) tick() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliverDecisions(r.scheduler.Tick(r.Clock.Now()))
	r.tickerRunning = len(r.waiting) > 0
	return r.tickerRunning
}
