// Package executor runs calls at the local upstream, which is the one beside this node. It waits until a call is
// admitted, dispatches it, and reports the service time and the outcome to the admission control.
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

// tickInterval is the interval at which the admission control decides again about waiting tickets.
const tickInterval = 5 * time.Millisecond

// Executor runs calls at one upstream. The exported fields must be set before the first Execute. It is safe for
// concurrent use.
type Executor struct {
	Clock hornbeamcroft.Clock
	// Calls holds the running calls, so that their child calls find their parent.
	Calls      *registrar.Registrar
	Dispatcher *dispatcher.Dispatcher
	// Admission decides which calls run and when. The executor holds its lock during each call to it.
	Admission hornbeamcroft.Admitter
	// OnCrash is called once per crash of the upstream with the calls that were running at it; it may be nil.
	OnCrash func(running []hornbeamcroft.Call)

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan hornbeamcroft.Decision
	running map[uint64]hornbeamcroft.Call
	ticking bool
	// crashed is true from the first report of a crash until MarkRecovered is called.
	crashed bool
	// crashMu is held while OnCrash runs. Other calls that saw the same crash wait for it, see reportCrash.
	crashMu sync.Mutex
}

// Options holds the options of one call.
type Options struct {
	// Isolated requests an isolated run: no other call runs at the upstream at the same time.
	Isolated bool
	// MayStart is called right before dispatch; nil permits every call. A code other than zero refuses the call.
	// StartBefore is the end of the permit on the host's monotonic clock, in nanoseconds.
	MayStart func() (startBefore int64, code hornbeamcroft.Code)
	// Detached lets an admitted call run until its deadline although its caller disconnected, so that its outcome is
	// recorded.
	Detached bool
}

// Execute waits until the call is admitted, runs it, and returns its answer with the unspent retry budget and the
// admission levels of the services that it reached.
func (e *Executor) Execute(ctx context.Context, call hornbeamcroft.Call, opts Options) hornbeamcroft.Answer {
	id, decision := e.admit(ctx, call, opts)
	if !decision.Admitted {
		return e.withAdmissionLevel(hornbeamcroft.Answer{
			Code: decision.Code, RetryAfter: decision.RetryAfter, UnspentRetries: call.RetryBudget,
		})
	}
	if opts.Detached {
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), remainingTime(ctx, call.Remaining))
		defer cancel()
		ctx = detached
	}
	run := e.Calls.Open(registrar.RunningCall{
		Token:      registrar.NewToken(),
		Request:    call.Request,
		Key:        call.Key,
		Importance: min(call.Importance, hornbeamcroft.ImportanceCritical),
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
	result := e.dispatch(ctx, call, run.Token, opts)
	if result.ConnectionLost {
		e.reportCrash(ctx, &result)
	}
	e.mu.Lock()
	delete(e.running, id)
	e.mu.Unlock()
	callResult := e.Calls.Close(run)
	result.Answer.UnspentRetries, result.Answer.AdmissionLevels = callResult.UnspentRetries, callResult.AdmissionLevels
	s := sampleOf(result, e.Clock.Now()-start)
	s.ChildTime = callResult.ChildTime
	e.finish(id, s)
	return e.withAdmissionLevel(result.Answer)
}

// dispatch sends the call to the upstream unless opts.MayStart refuses it.
func (e *Executor) dispatch(ctx context.Context, call hornbeamcroft.Call, token string, opts Options) dispatcher.Result {
	request := dispatcher.Request{Call: call, Token: token}
	if opts.MayStart != nil {
		startBefore, code := opts.MayStart()
		if code != 0 {
			return dispatcher.Result{Answer: hornbeamcroft.Answer{Code: code}}
		}
		request.StartBefore = startBefore
	}
	return e.Dispatcher.Run(ctx, request)
}

// remainingTime returns the time left until the deadline of ctx, or the fallback if ctx has no deadline.
func remainingTime(ctx context.Context, fallback time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return fallback
}

// reportCrash checks, after a connection broke, whether the upstream crashed, and if so calls OnCrash. OnCrash returns
// before the answer of any call that was running at the upstream is returned, so that no retry of such a call arrives
// before the crash is known.
func (e *Executor) reportCrash(ctx context.Context, result *dispatcher.Result) {
	if !e.Dispatcher.Crashed(context.WithoutCancel(ctx)) {
		return
	}
	if result.Answer.Code == hornbeamcroft.CodeOutcomeUnknown {
		result.Answer.Code = hornbeamcroft.CodeUpstreamCrashed
	}
	e.crashMu.Lock()
	defer e.crashMu.Unlock()
	e.mu.Lock()
	reported := e.crashed
	e.crashed = true
	calls := make([]hornbeamcroft.Call, 0, len(e.running))
	for _, c := range e.running {
		calls = append(calls, c)
	}
	e.mu.Unlock()
	if !reported && e.OnCrash != nil {
		e.OnCrash(calls)
	}
}

// MarkRecovered records that the upstream accepts connections again. The next broken connection may then be reported as
// a crash.
func (e *Executor) MarkRecovered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
}

// sampleOf returns the sample of a finished call for the admission control. A result that says nothing about the load
// of the upstream is marked as ignored.
func sampleOf(result dispatcher.Result, serviceTime time.Duration) hornbeamcroft.Sample {
	s := hornbeamcroft.Sample{ServiceTime: serviceTime}
	switch result.Answer.Code {
	case hornbeamcroft.CodeAnswered:
		s.Overloaded = result.Answer.Status == 503 || result.Answer.Status == 429
	case hornbeamcroft.CodeDeadlinePassed, hornbeamcroft.CodeUpstreamRefused:
		s.Overloaded = true
	default:
		s.Ignore = true
	}
	return s
}

// withAdmissionLevel returns the answer with the current admission level of the local upstream, in front of those of the
// services that the call reached.
func (e *Executor) withAdmissionLevel(a hornbeamcroft.Answer) hornbeamcroft.Answer {
	e.mu.Lock()
	level := e.Admission.AdmissionLevel(e.Clock.Now())
	e.mu.Unlock()
	a.AdmissionLevels = append([]hornbeamcroft.AdmissionLevel{level}, a.AdmissionLevels...)
	return a
}

// admit hands a ticket for the call to the admission control and waits for the decision. If ctx ends first, it
// withdraws the ticket.
func (e *Executor) admit(ctx context.Context, call hornbeamcroft.Call, opts Options) (uint64, hornbeamcroft.Decision) {
	decided := make(chan hornbeamcroft.Decision, 1)
	now := e.Clock.Now()
	e.mu.Lock()
	e.nextID++
	id := e.nextID
	if e.waiting == nil {
		e.waiting = make(map[uint64]chan hornbeamcroft.Decision)
	}
	e.waiting[id] = decided
	e.deliver(e.Admission.Arrive(now, hornbeamcroft.Ticket{
		ID:         id,
		Importance: min(call.Importance, hornbeamcroft.ImportanceCritical),
		Depth:      call.Depth,
		Hash:       admitter.Hash(call.Request),
		Deadline:   now + call.Remaining,
		Isolated:   opts.Isolated,
	}))
	e.startTicking()
	e.mu.Unlock()
	select {
	case d := <-decided:
		return id, d
	case <-ctx.Done():
	}
	return id, e.withdraw(id, decided)
}

// withdraw cancels the waiting ticket. If the ticket was admitted in the meantime, withdraw releases its slot.
func (e *Executor) withdraw(id uint64, decided chan hornbeamcroft.Decision) hornbeamcroft.Decision {
	e.mu.Lock()
	delete(e.waiting, id)
	e.deliver(e.Admission.Cancel(e.Clock.Now(), id))
	e.mu.Unlock()
	select {
	case d := <-decided:
		if d.Admitted {
			e.finish(id, hornbeamcroft.Sample{Ignore: true})
		}
	default:
	}
	return hornbeamcroft.Decision{ID: id, Code: hornbeamcroft.CodeCancelledBeforeStart}
}

// finish releases the slot of an admitted call and passes its sample to the admission control.
func (e *Executor) finish(id uint64, s hornbeamcroft.Sample) {
	e.mu.Lock()
	e.deliver(e.Admission.Finish(e.Clock.Now(), id, s))
	e.mu.Unlock()
}

// deliver sends each decision to the goroutine that waits for it. The caller must hold e.mu.
func (e *Executor) deliver(decisions []hornbeamcroft.Decision) {
	for _, d := range decisions {
		if decided := e.waiting[d.ID]; decided != nil {
			delete(e.waiting, d.ID)
			decided <- d
		}
	}
}

// startTicking starts a goroutine that ticks the admission control for as long as tickets wait, unless one is running.
// The caller must hold e.mu.
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
			e.deliver(e.Admission.Tick(e.Clock.Now()))
			if len(e.waiting) == 0 {
				e.ticking = false
				e.mu.Unlock()
				return
			}
			e.mu.Unlock()
		}
	}()
}

// Load returns the number of running calls and of calls that wait for admission.
func (e *Executor) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// ReplaceAdmission installs a as the admission control. Calls that the previous one admitted continue to run, but a
// does not count them. Calls that wait are refused as overloaded and may be sent again after tickInterval.
func (e *Executor) ReplaceAdmission(a hornbeamcroft.Admitter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Admission = a
	for id, decided := range e.waiting {
		delete(e.waiting, id)
		decided <- hornbeamcroft.Decision{ID: id, Code: hornbeamcroft.CodeOverloaded, RetryAfter: tickInterval}
	}
}

// AdmissionLevel returns the admission level of the local upstream.
func (e *Executor) AdmissionLevel() hornbeamcroft.AdmissionLevel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Admission.AdmissionLevel(e.Clock.Now())
}
