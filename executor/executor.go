// Package executor runs calls at the upstream beside the node: it waits for admission, dispatches, and learns from the
// outcome.
package executor

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/dispatcher"
	"hornbeamcroft/registrar"
)

// tickInterval is how often waiting tickets are reconsidered.
const tickInterval = 5 * time.Millisecond

// Executor runs calls at one upstream. Set the exported fields before the first Execute. It is safe for concurrent use.
type Executor struct {
	Clock      hornbeamcroft.Clock
	Calls      *registrar.Registrar
	Dispatcher *dispatcher.Dispatcher
	// Admission decides which calls run and when; it is called under the executor's lock.
	Admission hornbeamcroft.Admitter
	// OnCrash is told which calls were running when the upstream's connection broke; it may be nil.
	OnCrash func(running []hornbeamcroft.Call)

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan hornbeamcroft.Decision
	running map[uint64]hornbeamcroft.Call
	ticking bool
	// crashed is true from the first report of a crash until the upstream is reachable again.
	crashed bool
	crashMu sync.Mutex
}

// Options change how one call is run.
type Options struct {
	// Isolated asks for an isolated run.
	Isolated bool
	// MayStart is asked right before the dispatch; nil means yes. A code other than zero refuses the call. StartBefore
	// is the end of the permit on the host's monotonic clock in nanoseconds.
	MayStart func() (startBefore int64, code hornbeamcroft.Code)
	// Detached lets a dispatched call run to its deadline when the caller goes away, so that its outcome is recorded.
	Detached bool
}

// Execute runs the call and returns its answer with the unspent retry budget and the admission levels.
func (e *Executor) Execute(ctx context.Context, call hornbeamcroft.Call, opts Options) hornbeamcroft.Answer {
	id, decision := e.admit(ctx, call, opts)
	if !decision.Admitted {
		return e.answer(hornbeamcroft.Answer{
			Code: decision.Code, RetryAfter: decision.RetryAfter, UnspentRetries: call.RetryBudget,
		})
	}
	if opts.Detached {
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), untilEnd(ctx, call.Remaining))
		defer cancel()
		ctx = detached
	}
	run := e.Calls.Open(registrar.Running{
		Token:      registrar.NewToken(),
		Request:    call.Request,
		Key:        call.Key,
		Importance: call.Importance,
		Depth:      call.Depth,
		Deadline:   e.Clock.Now() + call.Remaining,
		FirstSend:  call.FirstSend,
		ReceivedAt: call.ReceivedAt,
		Trace:      call.Trace,
	}, call.RetryBudget)
	e.mu.Lock()
	if e.running == nil {
		e.running = make(map[uint64]hornbeamcroft.Call)
	}
	e.running[id] = call
	e.mu.Unlock()

	start := e.Clock.Now()
	res := e.dispatch(ctx, call, run.Token, opts)
	if res.Broken {
		e.reportCrash(ctx, &res)
	}
	e.mu.Lock()
	delete(e.running, id)
	e.mu.Unlock()
	ended := e.Calls.Close(run)
	res.Answer.UnspentRetries, res.Answer.AdmissionLevels = ended.UnspentRetries, ended.AdmissionLevels
	s := sample(res, e.Clock.Now()-start)
	s.ChildTime = ended.ChildTime
	e.finish(id, s)
	return e.answer(res.Answer)
}

// dispatch asks whether the call may start and sends it.
func (e *Executor) dispatch(ctx context.Context, call hornbeamcroft.Call, token string, opts Options) dispatcher.Result {
	q := dispatcher.Request{Call: call, Token: token}
	if opts.MayStart != nil {
		startBefore, code := opts.MayStart()
		if code != 0 {
			return dispatcher.Result{Answer: hornbeamcroft.Answer{Code: code}}
		}
		q.StartBefore = startBefore
	}
	return e.Dispatcher.Run(ctx, q)
}

// untilEnd returns the time to the context's deadline.
func untilEnd(ctx context.Context, preset time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return preset
}

// reportCrash tells a broken connection from a crash: after a crash nothing listens. The report of a crash is complete
// before the answer of any call that ran in the upstream, so that a resend does not overtake it.
func (e *Executor) reportCrash(ctx context.Context, res *dispatcher.Result) {
	if !e.Dispatcher.Crashed(context.WithoutCancel(ctx)) {
		return
	}
	if res.Answer.Code == hornbeamcroft.CodeOutcomeUnknown {
		res.Answer.Code = hornbeamcroft.CodeUpstreamCrashed
	}
	e.crashMu.Lock()
	defer e.crashMu.Unlock()
	e.mu.Lock()
	known := e.crashed
	e.crashed = true
	calls := make([]hornbeamcroft.Call, 0, len(e.running))
	for _, c := range e.running {
		calls = append(calls, c)
	}
	e.mu.Unlock()
	if !known && e.OnCrash != nil {
		e.OnCrash(calls)
	}
}

// Recovered tells that the upstream accepts connections again.
func (e *Executor) Recovered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
}

func sample(res dispatcher.Result, took time.Duration) hornbeamcroft.Sample {
	s := hornbeamcroft.Sample{ServiceTime: took}
	switch res.Answer.Code {
	case hornbeamcroft.CodeAnswered:
		s.Overloaded = res.Answer.Status == 503 || res.Answer.Status == 429
	case hornbeamcroft.CodeDeadlinePassed, hornbeamcroft.CodeUpstreamRefused:
		s.Overloaded = true
	default:
		s.Ignore = true
	}
	return s
}

// answer adds the current admission level of the own upstream, before those of the services that the call reached.
func (e *Executor) answer(a hornbeamcroft.Answer) hornbeamcroft.Answer {
	e.mu.Lock()
	p := e.Admission.AdmissionLevel(e.Clock.Now())
	e.mu.Unlock()
	a.AdmissionLevels = append([]hornbeamcroft.AdmissionLevel{p}, a.AdmissionLevels...)
	return a
}

func (e *Executor) admit(ctx context.Context, call hornbeamcroft.Call, opts Options) (uint64, hornbeamcroft.Decision) {
	ch := make(chan hornbeamcroft.Decision, 1)
	now := e.Clock.Now()
	e.mu.Lock()
	e.nextID++
	id := e.nextID
	if e.waiting == nil {
		e.waiting = make(map[uint64]chan hornbeamcroft.Decision)
	}
	e.waiting[id] = ch
	e.spread(e.Admission.Arrive(now, hornbeamcroft.Ticket{
		ID:         id,
		Importance: call.Importance,
		Depth:      call.Depth,
		Hash:       admitter.Hash(call.Request),
		Deadline:   now + call.Remaining,
		Isolated:   opts.Isolated,
	}))
	e.startTicking()
	e.mu.Unlock()
	select {
	case d := <-ch:
		return id, d
	case <-ctx.Done():
	}
	return id, e.withdraw(id, ch)
}

// withdraw cancels a waiting ticket. If it was admitted meanwhile, the admission is given back.
func (e *Executor) withdraw(id uint64, ch chan hornbeamcroft.Decision) hornbeamcroft.Decision {
	e.mu.Lock()
	delete(e.waiting, id)
	e.spread(e.Admission.Cancel(e.Clock.Now(), id))
	e.mu.Unlock()
	select {
	case d := <-ch:
		if d.Admitted {
			e.finish(id, hornbeamcroft.Sample{Ignore: true})
		}
	default:
	}
	return hornbeamcroft.Decision{ID: id, Code: hornbeamcroft.CodeCancelledBeforeStart}
}

func (e *Executor) finish(id uint64, s hornbeamcroft.Sample) {
	e.mu.Lock()
	e.spread(e.Admission.Finish(e.Clock.Now(), id, s))
	e.mu.Unlock()
}

// spread hands decisions to their tickets. The lock is held.
func (e *Executor) spread(ds []hornbeamcroft.Decision) {
	for _, d := range ds {
		if ch := e.waiting[d.ID]; ch != nil {
			delete(e.waiting, d.ID)
			ch <- d
		}
	}
}

// startTicking runs a ticker for as long as tickets wait. The lock is held.
func (e *Executor) startTicking() {
	if e.ticking || len(e.waiting) == 0 {
		return
	}
	e.ticking = true
	go func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for range t.C {
			e.mu.Lock()
			e.spread(e.Admission.Tick(e.Clock.Now()))
			if len(e.waiting) == 0 {
				e.ticking = false
				e.mu.Unlock()
				return
			}
			e.mu.Unlock()
		}
	}()
}

// Load returns the calls that run and those that wait.
func (e *Executor) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// Replace puts another admission in force. Calls that the former one admitted run on and are not counted by the new one;
// calls that waited are refused as not run.
func (e *Executor) Replace(a hornbeamcroft.Admitter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Admission = a
	for id, ch := range e.waiting {
		delete(e.waiting, id)
		ch <- hornbeamcroft.Decision{ID: id, Code: hornbeamcroft.CodeOverloaded, RetryAfter: tickInterval}
	}
}

// AdmissionLevel returns the admission level of the own upstream.
func (e *Executor) AdmissionLevel() hornbeamcroft.AdmissionLevel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Admission.AdmissionLevel(e.Clock.Now())
}
