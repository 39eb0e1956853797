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

// quarantineTick is how often the quarantiner sees time pass.
const quarantineTick = 100 * time.Millisecond

// quarantine drives the quarantiner of the own upstream.
type quarantine struct {
	s *Server

	mu      sync.Mutex
	core    *quarantiner.Quarantiner
	nextID  uint64
	waiting map[uint64]chan turn
	running map[uint64]quarantiner.Request
}

// turn is the end of a wait: a code other than zero refuses the call.
type turn struct {
	isolated   bool
	code       hornbeamcroft.Code
	retryAfter time.Duration
}

func newQuarantine(s *Server) (*quarantine, error) {
	core, err := quarantiner.New(s.clock.Now(), quarantiner.Config{
		Node: s.Settings.Node.Name, Incarnation: s.incarnation, Crashes: 2, RefuseTime: quarantiner.DefaultRefuseTime,
	})
	if err != nil {
		return nil, err
	}
	return &quarantine{
		s: s, core: core, waiting: make(map[uint64]chan turn), running: make(map[uint64]quarantiner.Request),
	}, nil
}

func (q *quarantine) configure(p hornbeamcroft.Platform) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Config.Crashes, q.core.Config.RefuseTime = p.PoisonCrashes, p.PoisonTime
}

func (q *quarantine) run(ctx context.Context) {
	t := time.NewTicker(quarantineTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			q.step(func(now time.Duration) quarantiner.Result { return q.core.Tick(now) })
		}
	}
}

// step runs fn under the lock, sends the messages and ends waits.
func (q *quarantine) step(fn func(now time.Duration) quarantiner.Result) quarantiner.Result {
	q.mu.Lock()
	r := fn(q.s.clock.Now())
	q.wake(r.Alone, turn{isolated: true})
	q.wake(r.Release, turn{})
	q.wake(r.Refuse, turn{code: hornbeamcroft.CodePoisonRefused, retryAfter: r.RetryAfter})
	q.wake(r.Return, turn{code: hornbeamcroft.CodeUpstreamUnreachable})
	q.mu.Unlock()
	for _, o := range r.Send {
		q.s.members.sendTo(o.To, quarantineType(o.Message), o.Message)
	}
	return r
}

// wake ends the waits of the calls. The lock is held.
func (q *quarantine) wake(ids []uint64, t turn) {
	for _, id := range ids {
		if ch := q.waiting[id]; ch != nil {
			delete(q.waiting, id)
			ch <- t
		}
	}
}

func quarantineType(m quarantiner.Message) framer.Type {
	switch m.(type) {
	case quarantiner.Report:
		return framer.TypeCrashSuspects
	case quarantiner.Cleared:
		return framer.TypeCleared
	}
	return framer.TypeIsolatedRun
}

// execute lets the call run unless it is refused as a suspect; run is told whether the call must run alone.
func (q *quarantine) execute(ctx context.Context, call hornbeamcroft.Call,
	run func(isolated bool) hornbeamcroft.Answer,
) hornbeamcroft.Answer {
	id, t := q.enter(ctx, call)
	if t.code != 0 {
		return hornbeamcroft.Answer{Code: t.code, RetryAfter: t.retryAfter, UnspentRetries: call.RetryBudget}
	}
	a := run(t.isolated)
	q.mu.Lock()
	_, still := q.running[id]
	delete(q.running, id)
	q.mu.Unlock()
	if still {
		q.step(func(now time.Duration) quarantiner.Result { return q.core.Finish(now, id) })
	}
	return a
}

// enter waits until the call may go on to admission.
func (q *quarantine) enter(ctx context.Context, call hornbeamcroft.Call) (uint64, turn) {
	ch := make(chan turn, 1)
	q.mu.Lock()
	q.nextID++
	id := q.nextID
	request := quarantiner.Request{ID: id, Key: call.Key, Fingerprint: call.Fingerprint}
	q.running[id] = request
	q.waiting[id] = ch
	q.mu.Unlock()
	r := q.step(func(now time.Duration) quarantiner.Result { return q.core.Arrive(now, request) })
	switch r.Verdict {
	case quarantiner.VerdictRun:
		q.mu.Lock()
		delete(q.waiting, id)
		q.mu.Unlock()
		return id, turn{}
	case quarantiner.VerdictRefuse:
		return id, q.leave(id, turn{code: hornbeamcroft.CodePoisonRefused, retryAfter: r.RetryAfter})
	}
	select {
	case t := <-ch:
		if t.code != 0 {
			q.leave(id, t)
		}
		return id, t
	case <-ctx.Done():
	}
	q.step(func(now time.Duration) quarantiner.Result { return q.core.Cancel(now, id) })
	return id, q.leave(id, turn{code: hornbeamcroft.CodeSuspectWaiting})
}

func (q *quarantine) leave(id uint64, t turn) turn {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	delete(q.running, id)
	return t
}

// crash reports the calls that ran in the upstream when it crashed.
func (q *quarantine) crash(calls []hornbeamcroft.Call) {
	q.mu.Lock()
	var requests []quarantiner.Request
	for id, r := range q.running {
		ran := slices.ContainsFunc(calls, func(c hornbeamcroft.Call) bool {
			return c.Key == r.Key && c.Fingerprint == r.Fingerprint
		})
		if ran && q.waiting[id] == nil {
			requests = append(requests, r)
			delete(q.running, id)
		}
	}
	q.mu.Unlock()
	q.step(func(now time.Duration) quarantiner.Result { return q.core.Crash(now, requests) })
}

// setMembers passes the nodes of the service in the order of their names.
func (q *quarantine) setMembers(names []string) {
	q.step(func(now time.Duration) quarantiner.Result { return q.core.SetMembers(now, names) })
}

// receive handles a message of another node of the service.
func (q *quarantine) receive(l *connector.Link, t framer.Type, payload []byte) error {
	var m quarantiner.Message
	var err error
	switch t {
	case framer.TypeCrashSuspects:
		m, err = decodeAs[quarantiner.Report](payload)
	case framer.TypeCleared:
		m, err = decodeAs[quarantiner.Cleared](payload)
	default:
		m, err = decodeAs[quarantiner.Turn](payload)
	}
	if err != nil {
		return err
	}
	q.step(func(now time.Duration) quarantiner.Result { return q.core.Receive(now, l.Peer.Name, m) })
	return nil
}
