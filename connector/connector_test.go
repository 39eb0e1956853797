package connector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hornbeamcroft"
	"hornbeamcroft/framer"
	"hornbeamcroft/reserver"
)

const testKey = "0123456789abcdef"

// newConnector starts a connector that answers calls by onCall and outcome queries with CodeConfirmedNotRun.
func newConnector(t testing.TB, name, key string, onCall func(context.Context, hornbeamcroft.Call) hornbeamcroft.Answer,
) *Connector {
	t.Helper()
	c := &Connector{
		Self: func() framer.Hello {
			return framer.Hello{Name: name, Incarnation: 1, Credit: 16, Address: "127.0.0.1:1"}
		},
		Key:     []byte(key),
		MaxBody: func() int { return 1 << 20 },
		OnCall: func(ctx context.Context, _ framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
			return onCall(ctx, call)
		},
		OnOutcome: func(context.Context, framer.OutcomeQuery) hornbeamcroft.Answer {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeConfirmedNotRun}
		},
		OnMessage: func(*Link, framer.Type, []byte) error { return nil },
		Log:       &log.Logger{Level: log.PanicLevel},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

// serveLinks starts an HTTP server on which c accepts links, and returns its address.
func serveLinks(t testing.TB, c *Connector) string {
	t.Helper()
	s := httptest.NewServer(nil)
	s.Config.Handler = http.HandlerFunc(c.Accept)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func echo(_ context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200, Body: call.Body}
}

func testCall(id uint64, body []byte) hornbeamcroft.Call {
	return hornbeamcroft.Call{
		ID: id, Request: "r", Service: "s", Type: "t", Depth: 1, Remaining: 5 * time.Second, Body: body,
	}
}

// TestBodiesArriveWhole checks that bodies of large and small concurrent calls on one link are neither mixed up nor
// truncated.
func TestBodiesArriveWhole(t *testing.T) {
	is := is.New(t)
	address := serveLinks(t, newConnector(t, "b", testKey, echo))
	l, err := newConnector(t, "a", testKey, echo).Link(context.Background(), address)
	is.NoErr(err)
	var wg sync.WaitGroup
	var failures atomic.Int64
	for i := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			body := bytes.Repeat([]byte{byte(i)}, 1+i*i*37) // up to 147 kB, more than four chunks
			a, err := l.Call(context.Background(), testCall(uint64(i+1), body))
			if err != nil || !bytes.Equal(a.Body, body) {
				failures.Add(1)
			}
		}()
	}
	wg.Wait()
	is.Equal(failures.Load(), int64(0))
}

// TestWrongKeyIsRejected checks that the handshake with a peer that has another cluster key fails.
func TestWrongKeyIsRejected(t *testing.T) {
	is := is.New(t)
	address := serveLinks(t, newConnector(t, "b", testKey, echo))
	_, err := newConnector(t, "a", "another-key-0123", echo).Link(context.Background(), address)
	is.True(err != nil)
}

// TestBodyOfLateAnswerIsDropped guards against a late answer whose body is received, outside of any account, although nothing waits for
// it.
func TestBodyOfLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	c := newConnector(t, "a", testKey, echo)
	l := &Link{connector: c, partialBodies: make(map[partialBodyKey]*partialBody)}
	var frame bytes.Buffer
	is.NoErr(framer.Encode(&frame, framer.TypeAnswer, hornbeamcroft.Answer{ID: 1, Code: hornbeamcroft.CodeAnswered, Status: 200, BodyLength: 1 << 20}))
	is.NoErr(l.handleFrame(frame.Bytes()))
	is.Equal(len(l.partialBodies), 0)
	is.Equal(c.LateAnswers.Load(), int64(1))
}

// TestOutcomeIsReserved guards against answers to outcome queries that hold memory outside of any account while they are sent.
func TestOutcomeIsReserved(t *testing.T) {
	is := is.New(t)
	b := newConnector(t, "b", testKey, echo)
	b.Memory = &reserver.Reserver{Limit: 1 << 20}
	b.OnOutcome = func(_ context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200, Body: make([]byte, q.ID<<19)}
	}
	l, err := newConnector(t, "a", testKey, echo).Link(t.Context(), serveLinks(t, b))
	is.NoErr(err)
	outcome := func(id uint64) hornbeamcroft.Answer {
		a, err := l.Outcome(t.Context(), framer.OutcomeQuery{Sender: "a", Incarnation: 1, ID: id, Remaining: time.Second}, nil)
		is.NoErr(err)
		return a
	}
	is.Equal(len(outcome(1).Body), 1<<19)
	other := b.Memory.Open()
	for !other.Reserve(600 << 10) {
		time.Sleep(time.Millisecond) // the first answer may still be closing its account
	}
	is.Equal(outcome(1).Code, hornbeamcroft.CodeAnswerGone)
}

// TestLateAnswerIsDropped checks that the answer to a cancelled call is dropped and not delivered to another call.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address := serveLinks(t, newConnector(t, "b", testKey, func(_ context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
		if call.ID == 1 {
			<-release
		}
		return echo(nil, call)
	}))
	a := newConnector(t, "a", testKey, echo)
	l, err := a.Link(context.Background(), address)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for l.inFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = l.Call(ctx, testCall(1, []byte("first")))
	is.True(err != nil)
	close(release)
	answer, err := l.Call(context.Background(), testCall(2, []byte("second")))
	is.NoErr(err)
	is.Equal(string(answer.Body), "second")
	for a.LateAnswers.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestMalformedFrameClosesLink checks that a node closes a link on which it receives a frame that cannot be decoded.
func TestMalformedFrameClosesLink(t *testing.T) {
	is := is.New(t)
	address := serveLinks(t, newConnector(t, "b", testKey, echo))
	l, err := newConnector(t, "a", testKey, echo).Link(context.Background(), address)
	is.NoErr(err)
	l.writeMu.Lock()
	err = l.conn.WriteMessage(websocket.BinaryMessage, []byte{byte(framer.TypeCall), 0xff, 0x00})
	l.writeMu.Unlock()
	is.NoErr(err)
	<-l.done
}

// TestSilentLinkIsReplaced guards against calls that hang on a connection whose state a device on the path has dropped:
// nothing arrives, and no read or write fails. The link must be closed for silence, and a new link to the same address
// must work and answer the outcome query.
func TestSilentLinkIsReplaced(t *testing.T) {
	is := is.New(t)
	proxy := newStallingProxy(t, serveLinks(t, newConnector(t, "b", testKey, echo)))
	a := newConnector(t, "a", testKey, echo)
	l, err := a.Link(context.Background(), proxy.address)
	is.NoErr(err)
	_, err = l.Call(context.Background(), testCall(1, []byte("x")))
	is.NoErr(err)
	proxy.stall()
	_, err = l.Call(context.Background(), testCall(2, []byte("x")))
	is.Equal(err, ErrLinkLost)
	is.Equal(a.ClosedSilent.Load(), int64(1))
	replacement, err := a.Link(context.Background(), proxy.address)
	is.NoErr(err)
	answer, err := replacement.Outcome(context.Background(), framer.OutcomeQuery{Sender: "a", Incarnation: 1, ID: 2}, nil)
	is.NoErr(err)
	is.Equal(answer.Code, hornbeamcroft.CodeConfirmedNotRun)
}

// stallingProxy is a TCP proxy that can stop forwarding bytes on its open connections without closing them.
type stallingProxy struct {
	address string

	mu      sync.Mutex
	stalled []*atomic.Bool
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &stallingProxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			stalled := new(atomic.Bool)
			s.mu.Lock()
			s.stalled = append(s.stalled, stalled)
			s.mu.Unlock()
			go forwardUnlessStalled(in, out, stalled)
			go forwardUnlessStalled(out, in, stalled)
		}
	}()
	return s
}

// stall stops forwarding on all connections that are open now; later connections are not affected.
func (s *stallingProxy) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.stalled {
		b.Store(true)
	}
}

func forwardUnlessStalled(from io.Reader, to io.Writer, stalled *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !stalled.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// TestLaterFrameType guards against a link that is closed, with all calls on it, because a node of a later version sends a message of a
// type that this one does not know; and against a message that a node of an earlier version does not know and closes the link for.
func TestLaterFrameType(t *testing.T) {
	is := is.New(t)
	address := serveLinks(t, newConnector(t, "b", testKey, echo))
	l, err := newConnector(t, "a", testKey, echo).Link(context.Background(), address)
	is.NoErr(err)
	is.NoErr(l.Send(framer.NewestType+1, framer.Ping{N: 1}))
	a, err := l.Call(context.Background(), testCall(1, []byte("x")))
	is.NoErr(err)
	is.Equal(string(a.Body), "x")
	is.True(l.Peer.Knows(framer.TypeSuspects))
	is.True(!l.Peer.Knows(framer.NewestType + 1))
	is.True(!framer.Hello{}.Knows(framer.TypeSuspects))
	is.True(framer.Hello{}.Knows(framer.TypeQuotaGrant))
}
