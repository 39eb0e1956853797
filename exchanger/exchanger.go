// Package exchanger sends requests to the upstream beside the node over HTTP/1.1 and states what is known about their
// execution. It keeps its own connections, because an upstream may answer twice, late, or with bytes that belong to no
// request: an answer counts only if it names the attempt it is for.
package exchanger

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft"
)

const (
	// connectTime bounds a new connection to the upstream, which is on the same host.
	connectTime = 300 * time.Millisecond
	// idleMargin is how much sooner than the upstream the node closes a connection without requests.
	idleMargin = time.Second
	// defaultIdle is how long a connection without requests is kept if the upstream names no time.
	defaultIdle = 5 * time.Second
	// sweepTime is the period in which idle connections are closed.
	sweepTime = time.Second
)

// Outcome is what is known about a request that was sent.
type Outcome uint8

// The outcomes of an exchange.
const (
	// OutcomeAnswered means that the whole answer arrived.
	OutcomeAnswered Outcome = iota
	// OutcomeNotSent means that no connection could be opened.
	OutcomeNotSent
	// OutcomeNotRun means that the upstream said that it did not run the request.
	OutcomeNotRun
	// OutcomeWrongInstance means that another instance answered; it did not run the request.
	OutcomeWrongInstance
	// OutcomeLost means that the connection ended before an answer; the request may have run.
	OutcomeLost
	// OutcomeSpoilt means that the answer was cut or was none.
	OutcomeSpoilt
	// OutcomeEnded means that the context ended first.
	OutcomeEnded
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "not-sent", "not-run", "wrong-instance", "lost", "spoilt", "ended"}[o]
}

// Request is a request to the upstream.
type Request struct {
	Message hornbeamcroft.Message
	Body    []byte
	// Attempt is the id that the answer must repeat.
	Attempt string
}

// Result is the answer with what is known about the execution.
type Result struct {
	Outcome Outcome
	Status  int
	Header  []hornbeamcroft.Field
	Body    []byte
	// Instance is the one that answered, if it said so.
	Instance string
	// Err is the reason of an outcome without an answer.
	Err error
}

// Names are the header fields by which an upstream speaks about a request.
type Names struct {
	// Attempt carries the id of the attempt in requests and answers.
	Attempt string
	// NotRun marks an answer which says that the request was not run.
	NotRun string
	// Instance carries the id of the instance that answers.
	Instance string
	// MisdirectedStatus is the status of an instance that a request did not expect.
	MisdirectedStatus int
}

// Exchanger sends requests to one upstream. Set the exported fields before the first Exchange. It is safe for concurrent
// use.
type Exchanger struct {
	// Address is the IP address and port of the upstream.
	Address string
	Names   Names
	// MaxBody bounds the body of an answer in bytes.
	MaxBody int
	// Opened counts the connections.
	Opened atomic.Int64

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
}

// SetLimit bounds the open connections; zero means no bound.
func (e *Exchanger) SetLimit(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = n
}

// Exchange sends the request and waits for the answer or the end of ctx.
func (e *Exchanger) Exchange(ctx context.Context, q Request) Result {
	c, err := e.take(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: OutcomeEnded, Err: err}
		}
		return Result{Outcome: OutcomeNotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, c.abort)
	res := c.exchange(q, e.Names, e.MaxBody)
	if !stop() && res.Outcome != OutcomeAnswered && res.Outcome != OutcomeNotRun {
		res.Outcome = OutcomeEnded
	}
	e.give(c)
	return res
}

// take returns an idle connection that is still good, or a new one.
func (e *Exchanger) take(ctx context.Context) (*conn, error) {
	for {
		c := e.pop()
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		e.drop(c)
	}
	e.mu.Lock()
	if e.limit > 0 && e.open >= e.limit {
		e.mu.Unlock()
		return nil, errTooManyConnections
	}
	e.open++
	e.mu.Unlock()
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

func (e *Exchanger) pop() *conn {
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

// give takes a connection back after an exchange.
func (e *Exchanger) give(c *conn) {
	if !c.kept {
		e.drop(c)
		return
	}
	c.idleSince = time.Now()
	e.mu.Lock()
	e.idle = append(e.idle, c)
	e.mu.Unlock()
}

func (e *Exchanger) drop(c *conn) {
	_ = c.net.Close()
	e.mu.Lock()
	e.open--
	e.mu.Unlock()
}

// Reset closes the idle connections, because the upstream was replaced.
func (e *Exchanger) Reset() {
	for c := e.pop(); c != nil; c = e.pop() {
		e.drop(c)
	}
}

// Run closes connections that have been idle for too long, until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	t := time.NewTicker(sweepTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.Reset()
			return
		case now := <-t.C:
			e.sweep(now)
		}
	}
}

func (e *Exchanger) sweep(now time.Time) {
	var old []*conn
	e.mu.Lock()
	kept := e.idle[:0]
	for _, c := range e.idle {
		if c.expired(now) {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	e.idle = kept
	e.mu.Unlock()
	for _, c := range old {
		e.drop(c)
	}
}

// Counts returns the open and the idle connections.
func (e *Exchanger) Counts() (open, idle int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open, len(e.idle)
}

// Alive reports whether the upstream accepts a connection and keeps it open for a moment. A process that ends can still
// complete a connection before its listener is closed, but then the connection is reset at once.
func (e *Exchanger) Alive(ctx context.Context) bool {
	c, err := dial(ctx, e.Address)
	if err != nil {
		return false
	}
	defer func() { _ = c.net.Close() }()
	return c.quiet(settleTime + time.Duration(rand.Int64N(int64(settleTime))))
}
