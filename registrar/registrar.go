// Package registrar keeps the calls that run at the local upstream and the requests of external callers that entered at
// this node. It matches a child call, which is made by a running call, to its parent, so that the child call inherits
// the request ID, the importance, the deadline and a part of the retry budget.
package registrar

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/retrier"
)

// RunningCall is a call in progress that may make child calls, or a request of an external caller. Its exported fields
// are not changed after Open or OpenRequest.
type RunningCall struct {
	// ID is set by Open and OpenRequest.
	ID uint64
	// Token identifies the call. The upstream passes it back in the header Hornbeam-Call of each child call. It is
	// empty for a request of an external caller.
	Token string
	// Request is the ID of the whole request.
	Request string
	// Key is the idempotency key, from which the keys of child calls are derived. For a request of an external caller,
	// the service and the request type precede it; empty if there is none.
	Key        string
	Importance hornbeamcroft.Importance
	// Depth is the depth of the call in the call graph; 0 for a request of an external caller.
	Depth int
	// Deadline is a time of the node's monotonic clock.
	Deadline time.Duration
	// FirstSend is true if no earlier send of Key can exist.
	FirstSend bool
	// ReceivedAt is the wall-clock time at which the ingress node received the request, in Unix milliseconds.
	ReceivedAt int64
	// Trace is the value of the traceparent header of the call. Child calls without one get the same trace ID.
	Trace string

	// children is the number of child calls in progress. At least one is in progress since childSince; childTime is the
	// total time of the earlier periods with child calls in progress.
	children   int
	childSince time.Duration
	childTime  time.Duration
	// admissionLevels holds the admission levels of the services that child calls reached.
	admissionLevels []hornbeamcroft.AdmissionLevel
}

// Registrar holds the running calls and their retry budgets. It is safe for concurrent use.
type Registrar struct {
	Clock hornbeamcroft.Clock

	mu sync.Mutex
	// nextID is the ID that was assigned last.
	nextID  uint64
	retrier retrier.Retrier
	byToken map[string]*RunningCall
	// byTrace holds the calls with a token by their trace ID.
	byTrace map[string][]*RunningCall
}

// New returns an empty Registrar. sendsPerHop is the number of sends at each hop of the call graph, which is the
// baseline in measurements; zero means one retry budget per request.
func New(clock hornbeamcroft.Clock, sendsPerHop int) *Registrar {
	return &Registrar{
		Clock:   clock,
		retrier: retrier.Retrier{SendsPerHop: sendsPerHop},
		byToken: make(map[string]*RunningCall),
		byTrace: make(map[string][]*RunningCall),
	}
}

// NewToken returns 128 random bits as 32 hexadecimal digits.
func NewToken() string {
	var b [16]byte
	binary.NativeEndian.PutUint64(b[:8], rand.Uint64())
	binary.NativeEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// TraceID returns the trace ID of the value of a traceparent header, or "" if the value is malformed.
func TraceID(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) < 4 || len(parts[1]) != 32 {
		return ""
	}
	return parts[1]
}

// Traceparent returns the value of a traceparent header with a new span ID and the trace ID of old. It has a new trace
// ID if old is malformed or empty.
func Traceparent(old string) string {
	id := TraceID(old)
	if id == "" {
		id = NewToken()
	}
	return "00-" + id + "-" + NewToken()[:16] + "-01"
}

// Open records a call that starts at the local upstream, with the retry budget that it received. The record ends with
// Close.
func (g *Registrar) Open(run RunningCall, budget int) *RunningCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.open(run, budget)
	if r.Token != "" {
		g.byToken[r.Token] = r
	}
	if id := TraceID(r.Trace); id != "" && r.Token != "" {
		g.byTrace[id] = append(g.byTrace[id], r)
	}
	return r
}

// open assigns an ID to the call and records its retry budget. The caller must hold g.mu.
func (g *Registrar) open(run RunningCall, budget int) *RunningCall {
	g.nextID++
	run.ID = g.nextID
	g.retrier.Open(run.ID, budget, run.Deadline)
	return &run
}

// CallResult is the result of a call that Close ended.
type CallResult struct {
	// UnspentRetries is the part of the call's retry budget that was not used.
	UnspentRetries int
	// ChildTime is the time during which at least one child call was in progress.
	ChildTime time.Duration
	// AdmissionLevels holds the admission levels of the services that the child calls reached.
	AdmissionLevels []hornbeamcroft.AdmissionLevel
}

// Close ends the record of a call that Open started.
func (g *Registrar) Close(r *RunningCall) CallResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.children > 0 {
		r.childTime += g.Clock.Now() - r.childSince
	}
	delete(g.byToken, r.Token)
	if id := TraceID(r.Trace); id != "" {
		g.removeTrace(id, r)
	}
	return CallResult{UnspentRetries: g.retrier.Close(r.ID), ChildTime: r.childTime, AdmissionLevels: r.admissionLevels}
}

// removeTrace removes the call from byTrace. The caller must hold g.mu.
func (g *Registrar) removeTrace(id string, r *RunningCall) {
	calls := g.byTrace[id]
	for i := range calls {
		if calls[i] == r {
			calls = append(calls[:i], calls[i+1:]...)
			break
		}
	}
	if len(calls) == 0 {
		delete(g.byTrace, id)
		return
	}
	g.byTrace[id] = calls
}

// OpenRequest records one send of a request by an external caller. A resend with the same key shares the retry budget
// of the earlier sends; a request without a key has a budget of its own. The record ends with CloseRequest.
func (g *Registrar) OpenRequest(run RunningCall, budget int) *RunningCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run.Key == "" {
		return g.open(run, budget)
	}
	g.nextID++
	run.ID = g.retrier.OpenRequest(g.Clock.Now(), run.Key, g.nextID, budget, run.Deadline)
	return &run
}

// CloseRequest ends the record of a send that OpenRequest started. The retry budget of a request with a key is kept for
// resends.
func (g *Registrar) CloseRequest(r *RunningCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retrier.Close(r.ID)
}

// Parents returns the running call that made a child call. It finds the parent by the token, or else by the trace ID.
// If several running calls have the trace ID, it returns all of them, and the child call gets no retry budget.
func (g *Registrar) Parents(token, traceparent string) []*RunningCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.byToken[token]; r != nil && token != "" {
		return []*RunningCall{r}
	}
	id := TraceID(traceparent)
	if id == "" {
		return nil
	}
	return append([]*RunningCall(nil), g.byTrace[id]...)
}

// Begin records a send of the child call by one of the parents. The code is CodeAnswered if the call may be sent, and
// the reason for the refusal otherwise.
func (g *Registrar) Begin(parents []*RunningCall, c retrier.Child) (retrier.Attempt, hornbeamcroft.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(parents) == 1 {
		return g.retrier.Begin(g.Clock.Now(), parents[0].ID, c)
	}
	ids := make([]uint64, len(parents))
	for i, p := range parents {
		ids[i] = p.ID
	}
	return g.retrier.BeginAmbiguous(g.Clock.Now(), ids, c)
}

// ChildStarted records that a child call of each of the parents is in progress until ChildEnded.
func (g *Registrar) ChildStarted(parents []*RunningCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range parents {
		if p.children == 0 {
			p.childSince = g.Clock.Now()
		}
		p.children++
	}
}

// ChildEnded records the end of a child call and the admission levels in its answer.
func (g *Registrar) ChildEnded(parents []*RunningCall, admissionLevels []hornbeamcroft.AdmissionLevel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range parents {
		p.addAdmissionLevels(admissionLevels)
		p.children--
		if p.children == 0 {
			p.childTime += g.Clock.Now() - p.childSince
		}
	}
}

// maxAdmissionLevels is the largest number of admission levels in an answer. One call collects at most one fewer, since
// the executor adds that of the local upstream.
const maxAdmissionLevels = 8

// addAdmissionLevels records the levels. A newer level of a service replaces the older one; levels of further services
// are dropped once the limit is reached.
func (r *RunningCall) addAdmissionLevels(levels []hornbeamcroft.AdmissionLevel) {
	for _, level := range levels {
		i := slices.IndexFunc(r.admissionLevels, func(known hornbeamcroft.AdmissionLevel) bool { return known.Service == level.Service })
		switch {
		case i >= 0:
			r.admissionLevels[i] = level
		case len(r.admissionLevels) < maxAdmissionLevels-1:
			r.admissionLevels = append(r.admissionLevels, level)
		}
	}
}

// Decide decides whether a call may be retried after its attempt failed. A retry that costs no retry budget is counted
// at once.
func (g *Registrar) Decide(rnd hornbeamcroft.Rand, a retrier.Attempt, c retrier.Child, f retrier.Failure) retrier.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.retrier.Decide(g.Clock.Now(), rnd, a, c, f)
	if verdict.Retry && verdict.Reroute {
		verdict.Reroute = g.retrier.Reroute(a)
		verdict.Retry = verdict.Reroute
	}
	return verdict
}

// EndAttempt ends an attempt and takes back the unspent retry budget from its answer. If the answer was lost, the
// attempt's share of the budget counts as spent.
func (g *Registrar) EndAttempt(a retrier.Attempt, unspent int, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lost {
		g.retrier.EndLost(a)
		return
	}
	g.retrier.Return(a, unspent)
}

// Len returns the number of calls that run at the local upstream.
func (g *Registrar) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.byToken)
}
