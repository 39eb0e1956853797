package leaser

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sleeper"
)

// Runner makes the calls to the store that a Leaser requests. The exported fields must be set before Run. It is safe
// for concurrent use.
type Runner struct {
	Leaser *Leaser
	Store  hornbeamcroft.Store
	Clock  hornbeamcroft.Clock
	// Wait waits between calls to the store, for the duration or until ctx ends; sleeper.Wait if nil.
	Wait func(ctx context.Context, d time.Duration) error

	mu sync.Mutex
}

// Held returns the fence if the lease is held now. It must be called right before every protected action.
func (r *Runner) Held() (Fence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Leaser.Held(r.Clock.Now())
}

// Run acquires and renews the lease until ctx ends. It then revokes the lease and returns the error of ctx.
func (r *Runner) Run(ctx context.Context) error {
	wait := r.Wait
	if wait == nil {
		wait = sleeper.Wait
	}
	for ctx.Err() == nil {
		if d := r.Step(ctx); d > 0 {
			_ = wait(ctx, d) // an ended ctx ends the loop
		}
	}
	r.revoke(context.WithoutCancel(ctx))
	return ctx.Err()
}

// Step makes the call that is due, if there is one, and returns the time until the next call is due.
func (r *Runner) Step(ctx context.Context) time.Duration {
	r.mu.Lock()
	l, sent := r.Leaser, r.Clock.Now()
	step, d := l.Next(sent)
	id := l.ID()
	conditions, puts := l.Claim()
	r.mu.Unlock()
	var handle func(now time.Duration)
	switch step {
	case StepRead:
		entry, err := r.Store.Get(ctx, l.Key)
		handle = func(now time.Duration) { l.OnRead(now, entry, err) }
	case StepGrant:
		granted, err := r.Store.Grant(ctx, l.TTL)
		handle = func(now time.Duration) { l.OnGrant(sent, now, granted, err) }
	case StepClaim:
		result, err := r.Store.Txn(ctx, conditions, puts)
		handle = func(now time.Duration) { l.OnClaim(now, result, err) }
	case StepRenew:
		err := r.Store.KeepAlive(ctx, id)
		handle = func(now time.Duration) { l.OnRenew(sent, now, err) }
	default:
		return d
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	handle(r.Clock.Now())
	_, d = l.Next(r.Clock.Now())
	return d
}

// revoke ends the lease at once, so that another process can take the key without waiting for the expiry. If the call
// to the store fails, the key stays taken until the lease expires there, at most one TTL.
func (r *Runner) revoke(ctx context.Context) {
	r.mu.Lock()
	id := r.Leaser.ID()
	r.Leaser.id, r.Leaser.epoch = 0, 0
	r.mu.Unlock()
	if id != 0 {
		_ = r.Store.Revoke(ctx, id)
	}
}
