// Package registrar keeps the calls that run at this node's upstream and the requests that entered here. A call that the
// upstream's own code makes is matched to its parent, so that it inherits request id, importance, deadline and the
// retry budget.
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

// Running is a call in progress that may have child calls. Its exported fields are not changed after Open.
type Running struct {
	ID uint64
	// Token is what the upstream's own code passes back in Hornbeam-Call; empty for a request of an outside caller.
	Token   string
	Request string
	// Key is the idempotency key of the call, from which keys of child calls are derived.
	Key        string
	Importance hornbeamcroft.Importance
	// Depth is the depth of the call itself; 0 for a request of an outside caller.
	Depth int
	// Deadline is on the node's monotonic clock.
	Deadline time.Duration
	// FirstSend is true if no earlier send of Key can exist.
	FirstSend  bool
	ReceivedAt int64
	// Trace is the traceparent header without its span id; child calls carry it.
	Trace string

	// children is the number of child calls in progress, since childSince; childTime is the time of earlier ones.
	children   int
	childSince time.Duration
	childTime  time.Duration
	// admissionLevels holds those of the services that child calls reached.
	admissionLevels []hornbeamcroft.AdmissionLevel
}

// Registrar holds the running calls. It is safe for concurrent use.
type Registrar struct {
	Clock hornbeamcroft.Clock

	mu      sync.Mutex
	nextID  uint64
	retrier retrier.Retrier
	byToken map[string]*Running
	byTrace map[string][]*Running
}

// New returns an empty Registrar. perHop is the number of attempts at each hop in the baseline of measurements, and zero
// for one retry budget per request.
func New(clock hornbeamcroft.Clock, perHop int) *Registrar {
	return &Registrar{
		Clock:   clock,
		retrier: retrier.Retrier{PerHop: perHop},
		byToken: make(map[string]*Running),
		byTrace: make(map[string][]*Running),
	}
}

// NewToken returns a random token of 128 bits.
func NewToken() string {
	var b [16]byte
	binary.NativeEndian.PutUint64(b[:8], rand.Uint64())
	binary.NativeEndian.PutUint64(b[8:], rand.Uint64())
	return hex.EncodeToString(b[:])
}

// TraceID returns the trace id of a traceparent header, or "" if it is malformed.
func TraceID(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) < 4 || len(parts[1]) != 32 {
		return ""
	}
	return parts[1]
}

// Traceparent returns a header with the trace id of the given one, or a new trace id, and a new span id.
func Traceparent(old string) string {
	id := TraceID(old)
	if id == "" {
		id = NewToken()
	}
	return "00-" + id + "-" + NewToken()[:16] + "-01"
}

// Open starts the record of a call at the upstream with the retry budget that came with it.
func (g *Registrar) Open(run Running, budget int) *Running {
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

func (g *Registrar) open(run Running, budget int) *Running {
	g.nextID++
	run.ID = g.nextID
	g.retrier.Open(run.ID, budget, run.Deadline)
	return &run
}

// Ended is what a call leaves behind.
type Ended struct {
	// UnspentRetries is the retry budget that was not used.
	UnspentRetries int
	// ChildTime is the time in which child calls were in progress.
	ChildTime time.Duration
	// AdmissionLevels holds those of the services below that the call reached.
	AdmissionLevels []hornbeamcroft.AdmissionLevel
}

// Close ends the record.
func (g *Registrar) Close(r *Running) Ended {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.children > 0 {
		r.childTime += g.Clock.Now() - r.childSince
	}
	delete(g.byToken, r.Token)
	if id := TraceID(r.Trace); id != "" {
		g.removeTrace(id, r)
	}
	return Ended{UnspentRetries: g.retrier.Close(r.ID), ChildTime: r.childTime, AdmissionLevels: r.admissionLevels}
}

func (g *Registrar) removeTrace(id string, r *Running) {
	list := g.byTrace[id]
	for i := range list {
		if list[i] == r {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(g.byTrace, id)
		return
	}
	g.byTrace[id] = list
}

// Enter starts the record of a request of an outside caller. A resend with the same key shares the retry budget of the
// earlier sends; key is "" for a request without one.
func (g *Registrar) Enter(run Running, budget int) *Running {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run.Key == "" {
		return g.open(run, budget)
	}
	g.nextID++
	run.ID = g.retrier.OpenRequest(g.Clock.Now(), run.Key, g.nextID, budget, run.Deadline)
	return &run
}

// Leave ends a send of a request of an outside caller. The budget of a keyed request is kept for resends.
func (g *Registrar) Leave(r *Running) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retrier.Close(r.ID)
}

// Parent finds the call that made a child call: by the token, or else by the trace id. If several running calls have
// the trace id, all are returned and the child call gets no retry budget.
func (g *Registrar) Parent(token, traceparent string) []*Running {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.byToken[token]; r != nil && token != "" {
		return []*Running{r}
	}
	id := TraceID(traceparent)
	if id == "" {
		return nil
	}
	return append([]*Running(nil), g.byTrace[id]...)
}

// Begin records a send of the child call under one of the parents.
func (g *Registrar) Begin(parents []*Running, c retrier.Child) (retrier.Attempt, hornbeamcroft.Code) {
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

// ChildStarted tells that a child call of the parents is in progress until ChildEnded.
func (g *Registrar) ChildStarted(parents []*Running) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range parents {
		if p.children == 0 {
			p.childSince = g.Clock.Now()
		}
		p.children++
	}
}

// ChildEnded ends a child call with the admission levels that its answer carried.
func (g *Registrar) ChildEnded(parents []*Running, admissionLevels []hornbeamcroft.AdmissionLevel) {
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

// maxAdmissionLevels bounds the entries that one call collects; an answer carries at most 8.
const maxAdmissionLevels = 8

func (r *Running) addAdmissionLevels(list []hornbeamcroft.AdmissionLevel) {
	for _, p := range list {
		i := slices.IndexFunc(r.admissionLevels, func(q hornbeamcroft.AdmissionLevel) bool { return q.Service == p.Service })
		switch {
		case i >= 0:
			r.admissionLevels[i] = p
		case len(r.admissionLevels) < maxAdmissionLevels-1:
			r.admissionLevels = append(r.admissionLevels, p)
		}
	}
}

// Decide says whether the call of the attempt may be repeated. A free repeat is counted at once.
func (g *Registrar) Decide(rnd hornbeamcroft.Rand, a retrier.Attempt, c retrier.Child, f retrier.Failure) retrier.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.retrier.Decide(g.Clock.Now(), rnd, a, c, f)
	if v.Retry && v.Free {
		v.Free = g.retrier.Reroute(a)
		v.Retry = v.Free
	}
	return v
}

// End ends an attempt with the unspent budget of its answer; a lost answer has returned nothing.
func (g *Registrar) End(a retrier.Attempt, unspent int, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lost {
		g.retrier.Lose(a)
		return
	}
	g.retrier.Return(a, unspent)
}

// Len returns the number of calls at the upstream.
func (g *Registrar) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.byToken)
}
