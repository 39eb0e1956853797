// Package runner runs calls at the upstream beside the node. It is the one authority on that upstream: it admits calls to
// its slots, knows which of them run, and says what became of each.
package runner

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
	"hornbeamcroft/rationer"
	"hornbeamcroft/scheduler"
	"hornbeamcroft/tracer"
	"hornbeamcroft/waiter"
)

const (
	// tickInterval is how often waiting calls are reconsidered.
	tickInterval = 10 * time.Millisecond
	// busyRetry is when a call that found no room may be tried again.
	busyRetry = 300 * time.Millisecond
)

// Record tells what became of a call, for the log.
type Record struct {
	Call hornbeamcroft.Call
	Code hornbeamcroft.Code
	// Instance is the upstream's start that the call went to; empty if it went to none.
	Instance string
	Outcome  exchanger.Outcome
	Status   int
	// Waited is the time until a slot was free, Held the time at the upstream.
	Waited, Held time.Duration
	Load         hornbeamcroft.Load
	// Level is the admission level of the upstream when the call ended.
	Level hornbeamcroft.Pressure
	Err   error
}

// Exchanger sends requests to the upstream. *exchanger.Exchanger implements it.
type Exchanger interface {
	Exchange(ctx context.Context, q exchanger.Request) exchanger.Result
	// Alive reports whether the upstream accepts connections.
	Alive(ctx context.Context) bool
}

// Runner runs calls at one upstream. Set the exported fields before the first Run. It is safe for concurrent use.
type Runner struct {
	Clock   hornbeamcroft.Clock
	Service string
	// Exchanger speaks to the upstream.
	Exchanger Exchanger
	// Request returns the HTTP request of a call for the expected instance.
	Request func(call hornbeamcroft.Call, instance string, remaining time.Duration) exchanger.Request
	// Refuses reports whether a call is refused because it crashes upstreams; it may be nil.
	Refuses func(fingerprint uint64) bool
	// OnCrash takes the calls that ran when the upstream crashed, OnCleared a call that ran to its end.
	OnCrash   func(running []uint64)
	OnCleared func(fingerprint uint64)
	// OnGone is told that the expected instance no longer answers at its address; another one may.
	OnGone func(instance, other string)
	// OnEnd takes a record of each call.
	OnEnd func(r Record)
	// Rationer holds this node's part of the allowance of repeats.
	Rationer *rationer.Rationer
	// Levels returns the levels of the services that a run reached.
	Levels func(reach []hornbeamcroft.Reach) []hornbeamcroft.Pressure

	mu        sync.Mutex
	scheduler scheduler.Scheduler
	tracer    tracer.Tracer
	waiter    waiter.Waiter
	upstream  observer.Upstream
	nextID    uint64
	waiting   map[uint64]chan hornbeamcroft.Decision
	running   map[uint64]uint64
	ticking   bool
	// calls are the routes whose runs make calls of their own.
	calls map[string]bool
	// down is true from the first report of a crash until a call gets an answer again.
	down bool
}

// SetUpstream takes the state of the upstream. Calls that wait are refused as not run if it takes no more.
func (r *Runner) SetUpstream(u observer.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	restarted := u.Instance != r.upstream.Instance || u.Born != r.upstream.Born
	r.upstream = u
	r.scheduler.Service = r.Service
	r.scheduler.Slots = u.Slots
	if restarted {
		r.down = false
	}
	if !u.Usable() {
		r.spread(r.scheduler.Flush(hornbeamcroft.CodeDraining))
	}
}

// SetHosts tells how many hosts the service has; they share what is allowed besides the share of the requests.
func (r *Runner) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Rationer.Nodes = max(n, 1)
}

// RepeatsLeft returns the repeats that this node may still grant.
func (r *Runner) RepeatsLeft() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Rationer.Left(r.Clock.Now(), r.Service)
}

// Upstream returns the state that was set last.
func (r *Runner) Upstream() observer.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upstream
}

// Load returns the load of the upstream.
func (r *Runner) Load() hornbeamcroft.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

// load returns the load of the upstream. The lock is held.
func (r *Runner) load() hornbeamcroft.Load {
	l := r.scheduler.Load(r.Clock.Now())
	if !r.upstream.Usable() || r.down {
		l.Limit = 0
	}
	return l
}

// Running returns the number of calls at the upstream.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Inherit makes the call a child of the running call whose id it extends. It reports whether there is one.
func (r *Runner) Inherit(call *hornbeamcroft.Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.tracer.Parent(call.Attempt)
	if p == nil {
		return false
	}
	now := r.Clock.Now()
	call.Request = p.Root
	call.Importance = p.Importance
	call.Depth = p.Depth + 1
	call.Repeat, call.Weight = p.Repeat, p.Weight
	call.Remaining = min(call.Remaining, p.Deadline-now)
	call.Objective = min(call.Objective, p.Objective-now)
	if call.Remaining > 0 {
		r.tracer.Calling(p, now)
	}
	return true
}

// Called tells that a child with time left has ended, and counts it with the calls below it.
func (r *Runner) Called(attempt, service string, below []hornbeamcroft.Reach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.tracer.Parent(attempt); p != nil {
		r.tracer.Called(p, r.Clock.Now(), service, below)
	}
}

// Run runs the call and returns its answer.
func (r *Runner) Run(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	arrived := r.Clock.Now()
	rec := Record{Call: call}
	a := r.run(ctx, &rec)
	rec.Code, rec.Status = a.Code, a.Status
	if rec.Held == 0 {
		rec.Waited = r.Clock.Now() - arrived
	}
	r.mu.Lock()
	l := r.load()
	own := r.scheduler.Pressure(r.Clock.Now())
	r.mu.Unlock()
	rec.Load, rec.Level = l, own
	a.Load = &l
	a.Pressure = r.Levels(a.Reach)
	r.OnEnd(rec)
	return a
}

func (r *Runner) run(ctx context.Context, rec *Record) hornbeamcroft.Answer {
	call := rec.Call
	start := r.Clock.Now()
	deadline := start + call.Remaining
	if call.Service != r.Service {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamNotRegistered}
	}
	if r.Refuses != nil && r.Refuses(call.Fingerprint) {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodePoisonRefused, RetryAfter: busyRetry}
	}
	id, d := r.admit(ctx, call, start)
	if !d.Admitted {
		return hornbeamcroft.Answer{Code: d.Code, RetryAfter: busyRetry}
	}
	started := r.Clock.Now()
	rec.Waited = started - start
	instance, run := r.open(id, call, start)
	rec.Instance = instance
	if run == nil {
		r.finish(id, hornbeamcroft.Sample{Ignore: true})
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining}
	}
	res, gaveUp := r.exchange(ctx, id, call, run, r.Request(call, instance, deadline-started))
	rec.Held = r.Clock.Now() - started
	rec.Outcome, rec.Err = res.Outcome, res.Err
	if !gaveUp && (res.Outcome == exchanger.OutcomeLost || res.Outcome == exchanger.OutcomeNotSent) {
		r.checkCrash(ctx, instance)
	}
	reach := r.close(id, run, call, res)
	r.finish(id, sample(res, rec.Held, len(reach) > 0))
	if res.Outcome == exchanger.OutcomeWrongInstance {
		r.OnGone(instance, res.Instance)
	}
	a := answer(ctx, res)
	a.Reach = reach
	a.Again = gaveUp || r.grant(call, a)
	return a
}

// open records that the call starts. It returns no run if the upstream has stopped to take calls meanwhile.
func (r *Runner) open(id uint64, call hornbeamcroft.Call, arrived time.Duration) (string, *tracer.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed() != 0 {
		return r.upstream.Instance, nil
	}
	r.running[id] = call.Fingerprint
	switch now := r.Clock.Now(); {
	case call.Repeat && call.Sends == 0:
		r.Rationer.Caused(now, r.Service)
	case call.Sends == 0:
		r.Rationer.Request(now, r.Service)
	}
	return r.upstream.Instance, r.tracer.Open(tracer.Run{
		Attempt: call.Attempt, Root: call.Request, Importance: call.Importance, Depth: call.Depth,
		Deadline: arrived + call.Remaining, Objective: arrived + call.Objective,
		Repeat: call.Repeat, Weight: call.Weight, Started: r.Clock.Now(),
	})
}

// learnWork takes how long a run worked. One that fails ends early. The lock is held.
func (r *Runner) learnWork(call hornbeamcroft.Call, run *tracer.Run, res exchanger.Result) {
	if res.Status < 300 {
		worked, _ := run.Worked(r.Clock.Now())
		r.waiter.Answered(call.Type, worked)
	}
}

func (r *Runner) close(id uint64, run *tracer.Run, call hornbeamcroft.Call, res exchanger.Result) []hornbeamcroft.Reach {
	r.mu.Lock()
	delete(r.running, id)
	reach := r.tracer.Close(run)
	if len(reach) > 0 {
		r.noteCalls(call.Type)
	}
	if res.Outcome == exchanger.OutcomeAnswered {
		r.down = false
		r.learnWork(call, run, res)
	}
	r.mu.Unlock()
	if res.Outcome == exchanger.OutcomeAnswered && r.OnCleared != nil {
		r.OnCleared(call.Fingerprint)
	}
	return reach
}
