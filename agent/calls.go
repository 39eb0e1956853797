package agent

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
	"hornbeamcroft/attester"
	"hornbeamcroft/borrower"
	"hornbeamcroft/connector"
	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
	"hornbeamcroft/platform"
	"hornbeamcroft/suspecter"
)

// newIngressHandler returns the HTTP handler for requests of callers and calls of the local upstream.
func (a *Agent) newIngressHandler() *platform.IngressHandler {
	return &platform.IngressHandler{
		Serve: a.serve, Limits: a.callerLimits, Stopping: a.stopping.Load, Memory: a.bodies, OnRejected: a.recordRejected,
		OnBroken: a.recordBroken,
	}
}

// callerLimits returns the limits of the configuration in force, or false while there is no configuration.
func (a *Agent) callerLimits() (hornbeamcroft.CallerLimits, bool) {
	r := a.routes.Load()
	if r == nil {
		return hornbeamcroft.CallerLimits{}, false
	}
	return r.table.Limits, true
}

// unreadableRetryAfter is the retry delay given to callers of a route that this node cannot read. A node of another version
// may be able to.
const unreadableRetryAfter = time.Second

// serve routes a request that entered the system at this node, delivers it to an upstream and returns the answer.
func (a *Agent) serve(ctx context.Context, in hornbeamcroft.Incoming) hornbeamcroft.Answer {
	proof := a.latestProof()
	r := a.routes.Load()
	route, unrouted := a.matchRoute(r, in)
	if unrouted != nil {
		return *unrouted
	}
	tenant, refusal := a.identify(r, proof, route, in)
	if refusal != nil {
		a.recordRejected(in.Attempt, refusal.answer, refusal.reason)
		return refusal.answer
	}
	if r.table.HasTenants {
		in.Message.Header = platform.WithoutCredentials(in.Message.Header)
	}
	service := r.selectService(route)
	call := a.newCall(in, route, tenant, service)
	// Calls of upstreams have no key. A caller's attempt id may extend that of a running request by chance or on purpose.
	isChild := tenant.Name == "" && a.runner.Inherit(&call)
	if now := a.clock.Now(); a.stopping.Load() && !a.takesAtStop(now, call, isChild) {
		return a.refuseAtStop(now, call, isChild)
	}
	if call.Remaining <= 0 && isChild {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDeadlineTooShort}
	}
	if isChild {
		answer := a.deliver(ctx, call, route, 0)
		if answer.Stream != nil {
			return a.endChildWithStream(answer, in.Attempt, service)
		}
		a.runner.ChildEnded(in.Attempt, service, answer.ServiceCalls)
		return answer
	}
	return a.serveCaller(ctx, call, route, in.Remaining)
}

// matchRoute returns the route of a request, or records and returns the refusal of a request that has no readable route.
func (a *Agent) matchRoute(r *activeRoutes, in hornbeamcroft.Incoming) (hornbeamcroft.Route, *hornbeamcroft.Answer) {
	route, ok := r.router.Match(in.Message.Host, path(in.Message.Target))
	switch {
	case !ok:
		answer := hornbeamcroft.Answer{Code: hornbeamcroft.CodeNoRoute}
		a.recordUnrouted(in, r, answer)
		return route, &answer
	case route.Unreadable:
		answer := hornbeamcroft.Answer{Code: hornbeamcroft.CodeRouteUnreadable, RetryAfter: unreadableRetryAfter}
		a.recordRejected(in.Attempt, answer, nil)
		return route, &answer
	}
	return route, nil
}

// refuseAtStop records and returns the refusal of a request that the stopping node does not take.
func (a *Agent) refuseAtStop(now time.Duration, call hornbeamcroft.Call, isChild bool) hornbeamcroft.Answer {
	answer := hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining, RetryAfter: a.callers.retryAfter(now)}
	a.recordTenantRejected(call.Attempt, call.Tenant, answer, nil)
	if isChild && call.Remaining > 0 {
		a.runner.ChildEnded(call.Attempt, call.Service, nil)
	}
	return answer
}

// obtainPermit takes a permit of the tenant's quota. It returns the refusal if it obtains none. The time spent waiting is subtracted from
// the remaining time and the objective of the call.
func (a *Agent) obtainPermit(ctx context.Context, call *hornbeamcroft.Call) (borrower.Decision, *hornbeamcroft.Answer) {
	begin := a.clock.Now()
	code, d := a.takePermit(ctx, call.Tenant)
	if code != 0 {
		return d, &hornbeamcroft.Answer{Code: code, RetryAfter: d.RetryAfter}
	}
	waited := a.clock.Now() - begin
	call.Remaining -= waited
	call.Objective -= waited
	return d, nil
}

// takesAtStop reports whether the stopping node takes a request that entered the system here. A child call is one of a running request.
func (a *Agent) takesAtStop(now time.Duration, call hornbeamcroft.Call, isChild bool) bool {
	if isChild {
		return a.callers.takesChild(now, call)
	}
	return a.callers.takes(now, call)
}

// newCall returns the call for a request that matched the route. Its remaining time is the shorter of the route's timeout
// and the caller's deadline.
func (a *Agent) newCall(
	in hornbeamcroft.Incoming, route hornbeamcroft.Route, tenant hornbeamcroft.Tenant, service string,
) hornbeamcroft.Call {
	origin := a.originService()
	remaining := route.Timeout
	if in.Remaining > 0 {
		remaining = min(remaining, in.Remaining)
	}
	return hornbeamcroft.Call{
		Request: requestID(in.Attempt), Attempt: in.Attempt, Service: service, Type: route.Name,
		Tenant: tenant.Name, Importance: route.Importance.InBand(tenant.Band), Depth: 1,
		Remaining: remaining, Objective: min(route.Objective, remaining),
		Idempotent: route.Idempotent, Streams: route.Idempotent, Message: &in.Message, Body: in.Body, Memory: in.Memory,
		Origin: origin, Fingerprint: fingerprint(in, origin),
	}
}

// maxRequestID is the maximum length of the id that all calls of a whole request share, in bytes.
const maxRequestID = 128

// requestID returns the id of the whole request: the id of the caller's attempt, cut to the maximum length.
func requestID(attempt string) string { return attempt[:min(len(attempt), maxRequestID)] }

// path returns the path of a request target, without query and fragment.
func path(target string) string {
	for i := range len(target) {
		if target[i] == '?' || target[i] == '#' {
			return target[:i]
		}
	}
	return target
}

// fingerprint returns a hash of origin, method, host, target and body. All attempts of one request have the same hash.
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

// onCall runs a call that another node sent. A non-idempotent call that arrives more than once runs once; later arrivals
// get the recorded answer.
func (a *Agent) onCall(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
	if call.Message == nil {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeMalformed}
	}
	if call.Idempotent {
		return a.runCall(ctx, call)
	}
	id := deduper.CallID{Sender: peer.Name, Incarnation: peer.Incarnation, ID: call.ID}
	answer, isNew := a.recaller.Begin(ctx, id, call.Remaining)
	if !isNew {
		return answer.ReservedIn(call.Memory)
	}
	answer = a.runCall(ctx, call)
	a.recaller.End(id, answer)
	return answer
}

// runCall runs a call of another node at the local upstream, unless the node stops before the call would end.
func (a *Agent) runCall(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	begin := a.clock.Now()
	if a.stopping.Load() && !a.peers.takesCall(begin, call) {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining}
	}
	answer := a.runner.Run(ctx, call)
	if answer.Stream != nil {
		return a.recordAtEnd(a.peers, answer, call, begin)
	}
	now := a.clock.Now()
	a.peers.record(now, call, now-begin, answer)
	return answer
}

// onMessage handles a message from another node. Messages of unknown types are ignored.
func (a *Agent) onMessage(l *connector.Link, t framer.Type, payload []byte) error {
	switch t {
	case framer.TypeNodeState:
		return decodeMessage(payload, func(n nodeState) { a.onNodeState(l, n) })
	case framer.TypeRoutesQuery:
		return decodeMessage(payload, func(q routesQuery) { go a.answerRoutes(l, q) })
	case framer.TypeRoutes:
		return decodeMessage(payload, func(c routesCopy) { a.applyRoutesCopy(l, c) })
	case framer.TypeChildCalls:
		return decodeMessage(payload, func(m childCalls) { a.courier.MergeRoutes(m.Routes) })
	case framer.TypeCrash:
		return decodeMessage(payload, func(r suspecter.Report) { a.applyCrashReport(r) })
	case framer.TypeSuspects:
		return decodeMessage(payload, func(m suspecter.Message) { a.onSuspects(l, m) })
	case framer.TypeRecordHeld:
		return decodeMessage(payload, func(h recordHeld) { a.onRecordHeld(l, h) })
	case framer.TypeEarlierRecord:
		return decodeMessage(payload, func(r earlierRecord) { a.onEarlierRecord(l, r) })
	case framer.TypeConfigurationProof:
		return decodeMessage(payload, func(m attester.Message) { a.onProof(l, m) })
	case framer.TypeQuotaRequest:
		return decodeMessage(payload, func(r hornbeamcroft.PermitRequest) { a.onPermitRequest(l, r) })
	case framer.TypeQuotaGrant:
		return decodeMessage(payload, func(g hornbeamcroft.PermitGrant) { a.onPermitGrant(l, g) })
	}
	return nil
}

// decodeMessage decodes and checks the payload of a message and calls apply with it.
func decodeMessage[M any, P interface {
	*M
	framer.Checker
}](payload []byte, apply func(M)) error {
	var m M
	if err := framer.Decode(payload, P(&m)); err != nil {
		return err
	}
	apply(m)
	return nil
}

// applyRoutesCopy applies the configuration that a peer sent. While the store is unreachable, it also adds the members
// that the peer knows and this node does not.
func (a *Agent) applyRoutesCopy(l *connector.Link, c routesCopy) {
	a.acceptRoutes(c.Document, l.Peer.Name)
	a.learnMembers(c.validMembers())
	if !a.storeUnreachable.Load() {
		return
	}
	a.membersMu.Lock()
	for _, m := range c.validMembers() {
		if _, known := a.locator.Member(m.Name); !known {
			a.locator.AddFromPeer(a.clock.Now(), m)
		}
	}
	a.membersMu.Unlock()
	a.members.Update()
}
