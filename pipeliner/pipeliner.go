// Package pipeliner serves the HTTP/1 requests of one connection. It reads ahead while a request is served, runs requests that may run
// at the same time side by side, and answers in order. Requests, bodies and headers are those of net/http.
package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/headreader"
)

// maxEmptyLines is the number of empty lines allowed before a request: some clients send one after a body.
const maxEmptyLines = 4

// Memory is the account of one connection.
type Memory = headreader.Memory

// Rules are the settings that all connections of a server share. Set them before the first connection.
type Rules struct {
	// Handler must not read the body of a request after it has returned: another request may then be read through the same buffer.
	Handler http.Handler
	// MaxHeadBytes returns the maximum size of a head in bytes; MaxFields bounds the number of its fields.
	MaxHeadBytes func() int
	MaxFields    int
	// RunsAhead reports whether a request without a body may run before those ahead of it are answered; nil if none may. It is not
	// asked about requests of HTTP/1.0: the end of the connection may be that of an answer to one.
	RunsAhead func(r *http.Request) bool
	// MaxAhead bounds the number of requests of one connection that run at the same time, MaxAheadBytes the size of their heads.
	MaxAhead, MaxAheadBytes int
	// MaxRejections is the number of answers with status 503 in a row after which requests that the client has sent already are
	// passed on slowly; at least 1. Clients that keep to the limits have fewer requests under way: rejections must reach them at once.
	MaxRejections int
	// MakeRoom closes another connection that holds memory for an unfinished head. It returns false if none holds it for longer
	// than p.
	MakeRoom func(p *Pipeliner) bool
	// MayReadAhead reports whether there is memory for heads behind requests that run; nil if there always is. Connections with
	// such heads are not closed for others, so that the heads must leave memory for others.
	MayReadAhead func() bool
	// OnEnd is called when the connection is closed and none of its requests runs; OnPanic with what a handler has panicked with.
	OnEnd   func(p *Pipeliner)
	OnPanic func(v any)
}

// Pipeliner serves one connection. Set the exported fields, call Init and then Serve.
type Pipeliner struct {
	*Rules
	Conn net.Conn
	// Memory is the account of heads, Ahead that of requests that run ahead.
	Memory, Ahead Memory

	ctx    context.Context
	cancel context.CancelFunc
	remote string
	// head, pending and fault belong to the goroutine of Serve. While a body is read, head belongs to the body. pending is a
	// request that waits for those before it, fault the error that is answered after them.
	head    headreader.HeadReader
	pending *headreader.Head
	// pendingAhead is whether pending may run before those ahead of it are answered.
	pendingAhead bool
	fault        error

	mu sync.Mutex
	// changed wakes Serve when a request or a body has ended.
	changed sync.Cond
	// first to last are the requests that were passed on and not answered, in order.
	first, last *exchange
	count       int
	headBytes   int
	// concurrent is true while all of them may run at the same time.
	concurrent bool
	// closing is set once no further request is passed on: an answer says so, or the client or the node has ended the connection.
	closing, failed, lingering bool
	// bodyOwner is the request whose body is being read, bodySince when its head was complete.
	bodyOwner *exchange
	bodySince time.Time
	// reading is true while Serve waits for bytes, waiting while it holds a request that is to be passed on or a fault that is to
	// be answered, or has no memory to read on. paused is true while its buffer is full, woken if its read was ended by a deadline.
	reading, waiting, paused, woken, deadlineSet bool
	// served is true once a head was complete, inHead while bytes of one have arrived. since is when the connection entered
	// its state, writing when the present write began.
	served, inHead, serving bool
	since, writing          time.Time
	// busySince is since when the connection has always had a request; zero if it has none. closeSoon is true if it is to
	// be closed with the next answer.
	busySince time.Time
	closeSoon bool
	received  uint64
	buffered  int
	// rejections is the number of last answers in a row that were rejections. From MaxRejections on, requests are passed on one by
	// one, not before resumeAt.
	rejections int
	resumeAt   time.Time
	// ends counts the requests that have ended, seenEnds is its value when Serve last decided to wait.
	ends, seenEnds int
	// done is true once Serve has ended.
	done bool
}

// Init prepares the connection. Its owner may call the methods of state.go from then on.
func (p *Pipeliner) Init() {
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.changed.L = &p.mu
	p.since = time.Now()
	if a := p.Conn.RemoteAddr(); a != nil {
		p.remote = a.String()
	}
	p.head = headreader.HeadReader{MaxFields: p.MaxFields, MaxEmptyLines: maxEmptyLines, Memory: p.Memory}
}

// Serve serves the connection until it is closed.
func (p *Pipeliner) Serve() {
	defer p.endReading()
	for p.fill() {
		p.advance()
	}
}

// advance passes on the requests that have arrived and may run.
func (p *Pipeliner) advance() {
	for {
		p.next()
		switch {
		case p.fault != nil:
			p.answerFault()
			return
		case p.pending == nil || !p.pass():
			return
		}
	}
}

// next reads the next head if there is none yet.
func (p *Pipeliner) next() {
	if p.pending != nil || p.fault != nil || p.isClosing() || p.mustWait() {
		return
	}
	for {
		head, err := p.head.Next()
		if errors.Is(err, headreader.ErrNoMemory) {
			if p.holdWhileBusy() {
				return
			}
			if p.MakeRoom(p) {
				continue
			}
		}
		p.fault, p.pending = err, head
		p.noteHead(head == nil && err == nil && p.head.Began(), head != nil || err != nil)
		if head != nil {
			p.pendingAhead = !head.HasBody() && head.Request.ProtoAtLeast(1, 1) && p.RunsAhead != nil && p.RunsAhead(head.Request)
		}
		return
	}
}

func (p *Pipeliner) isClosing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing
}

// noteHead records whether the first bytes of a head have arrived, or a whole one that will be answered: from then on the connection
// counts as being served.
func (p *Pipeliner) noteHead(began, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if began && !p.inHead {
		p.since = time.Now()
	}
	p.inHead, p.waiting, p.serving = began, complete, p.count > 0 || complete
	p.buffered = p.head.Buffered()
}
