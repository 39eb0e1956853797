package connector

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/framer"
	"hornbeamcroft/reserver"
)

// source is a body of the length whose byte i is byte(i). It ends with errSource after failAt bytes and waits for the end of its context
// after waitAt, unless these are zero.
type source struct {
	ctx                    context.Context
	length, failAt, waitAt int
	read, closed           atomic.Int64
}

var errSource = errors.New("upstream failed")

func (s *source) Read(p []byte) (int, error) {
	at := int(s.read.Load())
	switch {
	case s.waitAt > 0 && at >= s.waitAt:
		<-s.ctx.Done()
		return 0, s.ctx.Err()
	case s.failAt > 0 && at >= s.failAt:
		return 0, errSource
	case at == s.length:
		return 0, io.EOF
	}
	n := min(len(p), s.length-at)
	for i := range n {
		p[i] = byte(at + i)
	}
	s.read.Add(int64(n))
	return n, nil
}

func (s *source) Close() error {
	s.closed.Add(1)
	return nil
}

// streamPair returns a link from a connector to another one, whose accounts hold 1 MiB each. Calls with the ids of the sources are
// answered with their streams, with a declared length if the id is even, and others by echo.
func streamPair(t testing.TB, sources map[uint64]*source) (*Link, *Connector) {
	t.Helper()
	b := newConnector(t, "b", testKey, func(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
		s := sources[call.ID]
		if s == nil || !call.Streams {
			return echo(ctx, call)
		}
		s.ctx = ctx
		a := hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200, StreamLength: int64(s.length), Stream: s}
		if call.ID%2 == 1 {
			a.StreamLength = hornbeamcroft.UnknownLength
		}
		return a
	})
	a := newConnector(t, "a", testKey, echo)
	a.Memory, b.Memory = &reserver.Reserver{Limit: 1 << 20}, &reserver.Reserver{Limit: 1 << 20}
	l, err := a.Link(context.Background(), serveLinks(t, b))
	if err != nil {
		t.Fatal(err)
	}
	await(t, "link", func() bool { return len(b.Links()) == 1 })
	return l, b
}

// open sends the call with the id and returns its answer.
func open(ctx context.Context, t testing.TB, l *Link, id uint64) hornbeamcroft.Answer {
	t.Helper()
	call := testCall(id, nil)
	call.Idempotent, call.Remaining, call.Memory = true, time.Minute, l.connector.Memory.Open()
	answer, err := l.Call(ctx, call)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// readBody reads a body to its end, checks its bytes and returns their number.
func readBody(t testing.TB, r io.Reader) (int, error) {
	t.Helper()
	buf := make([]byte, 50_000)
	for total := 0; ; {
		n, err := r.Read(buf)
		for i, b := range buf[:n] {
			if b != byte(total+i) {
				t.Fatalf("wrong byte at %d", total+i)
			}
		}
		if total += n; err == io.EOF {
			return total, nil
		} else if err != nil {
			return total, err
		}
	}
}

// TestStreamArrives guards against bytes that are lost, doubled or out of order, against an incomplete body that ends like a complete
// one, and against memory that is held or calls that count as running after the end.
func TestStreamArrives(t *testing.T) {
	is := is.New(t)
	l, b := streamPair(t, map[uint64]*source{
		100: {length: 20<<20 + 11}, 101: {length: 20<<20 + 11},
		102: {length: 2 << 20, failAt: 1 << 20}, 103: {length: 2 << 20, failAt: 1 << 20},
	})
	for id := range uint64(4) {
		answer := open(t.Context(), t, l, 100+id)
		n, err := readBody(t, answer.Stream)
		if id < 2 {
			is.NoErr(err)
			is.Equal(n, 20<<20+11)
		} else {
			is.Equal(err, errStreamBroken)
		}
		answer.CloseStream()
		answer.CloseStream()
		is.Equal(l.connector.Memory.Reserved(), int64(0))
		await(t, "end at the sender", func() bool { return b.Memory.Reserved() == 0 && b.RunningCalls() == 0 })
	}
	is.Equal(l.inFlight(), 0)
	is.NoErr(l.Err())
}

// TestSlowReader guards against a process that holds a large answer whole while its receiver reads slowly, or that sends it at once.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	s := &source{length: 10 << 20}
	l, b := streamPair(t, map[uint64]*source{100: s})
	answer := open(t.Context(), t, l, 100)
	await(t, "full window", func() bool { return s.read.Load() == streamWindow })
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.read.Load(), int64(streamWindow))
	part := make([]byte, 100<<10)
	for total := 0; total < 2<<20; {
		n, err := answer.Stream.Read(part)
		is.NoErr(err)
		total += n
		is.True(s.read.Load() <= int64(total+streamWindow))
		is.True(max(l.connector.Memory.Reserved(), b.Memory.Reserved()) <= streamWindow)
	}
	_, err := l.Call(t.Context(), testCall(1, nil)) // the link is free for others
	is.NoErr(err)
	answer.CloseStream()
	await(t, "end at the sender", func() bool { return s.closed.Load() == 1 && b.Memory.Reserved() == 0 })
}

// TestStreamEnds guards against a run that goes on after its receiver, its context or the link has ended, while the sender waits for
// credit or for its upstream; and against a body that is given up although its last byte has arrived.
func TestStreamEnds(t *testing.T) {
	for _, lengths := range [][2]int{{10 << 20, 0}, {10 << 20, framer.ChunkSize}, {streamWindow - 100, 0}} {
		for _, how := range []string{"close", "context", "link"} {
			is := is.New(t)
			s := &source{length: lengths[0], waitAt: lengths[1]}
			l, b := streamPair(t, map[uint64]*source{101: s})
			ctx, cancel := context.WithCancel(t.Context())
			answer := open(ctx, t, l, 101)
			complete := s.length < streamWindow
			sent := min(s.length, streamWindow)
			if s.waitAt > 0 {
				sent = s.waitAt
			}
			await(t, "sent", func() bool { return s.read.Load() == int64(sent) && (!complete || b.RunningCalls() == 0) })
			_, err := l.Call(t.Context(), testCall(1, nil)) // the chunks were before it on the link
			is.NoErr(err)
			switch how {
			case "close":
				answer.CloseStream()
			case "context":
				cancel()
			case "link":
				l.Close(errors.New("test"))
			}
			await(t, "end at the sender", func() bool { return s.closed.Load() == 1 && b.RunningCalls() == 0 })
			n, err := readBody(t, answer.Stream)
			is.Equal(err == nil && n == s.length, complete && how != "close")
			answer.CloseStream()
			cancel()
		}
	}
}

// TestNoStream guards against streams to peers of versions that do not know them, against memory beyond the account, and against a peer
// that makes this process hold more than the window or widens its own.
func TestNoStream(t *testing.T) {
	is := is.New(t)
	s := &source{length: 1 << 20}
	l, b := streamPair(t, map[uint64]*source{100: s, 102: s, 104: {length: 1 << 20, waitAt: 1}, 106: {length: 1 << 20}})
	back := b.Links()[0]
	back.Peer.NewestType = framer.TypeBodyCredit - 1
	is.True(open(t.Context(), t, l, 100).Stream == nil)
	back.Peer.NewestType = framer.TypeBodyCredit
	l.connector.Memory.Limit = streamWindow - 1
	is.Equal(open(t.Context(), t, l, 102).Code, hornbeamcroft.CodeOutcomeUnknown)
	await(t, "end at the sender", func() bool { return s.closed.Load() == 1 && b.RunningCalls() == 0 })
	l.connector.Memory.Limit = 1 << 20
	is.NoErr(l.Send(framer.TypeBodyCredit, framer.BodyCredit{ID: 102, Bytes: 5})) // of a stream that has ended
	_, err := l.Call(t.Context(), testCall(1, nil))
	is.NoErr(err)
	answer := open(t.Context(), t, l, 104)
	defer answer.CloseStream()
	_, err = answer.Stream.Read(make([]byte, 1)) // the first chunk has arrived
	is.NoErr(err)
	for offset := framer.ChunkSize; offset <= streamWindow; offset += framer.ChunkSize {
		is.True(!l.Ended())
		_ = back.Send(framer.TypeBody, framer.Body{ID: 104, Answer: true, Offset: offset, Data: make([]byte, framer.ChunkSize)})
	}
	await(t, "closed link", l.Ended)
	l, b = streamPair(t, map[uint64]*source{100: {length: 1 << 20}})
	defer open(t.Context(), t, l, 100).CloseStream()
	is.NoErr(l.Send(framer.TypeBodyCredit, framer.BodyCredit{ID: 100, Bytes: 2 * streamWindow}))
	await(t, "closed link", func() bool { return len(b.Links()) == 0 })
}

// BenchmarkShortCalls measures short calls beside large answers on the same link. The receiver of each answer reads as fast as it can.
func BenchmarkShortCalls(b *testing.B) {
	for name, streams := range map[string]uint64{"alone": 0, "beside 1": 1, "beside 3": 3} {
		b.Run(name, func(b *testing.B) {
			l, _ := streamPair(b, map[uint64]*source{100: {length: 1 << 50}, 102: {length: 1 << 50}, 104: {length: 1 << 50}})
			for i := range streams {
				answer := open(b.Context(), b, l, 100+2*i)
				defer answer.CloseStream()
				go func() { _, _ = io.Copy(io.Discard, answer.Stream) }()
			}
			id := uint64(1 << 20)
			for b.Loop() {
				id++
				if _, err := l.Call(b.Context(), testCall(id, make([]byte, 200))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
