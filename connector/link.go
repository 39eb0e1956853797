package connector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// Errors of Link.Call. With ErrNotSent no byte of the call left this node. With ErrLinkLost the call may have arrived;
// its outcome is asked for over a new link.
var (
	ErrNotSent  = errors.New("call not sent")
	ErrLinkLost = errors.New("link lost")
)

// Link is one connection to another node. Its methods are safe for concurrent use.
type Link struct {
	// Peer is the other end as it introduced itself.
	Peer framer.Hello
	// Dialed is true if this node opened the link.
	Dialed bool

	c    *Connector
	conn *websocket.Conn

	writeMu sync.Mutex

	mu       sync.Mutex
	waiting  map[uint64]chan hornbeamcroft.Answer
	partials map[partialKey]*partial
	cancels  map[uint64]served
	err      error

	credit   chan struct{}
	done     chan struct{}
	ended    atomic.Bool
	lastRead atomic.Int64
	lastPing atomic.Int64
}

// served is a call of the peer that is running here.
type served struct {
	cancel     context.CancelFunc
	idempotent bool
}

// partialKey identifies a body that is being received.
type partialKey struct {
	id     uint64
	answer bool
}

// partial is a call or an answer whose body is not yet complete.
type partial struct {
	call   hornbeamcroft.Call
	answer hornbeamcroft.Answer
	body   []byte
	length int
}

// Ended reports whether the link is closed.
func (l *Link) Ended() bool {
	return l.ended.Load()
}

// Err returns why the link ended, or nil while it is open.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Close ends the link. Calls in flight fail with ErrLinkLost.
func (l *Link) Close(reason error) {
	if l.ended.Swap(true) {
		return
	}
	l.mu.Lock()
	l.err = reason
	l.mu.Unlock()
	_ = l.conn.Close()
	close(l.done)
	l.cancelIdempotent()
	l.c.Log.Debug().Str("peer", l.Peer.Name).Err(reason).Msg("connector: link closed")
	l.c.remove(l)
}

// cancelIdempotent ends the running calls that the peer will repeat elsewhere. It asks for the outcome of the others.
func (l *Link) cancelIdempotent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.cancels {
		if s.idempotent {
			s.cancel()
		}
	}
}

// Send writes one frame.
func (l *Link) Send(t framer.Type, v any) error {
	frame, err := framer.Encode(t, v)
	if err != nil {
		return err
	}
	if t > framer.TypeAnswer {
		l.c.ControlOut.Add(int64(len(frame)))
	}
	return l.write(frame)
}

func (l *Link) write(frame []byte) error {
	l.writeMu.Lock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := l.conn.WriteMessage(websocket.BinaryMessage, frame)
	l.writeMu.Unlock()
	if err != nil {
		l.Close(errors.Wrap(err, "write"))
		return err
	}
	l.c.BytesOut.Add(int64(len(frame)))
	return nil
}

// Call sends the call and waits for its answer. When ctx ends first, the call is cancelled at the peer and the
// context's error is returned; the call may then have run.
func (l *Link) Call(ctx context.Context, call hornbeamcroft.Call) (hornbeamcroft.Answer, error) {
	return l.exchange(ctx, call.ID, func() error { return l.sendCall(call) })
}

// Outcome asks for the outcome of a call that was in flight on an earlier link to the same node.
func (l *Link) Outcome(ctx context.Context, q framer.OutcomeQuery) (hornbeamcroft.Answer, error) {
	return l.exchange(ctx, q.ID, func() error { return l.Send(framer.TypeOutcomeQuery, q) })
}

func (l *Link) exchange(ctx context.Context, id uint64, send func() error) (hornbeamcroft.Answer, error) {
	var none hornbeamcroft.Answer
	select {
	case l.credit <- struct{}{}:
	case <-ctx.Done():
		return none, errors.Wrap(ErrNotSent, "no credit")
	case <-l.done:
		return none, ErrNotSent
	}
	defer func() { <-l.credit }()
	ch := make(chan hornbeamcroft.Answer, 1)
	l.mu.Lock()
	l.waiting[id] = ch
	l.mu.Unlock()
	defer l.forget(id)
	if l.Ended() {
		return none, ErrNotSent
	}
	if err := send(); err != nil {
		return none, ErrLinkLost
	}
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		_ = l.Send(framer.TypeCancel, framer.Cancel{ID: id})
		return none, ctx.Err()
	case <-l.done:
	}
	select {
	case a := <-ch:
		return a, nil
	default:
		return none, ErrLinkLost
	}
}

func (l *Link) forget(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	delete(l.partials, partialKey{id, true})
	l.mu.Unlock()
}

func (l *Link) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

func (l *Link) sendCall(call hornbeamcroft.Call) error {
	body := call.Body
	call.BodyLength = len(body)
	if len(body) <= framer.ChunkSize {
		return l.Send(framer.TypeCall, call)
	}
	call.Body = nil
	if err := l.Send(framer.TypeCall, call); err != nil {
		return err
	}
	return l.sendBody(call.ID, false, body)
}

func (l *Link) sendAnswer(a hornbeamcroft.Answer) {
	body := a.Body
	a.BodyLength = len(body)
	if len(body) <= framer.ChunkSize {
		_ = l.Send(framer.TypeAnswer, a)
		return
	}
	a.Body = nil
	if l.Send(framer.TypeAnswer, a) == nil {
		_ = l.sendBody(a.ID, true, body)
	}
}

// sendBody sends a body in chunks; the write lock is free between them, so other frames are not held up.
func (l *Link) sendBody(id uint64, answer bool, body []byte) error {
	for offset := 0; offset < len(body); offset += framer.ChunkSize {
		end := min(offset+framer.ChunkSize, len(body))
		b := framer.Body{ID: id, Answer: answer, Offset: offset, Data: body[offset:end], Last: end == len(body)}
		if err := l.Send(framer.TypeBody, b); err != nil {
			return err
		}
	}
	return nil
}

// checkSilence pings the peer when a ping is due and closes the link when nothing arrived since an earlier ping.
func (l *Link) checkSilence(now time.Time) {
	last := time.Unix(0, l.lastRead.Load())
	pinged := time.Unix(0, l.lastPing.Load())
	if pinged.After(last) && now.Sub(last) > l.c.silence() {
		l.c.Silent.Add(1)
		l.Close(errors.New("silent for too long"))
		return
	}
	interval := idlePingInterval
	if l.inFlight() > 0 {
		interval = l.c.silence() / pingsInSilence
	}
	if now.Sub(pinged) < interval || now.Sub(last) < interval/2 {
		return
	}
	l.lastPing.Store(now.UnixNano())
	go func() { _ = l.Send(framer.TypePing, framer.Ping{N: uint64(now.UnixNano())}) }()
}
