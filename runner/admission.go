package runner

import (
	"context"
	"time"

	"hornbeamcroft"
)

// admit waits until the call may start.
func (r *Runner) admit(ctx context.Context, call hornbeamcroft.Call, now time.Duration) (uint64, hornbeamcroft.Decision) {
	ch := make(chan hornbeamcroft.Decision, 1)
	r.mu.Lock()
	r.nextID++
	id := r.nextID
	if code := r.closed(); code != 0 {
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
		Weight: call.Weight,
	}
	if call.Objective != 0 {
		t.Objective = max(now+call.Objective, 1)
	}
	r.spread(r.scheduler.Arrive(now, t))
	r.startTicking()
	r.mu.Unlock()
	select {
	case d := <-ch:
		return id, d
	case <-ctx.Done():
		return id, r.withdraw(id, ch)
	}
}

// closed returns why the upstream takes no calls, or zero. The lock is held.
func (r *Runner) closed() hornbeamcroft.Code {
	switch {
	case r.upstream.Instance == "":
		return hornbeamcroft.CodeUpstreamNotRegistered
	case !r.upstream.Usable():
		return hornbeamcroft.CodeDraining
	}
	return 0
}

// withdraw cancels a waiting call. If it was admitted meanwhile, the slot is given back.
func (r *Runner) withdraw(id uint64, ch chan hornbeamcroft.Decision) hornbeamcroft.Decision {
	r.mu.Lock()
	delete(r.waiting, id)
	r.spread(r.scheduler.Cancel(r.Clock.Now(), id))
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

func (r *Runner) finish(id uint64, s hornbeamcroft.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread(r.scheduler.Finish(r.Clock.Now(), id, s))
}

// spread hands decisions to their calls. The lock is held.
func (r *Runner) spread(ds []hornbeamcroft.Decision) {
	for _, d := range ds {
		if ch := r.waiting[d.ID]; ch != nil {
			delete(r.waiting, d.ID)
			ch <- d
		}
	}
}

// startTicking runs a ticker for as long as calls wait. The lock is held.
func (r *Runner) startTicking() {
	if r.ticking || len(r.waiting) == 0 {
		return
	}
	r.ticking = true
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

func (r *Runner) tick() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread(r.scheduler.Tick(r.Clock.Now()))
	r.ticking = len(r.waiting) > 0
	return r.ticking
}
