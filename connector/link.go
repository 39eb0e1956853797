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

// Errors of Link.Call and Link.Outcome. ErrNotSent means that no byte of the call was written to the connection.
// ErrLinkLost means that the peer may have received the call; the caller asks for its outcome over a new link.
var (
	ErrNotSent  = errors.New("call not sent")
	ErrLinkLost = errors.New("link lost")
)

// Link is one WebSocket connection to another node. Its methods are safe for concurrent use.
type Link struct {
	// Peer is the hello of the other end.
	Peer framer.Hello
	// Dialed is true if this node dialed the link, false if it accepted it.
	Dialed bool

	connector *Connector
	conn      *websocket.Conn

	writeMu sync.Mutex
	// streamMu is held while a chunk of a stream is written, so that at most one of them waits for writeMu: a short call waits behind
	// one chunk, whatever the number of streams.
	streamMu sync.Mutex

	mu             sync.Mutex
	pendingAnswers map[uint64]pendingAnswer
	partialBodies  map[partialBodyKey]*partialBody
	runningCalls   map[uint64]runningCall
	// inbound holds the streams that arrive over the link, outbound those that are sent, by the id of the call; nil before the first.
	inbound  map[uint64]*inboundStream
	outbound map[uint64]*outboundStream
	closeErr error

	// usedCredit holds one element for each call or outcome query in flight. Its capacity is the credit that the peer
	// granted, the number of them that it allows at the same time.
	usedCredit chan struct{}
	done       chan struct{}
	ended      atomic.Bool
	openedAt   time.Time
	// lastRead and lastPing are when a frame arrived and when a ping was sent, in nanoseconds since openedAt on the
	// monotonic clock.
	lastRead atomic.Int64
	lastPing atomic.Int64
}

// pendingAnswer is a call or an outcome query that waits for its answer.
type pendingAnswer struct {
	answer chan hornbeamcroft.Answer
	// memory is the account for the answer's body; nil if it is not accounted for.
	memory hornbeamcroft.Memory
	// onRetryGranted is called when the peer grants a retry of the call while its run goes on; nil if the sender awaits no such grant.
	onRetryGranted func()
}

// runningCall is a call of the peer that is running on this node.
type runningCall struct {
	cancel     context.CancelFunc
	idempotent bool
}

// Ended reports whether the link is closed.
func (l *Link) Ended() bool {
	return l.ended.Load()
}

// Err returns the reason for which the link was closed, or nil while it is open.
func (l *Link) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeErr
}

// Close closes the link with the given reason, unless it is closed already. Calls in flight fail with ErrLinkLost.
func (l *Link) Close(reason error) {
	if l.ended.Swap(true) {
		return
	}
	l.mu.Lock()
	l.closeErr = reason
	for key := range l.partialBodies {
		l.dropPartialBody(key)
	}
	for _, s := range l.inbound {
		s.fail(ErrLinkLost)
	}
	l.mu.Unlock()
	_ = l.conn.Close()
	close(l.done)
	l.cancelIdempotentCalls()
	l.connector.Log.Debug().Str("peer", l.Peer.Name).Err(reason).Msg("connector: link closed")
	l.connector.removeLink(l)
}

// cancelIdempotentCalls cancels the running idempotent calls of the peer, since the peer retries them elsewhere. The
// other calls go on, since the peer asks for their outcome over a new link.
func (l *Link) cancelIdempotentCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.runningCalls {
		if c.idempotent {
			c.cancel()
		}
	}
}

// Send encodes v and writes it as one frame of type t. A failed write closes the link; framer.ErrTooLarge does not.
func (l *Link) Send(t framer.Type, v any) error {
	buf := takeFrameBuffer()
	defer returnFrameBuffer(buf)
	if err := framer.Encode(buf, t, v); err != nil {
		return err
	}
	if t > framer.TypeAnswer {
		l.connector.ControlOut.Add(int64(buf.Len()))
	}
	return l.write(buf.Bytes())
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
	l.connector.BytesOut.Add(int64(len(frame)))
	return nil
}

// Call sends the call and waits for its answer. If ctx ends first, Call sends a cancellation to the peer and returns
// the error of the context; the call may have run nevertheless. A call that does not fit into a frame without its body is not sent.
// The end of ctx also ends the stream of the answer.
func (l *Link) Call(ctx context.Context, call hornbeamcroft.Call) (hornbeamcroft.Answer, error) {
	pending := pendingAnswer{memory: call.Memory, onRetryGranted: call.OnRetryGranted}
	a, err := l.roundTrip(ctx, call.ID, pending, func() error { return l.sendCall(call) })
	if errors.Is(err, framer.ErrTooLarge) {
		return hornbeamcroft.Answer{ID: call.ID, Code: hornbeamcroft.CodeHeaderTooLarge, UnspentRetries: call.RetryBudget}, nil
	}
	return a, err
}

// Outcome asks for the outcome of a call that was in flight on an earlier link to the same node. Memory is the account of the
// call.
func (l *Link) Outcome(ctx context.Context, q framer.OutcomeQuery, memory hornbeamcroft.Memory) (hornbeamcroft.Answer, error) {
	return l.roundTrip(ctx, q.ID, pendingAnswer{memory: memory}, func() error { return l.Send(framer.TypeOutcomeQuery, q) })
}

// inFlight returns the number of calls and outcome queries that wait for an answer or for the rest of one.
func (l *Link) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pendingAnswers) + len(l.inbound)
}

func (l *Link) sendCall(call hornbeamcroft.Call) error {
	body := call.Body
	call.BodyLength = len(body)
	return l.sendWithBody(framer.TypeCall, call.ID, body, func(inline []byte) any {
		call.Body = inline
		return call
	})
}

// checkSilence closes the link if nothing arrived for the silence timeout and since the last ping; otherwise it sends a
// ping if one is due. No ping is due if a frame arrived less than half an interval ago. The time now is since openedAt.
func (l *Link) checkSilence(now time.Duration) {
	lastRead := time.Duration(l.lastRead.Load())
	lastPing := time.Duration(l.lastPing.Load())
	if lastPing > lastRead && now-lastRead > l.connector.silenceTimeout() {
		l.connector.ClosedSilent.Add(1)
		l.Close(errors.New("no frame received within the silence timeout"))
		return
	}
	interval := idlePingInterval
	if l.inFlight() > 0 {
		interval = l.connector.silenceTimeout() / pingsPerSilenceTimeout
	}
	if now-lastPing < interval || now-lastRead < interval/2 {
		return
	}
	l.lastPing.Store(int64(now))
	go func() { _ = l.Send(framer.TypePing, framer.Ping{N: uint64(now)}) }()
}
