// Package exchanger sends requests to the local upstream over HTTP/1.1 and states what is known about their execution.
// It manages its own connections, because an upstream may answer twice, answer late, or send bytes that belong to no
// request: an answer counts only if it names the attempt that it is for.
package exchanger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// connectTimeout bounds the time to open a connection to the upstream, which is on the same host.
	connectTimeout = 300 * time.Millisecond
	// idleMargin is how much earlier than the upstream the node closes an idle connection.
	idleMargin = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
)

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes of an exchange.
const (
	// OutcomeAnswered means that the upstream's own, complete answer arrived.
	OutcomeAnswered Outcome = iota
	// OutcomeNotSent means that no connection was available, so the request was not sent.
	OutcomeNotSent
	// OutcomeNotRun means that the upstream reported that it did not run the request.
	OutcomeNotRun
	// OutcomeWrongInstance means that another instance answered, which did not run the request.
	OutcomeWrongInstance
	// OutcomeLost means that the connection ended before an answer; the request may have run.
	OutcomeLost
	// OutcomeMalformed means that the answer was truncated, exceeded the size limit, was not valid HTTP, was for another
	// attempt or was a success without the upstream's signature; the request may have run.
	OutcomeMalformed
	// OutcomeContextEnded means that the context ended before an answer; the request may have run.
	OutcomeContextEnded
	// OutcomeNoMemory means that the answer was not read because no memory was left for it; the request may have run.
	OutcomeNoMemory
	// OutcomeUnprovenRefusal means that the upstream's own answer has a status from which callers conclude that the request did not run,
	// and does not state that; the request may have run.
	OutcomeUnprovenRefusal
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "not-sent", "not-run", "wrong-instance", "lost", "spoilt", "ended", "no-memory", "unproven-refusal"}[o]
}

// Answered reports whether the upstream's own answer arrived, and did not say that the request did not run.
func (o Outcome) Answered() bool { return o == OutcomeAnswered || o == OutcomeUnprovenRefusal }

// HeaderNames holds the names of the header fields, and the status, by which an upstream reports on a request.
type HeaderNames struct {
	// Attempt is the field that carries the attempt id in requests and answers.
	Attempt string
	// Signature is the field that a success must carry exactly once and not empty to be the upstream's own; empty if upstreams
	// do not sign.
	Signature string
	// NotRun is the field that marks an answer as stating that the request did not run.
	NotRun string
	// Instance is the field that carries the id of the answering instance.
	Instance string
	// RateLimit is the field that states the number of requests per second that the upstream takes, Leaving the field
	// with the value "1" in all answers of an upstream that is about to end.
	RateLimit, Leaving string
	// MisdirectedStatus is the status with which an instance answers a request addressed to another instance, without its signature; zero
	// if there is none.
	MisdirectedStatus int
	// RefusalStatuses are the statuses from which callers conclude that a request did not run. With the field NotRun they are true.
	RefusalStatuses []int
}

// Exchanger sends requests to one upstream. Set the exported fields before the first Exchange. It is safe for
// concurrent use.
type Exchanger struct {
	// Address is the IP address and port of the upstream.
	Address     string
	HeaderNames HeaderNames
	// MaxBody bounds the body of an answer in bytes, unless it is streamed.
	MaxBody int
	// Opened counts the connections opened since the start.
	Opened atomic.Int64

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
}

// SetLimit bounds the number of open connections; zero means no bound.
func (e *Exchanger) SetLimit(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = n
}

// Exchange sends the request and waits for its answer or for the end of ctx, which also ends the stream of the answer.
func (e *Exchanger) Exchange(ctx context.Context, request Request) Result {
	c, err := e.acquire(ctx, request.Attempt)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: OutcomeContextEnded, Err: err}
		}
		return Result{Outcome: OutcomeNotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	res := c.exchange(request, e.HeaderNames, e.MaxBody)
	if s, ok := res.Stream.(*stream); ok {
		s.exchanger, s.stop = e, stop
		return res
	}
	if !stop() && res.Outcome != OutcomeAnswered && res.Outcome != OutcomeNotRun {
		res.Outcome = OutcomeContextEnded
	}
	e.release(c)
	return res
}

// acquire returns a usable idle connection, or opens a new one. It does not return a connection on which the same attempt
// was sent before: a second copy of the first answer, which may arrive late, would be taken for the answer to this send.
func (e *Exchanger) acquire(ctx context.Context, attempt string) (*conn, error) {
	for {
		c := e.popIdleFor(attempt)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		e.closeConn(c)
	}
	if !e.countOpen() {
		return nil, errTooManyConnections
	}
	c, err := dial(ctx, e.Address)
	if err != nil {
		e.mu.Lock()
		e.open--
		e.mu.Unlock()
		return nil, err
	}
	e.Opened.Add(1)
	return c, nil
}

// countOpen counts a connection that is about to be opened. It returns false if the limit is reached. At the limit, it closes
// an idle connection to make room.
func (e *Exchanger) countOpen() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit > 0 && e.open >= e.limit {
		if len(e.idle) == 0 {
			return false
		}
		_ = e.idle[0].net.Close()
		e.idle = slices.Delete(e.idle, 0, 1)
		e.open--
	}
	e.open++
	return true
}

// popIdleFor removes the most recently used idle connection that has not carried the attempt before and returns it, or nil
// if there is none.
func (e *Exchanger) popIdleFor(attempt string) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range slices.Backward(e.idle) {
		if !c.refused.contains(attempt) {
			e.idle = slices.Delete(e.idle, i, i+1)
			return c
		}
	}
	return nil
}

// popIdle removes the most recently used idle connection and returns it, or nil if there is none.
func (e *Exchanger) popIdle() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := len(e.idle) - 1
	if last < 0 {
		return nil
	}
	c := e.idle[last]
	e.idle = e.idle[:last]
	return c
}

// release returns a connection to the idle ones after an exchange, or closes it if it cannot carry another request.
func (e *Exchanger) release(c *conn) {
	if !c.reusable {
		e.closeConn(c)
		return
	}
	c.idleSince = time.Now()
	e.mu.Lock()
	e.idle = append(e.idle, c)
	e.mu.Unlock()
}

// closeConn closes a connection and no longer counts it as open.
func (e *Exchanger) closeConn(c *conn) {
	_ = c.net.Close()
	e.mu.Lock()
	e.open--
	e.mu.Unlock()
}

// Reset closes the idle connections. Call it when the upstream was replaced.
func (e *Exchanger) Reset() {
	for c := e.popIdle(); c != nil; c = e.popIdle() {
		e.closeConn(c)
	}
}

// Run closes expired idle connections until ctx ends, and then all idle connections.
func (e *Exchanger) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.Reset()
			return
		case now := <-t.C:
			e.closeExpired(now)
		}
	}
}

// closeExpired closes the idle connections that have reached their idle timeout.
func (e *Exchanger) closeExpired(now time.Time) {
	var expired []*conn
	e.mu.Lock()
	kept := e.idle[:0]
	for _, c := range e.idle {
		if c.expired(now) {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	e.idle = kept
	e.mu.Unlock()
	for _, c := range expired {
		e.closeConn(c)
	}
}

// Counts returns the number of open connections and how many of them are idle.
func (e *Exchanger) Counts() (open, idle int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open, len(e.idle)
}

// Alive reports whether the upstream accepts a connection and keeps it open for a random time between one and two
// stableTime. A process that is exiting may still complete a connection before its listener is closed, but that
// connection is reset at once.
func (e *Exchanger) Alive(ctx context.Context) bool {
	c, err := dial(ctx, e.Address)
	if err != nil {
		return false
	}
	defer func() { _ = c.net.Close() }()
	return c.staysOpen(stableTime + time.Duration(rand.Int64N(int64(stableTime))))
}
