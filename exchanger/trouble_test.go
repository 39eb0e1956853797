package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/headchecker"
	"hornbeamcroft/reserver"
)

// endlessAnswer is an answer of which the last part repeats without end.
type endlessAnswer struct{ name, begin, repeat string }

// inBody reports whether the end is missing in the body.
func (a endlessAnswer) inBody() bool { return strings.Contains(a.name, "body") }

// endlessAnswers has an answer without end for each place of an HTTP message.
var endlessAnswers = []endlessAnswer{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"field name", "HTTP/1.1 200 OK\r\n", "x"},
	{"field value", "HTTP/1.1 200 OK\r\nX: ", "x"},
	{"many fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"interim fields", "HTTP/1.1 103 Early Hints\r\n", "X: y\r\n"},
	{"body with length", "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 1000000000\r\n\r\n", "x"},
	{"body to the end", "HTTP/1.1 200 OK\r\nAttempt: a\r\nConnection: close\r\n\r\n", "x"},
	{"chunked body", "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	{"chunk size", "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"trailer", "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"answers to other attempts", "", "HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 1\r\n\r\nx"},
	{"no HTTP", "", "x"},
}

// serveConns starts an upstream that calls serve for each connection and closes the connection afterwards. It returns its address.
func serveConns(t *testing.T, serve func(c net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// serveEndless starts an upstream that sends the answer until the other side closes, in pieces of the given size with the pause
// between them. It returns its address.
func serveEndless(t *testing.T, a endlessAnswer, piece int, pause time.Duration) string {
	t.Helper()
	repeated := bytes.Repeat([]byte(a.repeat), max(piece/len(a.repeat), 1))
	return serveConns(t, func(c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, err := io.WriteString(c, a.begin)
		for ; err == nil; time.Sleep(pause) {
			_, err = c.Write(repeated)
		}
	})
}

// TestEndless guards against an upstream that floods or trickles without end and fills the memory, or holds the request beyond
// the bounds.
func TestEndless(t *testing.T) {
	const (
		bodyLimit = 4 << 20
		// maxAllocated bounds all allocations of one exchange: the largest body with the copies of its growth, and the heads.
		maxAllocated = 4 * bodyLimit
	)
	for _, a := range endlessAnswers {
		t.Run("flood/"+a.name, func(t *testing.T) {
			is := is.New(t)
			r := &reserver.Reserver{Limit: bodyLimit}
			e := &Exchanger{Address: serveEndless(t, a, 1<<16, 0), HeaderNames: headerNames, MaxBody: 1 << 30}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begin := time.Now()
			res := sendWithMemory(e, r.Open(), 5*time.Second)
			runtime.ReadMemStats(&after)
			is.True(res.Outcome == OutcomeMalformed || res.Outcome == OutcomeNoMemory)
			is.True(res.Err != nil)
			// A flood in a body ends at the limit of memory, which Outcome shows, however long a busy reader takes for it.
			is.True(a.inBody() || time.Since(begin) < maxHeadTime)
			is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
			open, _ := e.Counts()
			is.Equal(open, 0) // the connection is closed
		})
	}
	for _, a := range endlessAnswers {
		t.Run("trickle/"+a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := &reserver.Reserver{Limit: bodyLimit}
			e := &Exchanger{Address: serveEndless(t, a, 1, 100*time.Millisecond), HeaderNames: headerNames, MaxBody: 1 << 30}
			begin := time.Now()
			res := sendWithMemory(e, r.Open(), 20*time.Second)
			is.Equal(res.Outcome.String(), OutcomeMalformed.String())
			// A head may take maxHeadTime; a body may begin then.
			is.True(time.Since(begin) < maxHeadTime+2*progressTime)
		})
	}
}

// sendWithMemory sends a GET request for the attempt "a" whose answer is reserved from the account.
func sendWithMemory(e *Exchanger, memory hornbeamcroft.Memory, limit time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return e.Exchange(ctx, Request{
		Attempt: "a", Memory: memory, Message: hornbeamcroft.Message{Method: http.MethodGet, Host: "h", Target: "/"},
	})
}

// TestLargeAnswer guards against bounds that refuse an honest answer.
func TestLargeAnswer(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	body := strings.Repeat("x", size)
	e := newExchanger(t, fmt.Sprintf("HTTP/1.1 200 OK\nAttempt: a\nContent-Length: %d\n\n%s", size, body),
		"HTTP/1.1 200 OK\nAttempt: a\nX: "+strings.Repeat("y", 60<<10)+"\nContent-Length: 2\n\nok")
	e.MaxBody = size
	r := &reserver.Reserver{Limit: 2 * size}
	is.Equal(len(sendWithMemory(e, r.Open(), 5*time.Second).Body), size)
	is.Equal(string(sendWithMemory(e, r.Open(), 5*time.Second).Body), "ok")
}

// TestHeadIsReserved guards against heads that are held outside of the account of their request, and against an account that is
// charged for heads that are not kept.
func TestHeadIsReserved(t *testing.T) {
	const fields, limit = 500, 100 << 10
	is := is.New(t)
	var b strings.Builder
	for i := range fields {
		fmt.Fprintf(&b, "x%d: y\n", i)
	}
	answer := "HTTP/1.1 200 OK\nAttempt: a\n" + b.String() + "Content-Length: 2\n\nok"
	e := newExchanger(t, answer, answer, "HTTP/1.1 503 No\nAttempt: a\nNot-Run: 1\n"+b.String()+"Content-Length: 0\n\n")
	r := &reserver.Reserver{Limit: limit}
	account := r.Open()
	is.Equal(sendWithMemory(e, account, time.Second).Outcome.String(), OutcomeAnswered.String())
	is.True(r.Reserved() > fields*headchecker.FieldBytes)
	is.Equal(sendWithMemory(e, r.Open(), time.Second).Outcome.String(), OutcomeNoMemory.String())
	account.Close()
	is.Equal(r.Reserved(), int64(0))
	is.Equal(sendWithMemory(e, r.Open(), time.Second).Outcome.String(), OutcomeNotRun.String())
	is.Equal(r.Reserved(), int64(0))
}

// TestIdleAfterSlowAnswer guards against a connection that is not used again because a deadline of its last answer has passed.
func TestIdleAfterSlowAnswer(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(c net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			for _, part := range []string{"HTTP/1.1 200 OK\r\nAttempt: a\r\n", "Content-Length: 4\r\n\r\nab", "cd"} {
				_, _ = io.WriteString(c, part)
				time.Sleep(50 * time.Millisecond)
			}
		}
	})
	e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
	is.Equal(string(exchange(t, e, "a").Body), "abcd")
	time.Sleep(progressTime + maxHeadTime/4)
	is.Equal(string(exchange(t, e, "a").Body), "abcd")
	is.Equal(e.Opened.Load(), int64(1))
}

// TestLateSecondAnswer guards against a second copy of a refusal, which arrives late on a connection in use again, that is
// taken for the answer to another send of the same attempt, which runs.
func TestLateSecondAnswer(t *testing.T) {
	is := is.New(t)
	refusal := "HTTP/1.1 503 No\r\nAttempt: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	address := serveConns(t, func(c net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, refusal) // to a second send on this connection, the late copy
		}
	})
	e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
	is.Equal(exchange(t, e, "a").Outcome, OutcomeNotRun)
	is.Equal(exchange(t, e, "a").Outcome, OutcomeNotRun)
	is.Equal(e.Opened.Load(), int64(2))                        // each send on a connection that has not carried the attempt
	is.Equal(exchange(t, e, "b").Outcome, OutcomeContextEnded) // a refusal of another attempt is passed over
}

// TestManyEndless guards against upstreams that flood at the same time and together hold more than the limit of the process, and
// against an honest answer that finds no memory afterwards.
func TestManyEndless(t *testing.T) {
	const (
		upstreams = 100
		limit     = 16 << 20
		// maxHeld bounds the growth of the heap: the reserved bodies, their copies while they grow, the heads, and what the
		// collector has not collected yet.
		maxHeld = 8 * limit
	)
	is := is.New(t)
	r := &reserver.Reserver{Limit: limit}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), now.HeapAlloc))
		}
	}()
	var wg sync.WaitGroup
	for i := range upstreams {
		address := serveEndless(t, endlessAnswers[i%len(endlessAnswers)], 1<<14, 0)
		wg.Go(func() {
			e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 30}
			account := r.Open()
			defer account.Close()
			if res := sendWithMemory(e, account, 20*time.Second); res.Outcome == OutcomeAnswered {
				t.Error("an endless answer counts as whole")
			}
		})
	}
	wg.Wait()
	close(done)
	t.Logf("%d bytes at the peak above the start", peak.Load()-before.HeapAlloc)
	is.True(peak.Load() < before.HeapAlloc+maxHeld)
	is.Equal(r.Reserved(), int64(0))
	e := newExchanger(t, "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nok")
	is.Equal(string(sendWithMemory(e, r.Open(), time.Second).Body), "ok")
}

// FuzzAnswer guards against bytes of an upstream that end the process or are taken for a whole answer to another attempt.
func FuzzAnswer(f *testing.F) {
	for _, a := range endlessAnswers {
		f.Add([]byte(a.begin + a.repeat))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, text []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(text)
			_ = server.Close()
		}()
		source := &boundedSource{net: client}
		c := &conn{net: client, source: source, reader: bufio.NewReaderSize(source, bufferSize)}
		source.startAnswer(nil)
		request := Request{Attempt: "a", Message: hornbeamcroft.Message{Method: http.MethodGet}}
		res := c.readAnswer(request, headerNames, 1<<16)
		_ = client.Close()
		if res.Outcome == OutcomeAnswered && (!bytes.Contains(text, []byte("a")) || len(res.Body) > len(text)) {
			t.Errorf("%q is taken for an answer", text)
		}
	})
}
