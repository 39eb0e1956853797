package agent

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
	"hornbeamcroft/platform"
	"hornbeamcroft/suspecter"
)

// newWayIn returns the handler of requests.
func (a *Agent) newWayIn() *platform.WayIn {
	return &platform.WayIn{
		Serve: a.serve, Limits: a.callerLimits, Leaving: a.stopping.Load, Hold: a.hold, OnRejected: a.recordRejected,
	}
}

func (a *Agent) callerLimits() (hornbeamcroft.CallerLimits, bool) {
	r := a.routes.Load()
	if r == nil {
		return hornbeamcroft.CallerLimits{}, false
	}
	return r.table.Limits, true
}

func (a *Agent) connectionLimits() (header, idle time.Duration) {
	l, _ := a.callerLimits()
	return l.HeaderTime, l.IdleTime
}

// hold reserves memory for the body of a request.
func (a *Agent) hold(bytes int) (func(), bool) {
	limit := int64(a.Settings.Agent.MemoryMB) << 20 / bodyShare
	if a.bodies.Add(int64(bytes)) > limit {
		a.bodies.Add(int64(-bytes))
		return nil, false
	}
	return func() { a.bodies.Add(int64(-bytes)) }, true
}

// endingRetry is when a caller may come back that met a process which is about to end.
const endingRetry = 500 * time.Millisecond

// serve answers a request that entered here.
func (a *Agent) serve(ctx context.Context, in hornbeamcroft.Incoming) hornbeamcroft.Answer {
	r := a.routes.Load()
	route, service, ok := r.match(in.Message.Host, path(in.Message.Target))
	if !ok {
		answer := hornbeamcroft.Answer{Code: hornbeamcroft.CodeNoRoute}
		a.recordUnrouted(in, r, answer)
		return answer
	}
	call := a.newCall(in, route, service)
	inner := a.runner.Inherit(&call)
	if !inner && a.ending.Load() {
		// A call of a running request goes on: that request is finished before the process ends.
		answer := hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining, RetryAfter: endingRetry}
		a.recordRejected(in.Attempt, answer, nil)
		return answer
	}
	var age time.Duration
	if !inner {
		a.outside.Add(1)
		defer a.outside.Add(-1)
		age = a.courier.Age(route.Name, in.Remaining)
		call.Objective -= age
	}
	if call.Remaining <= 0 {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	ctx, cancel := context.WithTimeout(ctx, call.Remaining)
	defer cancel()
	answer := a.courier.Deliver(ctx, call, route, age)
	if inner {
		a.runner.Called(in.Attempt, service, answer.Reach)
	}
	return answer
}

func (a *Agent) newCall(in hornbeamcroft.Incoming, route hornbeamcroft.Route, service string) hornbeamcroft.Call {
	remaining := route.Timeout
	if in.Remaining > 0 {
		remaining = min(remaining, in.Remaining)
	}
	return hornbeamcroft.Call{
		Request: rootOf(in.Attempt), Attempt: in.Attempt, Service: service, Type: route.Name,
		Importance: route.Importance, Depth: 1, Remaining: remaining, Objective: min(route.Objective, remaining),
		Idempotent: route.Idempotent, Message: &in.Message, Body: in.Body, Origin: a.Settings.Agent.Service,
		Fingerprint: fingerprint(in, a.Settings.Agent.Service),
	}
}

// maxRootID bounds the id by which a whole request is known, in bytes.
const maxRootID = 128

func rootOf(attempt string) string { return attempt[:min(len(attempt), maxRootID)] }

// path returns the path of a request target.
func path(target string) string {
	for i := range len(target) {
		if target[i] == '?' || target[i] == '#' {
			return target[:i]
		}
	}
	return target
}

// fingerprint is equal for the attempts of one request: the same caller, method, target and body.
func fingerprint(in hornbeamcroft.Incoming, origin string) uint64 {
	h := xxhash.New()
	for _, s := range []string{origin, in.Message.Method, in.Message.Host, in.Message.Target} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(in.Body)
	return h.Sum64()
}

// onCall runs a call that another node sent.
func (a *Agent) onCall(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
	if call.Message == nil {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeMalformed}
	}
	if a.closed.Load() {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining}
	}
	release, ok := a.hold(len(call.Body))
	if !ok {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOverloaded}
	}
	defer release()
	if call.Idempotent {
		return a.runner.Run(ctx, call)
	}
	id := deduper.CallID{Sender: peer.Name, Incarnation: peer.Incarnation, ID: call.ID}
	answer, isNew := a.recaller.Begin(ctx, id, call.Remaining)
	if !isNew {
		return answer
	}
	answer = a.runner.Run(ctx, call)
	a.recaller.End(id, answer)
	return answer
}

// onMessage handles a message of another node.
func (a *Agent) onMessage(l *connector.Link, t framer.Type, payload []byte) error {
	switch t {
	case framer.TypeNotice:
		var n notice
		if err := framer.Decode(payload, &n); err != nil {
			return err
		}
		a.hear(l, n)
	case framer.TypeRoutesQuery:
		var q routesQuery
		if err := framer.Decode(payload, &q); err != nil {
			return err
		}
		go a.answerRoutes(l, q)
	case framer.TypeRoutes:
		var c routesCopy
		if err := framer.Decode(payload, &c); err != nil {
			return err
		}
		a.takeCopy(l, c)
	case framer.TypeLearned:
		var m learned
		if err := framer.Decode(payload, &m); err != nil {
			return err
		}
		a.courier.Teach(m.Routes)
	case framer.TypeCrash:
		var r suspecter.Report
		if err := framer.Decode(payload, &r); err != nil {
			return err
		}
		a.takeCrash(r)
	}
	return nil
}

// takeCopy takes the configuration of a peer, and the members that it knows while the store does not tell them.
func (a *Agent) takeCopy(l *connector.Link, c routesCopy) {
	a.acceptRoutes(c.Document, l.Peer.Name)
	if !a.storeAway.Load() {
		return
	}
	a.membersMu.Lock()
	for _, m := range c.Members {
		if _, known := a.locator.Member(m.Name); !known {
			a.locator.Introduce(a.clock.Now(), m)
		}
	}
	a.membersMu.Unlock()
	a.publishMembers()
}
