package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/quarantiner"
)

// quarantineTickInterval is the interval between two ticks of the quarantiner.
const quarantineTickInterval = 100 * time.Millisecond

// quarantine runs the quarantiner of the local upstream. It adds the lock, the waits of calls and the sending of
// messages.
type quarantine struct {
	s *Server

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	nextID      uint64
	// waiting holds the channels of the calls that the quarantiner has not let go on to admission, by ID.
	waiting map[uint64]chan waitResult
	// calls holds all calls from their arrival to their end, by ID. It includes the waiting calls.
	calls map[uint64]quarantiner.Request
}

// waitResult is the outcome of the wait of a call. The call is refused with code if code is not zero. Otherwise it runs,
// isolated if isolated is true.
type waitResult struct {
	isolated   bool
	code       hornbeamcroft.Code
	retryAfter time.Duration
}

func newQuarantine(s *Server) (*quarantine, error) {
	inner, err := quarantiner.New(s.clock.Now(), quarantiner.Config{
		Node: s.Settings.Node.Name, Incarnation: s.incarnation, Crashes: 2, RefuseTime: quarantiner.DefaultRefuseTime,
	})
	if err != nil {
		return nil, err
	}
	return &quarantine{
		s: s, quarantiner: inner, waiting: make(map[uint64]chan waitResult), calls: make(map[uint64]quarantiner.Request),
	}, nil
}

// configure applies the settings of a document.
func (q *quarantine) configure(p hornbeamcroft.Platform) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantiner.Config.Crashes, q.quarantiner.Config.RefuseTime = p.PoisonCrashes, p.PoisonTime
}

// run ticks the quarantiner until ctx ends.
func (q *quarantine) run(ctx context.Context) {
	t := time.NewTicker(quarantineTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.Tick(now) })
		}
	}
}

// step runs fn under the lock, ends the waits of the calls that fn's result names and sends its messages.
func (q *quarantine) step(fn func(now time.Duration) quarantiner.Result) quarantiner.Result {
	q.mu.Lock()
	r := fn(q.s.clock.Now())
	q.endWaits(r.Isolated, waitResult{isolated: true})
	q.endWaits(r.Release, waitResult{})
	q.endWaits(r.Refuse, waitResult{code: hornbeamcroft.CodePoisonRefused, retryAfter: r.RetryAfter})
	q.endWaits(r.Return, waitResult{code: hornbeamcroft.CodeUpstreamUnreachable})
	q.mu.Unlock()
	for _, o := range r.Send {
		q.s.members.sendTo(o.To, quarantineFrameType(o.Message), o.Message)
	}
	return r
}

// endWaits ends the waits of the given calls with the given result. The caller holds the lock.
func (q *quarantine) endWaits(ids []uint64, res waitResult) {
	for _, id := range ids {
		if ch := q.waiting[id]; ch != nil {
			delete(q.waiting, id)
			ch <- res
		}
	}
}

func quarantineFrameType(m quarantiner.Message) framer.Type {
	switch m.(type) {
	case quarantiner.Report:
		return framer.TypeCrashSuspects
	case quarantiner.Cleared:
		return framer.TypeCleared
	}
	return framer.TypeIsolatedRun
}

// execute calls run once the quarantiner lets the call go on, and returns its answer. The argument of run is true if the
// call needs an isolated run. If the quarantiner refuses the call, execute returns the refusal.
func (q *quarantine) execute(ctx context.Context, call hornbeamcroft.Call,
	run func(isolated bool) hornbeamcroft.Answer,
) hornbeamcroft.Answer {
	id, res := q.arrive(ctx, call)
	if res.code != 0 {
		return hornbeamcroft.Answer{Code: res.code, RetryAfter: res.retryAfter, UnspentRetries: call.RetryBudget}
	}
	a := run(res.isolated)
	q.mu.Lock()
	_, known := q.calls[id]
	delete(q.calls, id)
	q.mu.Unlock()
	if known {
		q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.Finish(now, id) })
	}
	return a
}

// arrive registers the call and waits until it may go on to admission or is refused. It returns the call's ID. The wait
// ends with CodeSuspectWaiting if ctx ends first.
func (q *quarantine) arrive(ctx context.Context, call hornbeamcroft.Call) (uint64, waitResult) {
	ch := make(chan waitResult, 1)
	q.mu.Lock()
	q.nextID++
	id := q.nextID
	request := quarantiner.Request{ID: id, Key: call.Key, Fingerprint: call.Fingerprint}
	q.calls[id] = request
	q.waiting[id] = ch
	q.mu.Unlock()
	r := q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.Arrive(now, request) })
	switch r.Verdict {
	case quarantiner.VerdictRun:
		q.mu.Lock()
		delete(q.waiting, id)
		q.mu.Unlock()
		return id, waitResult{}
	case quarantiner.VerdictRefuse:
		return id, q.forget(id, waitResult{code: hornbeamcroft.CodePoisonRefused, retryAfter: r.RetryAfter})
	}
	select {
	case res := <-ch:
		if res.code != 0 {
			q.forget(id, res)
		}
		return id, res
	case <-ctx.Done():
	}
	q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.Cancel(now, id) })
	return id, q.forget(id, waitResult{code: hornbeamcroft.CodeSuspectWaiting})
}

// forget removes a call that will not run and returns res.
func (q *quarantine) forget(id uint64, res waitResult) waitResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	delete(q.calls, id)
	return res
}

// crash reports a crash of the upstream, and the calls that ran in it, to the quarantiner.
func (q *quarantine) crash(running []hornbeamcroft.Call) {
	q.mu.Lock()
	var requests []quarantiner.Request
	for id, r := range q.calls {
		ran := slices.ContainsFunc(running, func(c hornbeamcroft.Call) bool {
			return c.Key == r.Key && c.Fingerprint == r.Fingerprint
		})
		if ran && q.waiting[id] == nil {
			requests = append(requests, r)
			delete(q.calls, id)
		}
	}
	q.mu.Unlock()
	q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.Crash(now, requests) })
}

// setMembers passes the names of the live nodes of the service, sorted, to the quarantiner.
func (q *quarantine) setMembers(names []string) {
	q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.SetMembers(now, names) })
}

// receive decodes a message of another node of the service and passes it to the quarantiner.
func (q *quarantine) receive(l *connector.Link, t framer.Type, payload []byte) error {
	var m quarantiner.Message
	var err error
	switch t {
	case framer.TypeCrashSuspects:
		m, err = decodeAs[quarantiner.Report](payload)
	case framer.TypeCleared:
		m, err = decodeAs[quarantiner.Cleared](payload)
	default:
		m, err = decodeAs[quarantiner.IsolationTurn](payload)
	}
	if err != nil {
		return err
	}
	q.step(func(now time.Duration) quarantiner.Result { return q.quarantiner.Receive(now, l.Peer.Name, m) })
	return nil
}
