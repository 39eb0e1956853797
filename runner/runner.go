// Package runner executes calls at the local upstream, the one that this node serves. It is the sole authority on that
// upstream: it admits calls to its slots, tracks which calls are running there, and reports the outcome of each.
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
	"hornbeamcroft/timeoutestimator"
	"hornbeamcroft/tracer"
)

const (
	// tickInterval is the interval at which the scheduler reconsiders waiting calls.
	tickInterval = 10 * time.Millisecond
	// busyRetryAfter is the Retry-After time of a call that was refused or that the upstream did not carry out.
	busyRetryAfter = 300 * time.Millisecond
)

// Record is the log record of a call.
type Record struct {
	Call hornbeamcroft.Call
	Code hornbeamcroft.Code
	// Instance is the id of the upstream instance that the call was assigned to; empty if it was not admitted.
	Instance string
	Outcome  exchanger.Outcome
	Status   int
	// Waited is the time from the arrival of the call until it was admitted to a slot or, if it was not sent to the
	// upstream, until it ended. ServiceTime is the time of its exchange with the upstream; ServiceTime is zero if the
	// call was not sent.
	Waited, ServiceTime time.Duration
	Load                hornbeamcroft.Load
	// Level is the admission level of the upstream when the call ended.
	Level hornbeamcroft.AdmissionLevel
	Err   error
}

// Exchanger sends requests to the upstream. *exchanger.Exchanger implements it.
type Exchanger interface {
	Exchange(ctx context.Context, q exchanger.Request) exchanger.Result
	// Alive reports whether the upstream accepts connections.
	Alive(ctx context.Context) bool
}

// Runner executes calls at one upstream. Set the exported fields before the first Run. It is safe for concurrent use.
type Runner struct {
	Clock   hornbeamcroft.Clock
	Service string
	// Exchanger sends requests to the upstream.
	Exchanger Exchanger
	// Request returns the HTTP request of a call, addressed to the given instance.
	Request func(call hornbeamcroft.Call, instance string, remaining time.Duration) exchanger.Request
	// Ready is closed when calls may run; until then they wait. If it is nil, they need not.
	Ready <-chan struct{}
	// Unready is closed when calls are refused until Ready is closed, in place of waiting for it; it may be nil.
	Unready <-chan struct{}
	// Refuses reports whether calls with the fingerprint are refused because they crash upstreams; it may be nil.
	Refuses func(fingerprint uint64) bool
	// OnCrash is called with the fingerprints of the calls that were running when the upstream crashed, OnCleared with
	// the fingerprint of a call that ran to its end. OnCleared may be nil.
	OnCrash   func(running []uint64)
	OnCleared func(fingerprint uint64)
	// OnInstanceReplaced is called when an instance other than the expected one answered at the address; other is its id,
	// empty if the answer did not name one.
	OnInstanceReplaced func(instance, other string)
	// OnStatement is called when an answer states something else about the upstream than the answer before; to is the
	// upstream as it was when the call was sent. OnStatement returns before the answer is passed on.
	OnStatement func(to observer.Upstream, s hornbeamcroft.Statement)
	// OnReport is called with a statement of the upstream of which the sender of a call knows and this process may not. It
	// returns before the call is admitted.
	OnReport func(s hornbeamcroft.InstanceStatement)
	// TenantWeight returns the weight of a tenant, above 0, when capacity is divided. If it is nil, capacity is not divided by tenant.
	TenantWeight func(tenant string) float64
	// OnEnd is called with the record of each call when it ends.
	OnEnd func(r Record)
	// Rationer holds this node's part of the retry budget.
	Rationer *rationer.Rationer
	// Levels returns the admission levels of the services that a run called, at any depth.
	Levels func(serviceCalls []hornbeamcroft.ServiceCalls) []hornbeamcroft.AdmissionLevel

	mu               sync.Mutex
	scheduler        scheduler.Scheduler
	tracer           tracer.Tracer
	timeoutEstimator timeoutestimator.TimeoutEstimator
	upstream         observer.Upstream
	nextID           uint64
	// waiting holds, by ticket id, the channel of each call that waits for its admission; running holds the fingerprint
	// of each call at the upstream.
	waiting       map[uint64]chan hornbeamcroft.Decision
	running       map[uint64]uint64
	tickerRunning bool
	// routesWithCalls holds the routes whose runs make child calls.
	routesWithCalls map[string]bool
	// crashed is true from the report of a crash until a call is answered again or the instance is replaced.
	crashed bool
	// sends counts the calls sent to the upstream since the start, resends those of them that were sent before.
	sends, resends int64
	// grantsBesideRun counts the retries that were granted since the start while their runs went on.
	grantsBesideRun int64
}

// SetUpstream sets the state of the upstream. If the upstream is not registered or is draining, SetUpstream refuses the
// waiting calls with a code that states that they did not run.
func (r *Runner) SetUpstream(u observer.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	replaced := u.Instance != r.upstream.Instance || u.Born != r.upstream.Born
	r.upstream = u
	r.scheduler.Service = r.Service
	r.scheduler.Slots = u.Slots
	r.scheduler.SetRateLimit(r.Clock.Now(), u.Statement)
	if replaced {
		r.crashed = false
	}
	if !u.Usable() {
		r.deliverDecisions(r.scheduler.Flush(hornbeamcroft.CodeDraining))
	}
}

// SetHosts sets the number of hosts of the service. They share the fixed part of the retry budget, which does not
// depend on the number of requests.
func (r *Runner) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Rationer.Nodes = max(n, 1)
}

// RetriesLeft returns the number of retries that remain in this node's part of the retry budget.
func (r *Runner) RetriesLeft() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Rationer.Remaining(r.Clock.Now(), r.Service)
}

// Upstream returns the state set by the last SetUpstream.
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

// load implements Load. It reports a limit of zero while the upstream is not registered, is draining or has crashed, or calls are refused
// until the node is ready. The caller must hold r.mu.
func (r *Runner) load() hornbeamcroft.Load {
	l := r.scheduler.Load(r.Clock.Now())
	if !r.upstream.Usable() || r.crashed || r.unready() {
		l.Limit = 0
	}
	return l
}

// Running returns the number of calls that are running at the upstream.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Inherit finds the parent of a child call: the running call whose attempt id is a prefix of call.Attempt. It copies the
// parent's Request, Tenant, Importance, Retry and Weight to the child call, sets the child's Depth to the parent's plus one, and
// limits the child's Remaining and Objective to the time that the parent has left. Inherit reports whether it found a
// parent; if not, it leaves the call unchanged.
func (r *Runner) Inherit(call *hornbeamcroft.Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.tracer.Parent(call.Attempt)
	if p == nil {
		return false
	}
	now := r.Clock.Now()
	call.Request = p.Root
	call.Tenant, call.Importance = p.Tenant, p.Importance
	call.Depth = p.Depth + 1
	call.Retry, call.Weight = p.Retry, p.Weight
	call.Remaining = min(call.Remaining, p.Deadline-now)
	call.Objective = min(call.Objective, p.Objective-now)
	if call.Remaining > 0 {
		r.tracer.ChildStarted(p, now)
	}
	return true
}

// ChildEnded records that a child call to the given service has ended. It adds the child call, and the calls that the
// child call made in turn (below), to the calls of the parent. Call ChildEnded once for each child call that had a
// positive Remaining after Inherit.
func (r *Runner) ChildEnded(attempt, service string, below []hornbeamcroft.ServiceCalls) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.tracer.Parent(attempt); p != nil {
		r.tracer.ChildEnded(p, r.Clock.Now(), service, below)
	}
}

// Run runs the call and returns its answer, which carries the load of the upstream and the admission levels of the
// services called. If the answer has a stream, the run ends with it; ctx must not end before.
func (r *Runner) Run(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	arrived := r.Clock.Now()
	rec := Record{Call: call}
	r.applyReport(call)
	a := r.run(ctx, &rec)
	rec.Code, rec.Status = a.Code, a.Status
	if rec.ServiceTime == 0 {
		rec.Waited = r.Clock.Now() - arrived
	}
	r.mu.Lock()
	l := r.load()
	level := r.scheduler.AdmissionLevel(r.Clock.Now())
	a.Upstream = r.upstream.LastStatement()
	r.mu.Unlock()
	rec.Load, rec.Level = l, level
	a.Load = &l
	a.AdmissionLevels = r.Levels(a.ServiceCalls)
	if s, ok := a.Stream.(*runStream); ok {
		s.watch(rec)
		return a
	}
	r.OnEnd(rec)
	return a
}

// run waits for a slot, sends the call to the upstream, and decides whether the sender may retry it.
func (r *Runner) run(ctx context.Context, rec *Record) hornbeamcroft.Answer {
	call := rec.Call
	start := r.Clock.Now()
	deadline := start + call.Remaining
	if call.Service != r.Service {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamNotRegistered}
	}
	if code := r.awaitReady(ctx); code != 0 {
		return hornbeamcroft.Answer{Code: code, RetryAfter: busyRetryAfter}
	}
	if r.Refuses != nil && r.Refuses(call.Fingerprint) {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodePoisonRefused, RetryAfter: busyRetryAfter}
	}
	id, d := r.admit(ctx, call, start)
	if !d.Admitted {
		return hornbeamcroft.Answer{Code: d.Code, RetryAfter: busyRetryAfter}
	}
	started := r.Clock.Now()
	rec.Waited = started - start
	to, run := r.startRun(id, call, start)
	instance := to.Instance
	rec.Instance = instance
	if run == nil {
		r.finish(id, hornbeamcroft.Sample{Ignore: true})
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining}
	}
	res, grant := r.exchange(ctx, id, call, run, r.Request(call, instance, deadline-started))
	rec.ServiceTime = r.Clock.Now() - started
	rec.Outcome, rec.Err = res.Outcome, res.Err
	if res.Stream != nil {
		a := r.startStream(ctx, &runStream{id: id, run: run, call: call, started: started, result: res}, to)
		a.RetryGranted = grant != grantInAnswer && r.grantsRetry(grant, call, a)
		return a
	}
	if grant != grantInAnswer && (res.Outcome == exchanger.OutcomeLost || res.Outcome == exchanger.OutcomeNotSent) {
		r.detectCrash(ctx, instance)
	}
	serviceCalls := r.endRun(id, run, call, res)
	sample := schedulerSample(res, rec.ServiceTime, len(serviceCalls) > 0)
	if grant == grantBesideRun && res.Outcome == exchanger.OutcomeContextEnded {
		sample = hornbeamcroft.Sample{ServiceTime: rec.ServiceTime, Failed: true} // failed at its time so far, whatever ended it
	}
	r.finish(id, sample)
	if res.Outcome == exchanger.OutcomeWrongInstance {
		r.OnInstanceReplaced(instance, res.Instance)
	}
	r.reportStatement(to, res.Statement)
	a := answerForResult(ctx, res)
	a.ServiceCalls = serviceCalls
	a.RetryGranted = r.grantsRetry(grant, call, a)
	return a
}
