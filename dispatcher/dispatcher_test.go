package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// rawUpstream listens on a local port and passes each connection, with its number from 0, to fn. It returns the
// address.
func rawUpstream(t *testing.T, fn func(n int, conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go fn(n, conn)
		}
	}()
	return l.Addr().String()
}

func open(address string) *Dispatcher {
	d := &Dispatcher{Address: address, Connections: 4, MaxBody: func() int { return 1 << 16 }}
	d.Open()
	return d
}

func call(body string) Request {
	return Request{Call: hornbeamcroft.Call{
		Service: "cash-office", Type: "deposit", Key: "k1", Body: []byte(body), Remaining: time.Second,
	}}
}

// TestNoTransparentResend guards against the HTTP client's own resend of a request with an Idempotency-Key when a
// reused connection breaks, which would run a deposit twice. It covers requests with and without a body.
func TestNoTransparentResend(t *testing.T) {
	for _, body := range []string{"", "deposit"} {
		is := is.New(t)
		var received atomic.Int64
		address := rawUpstream(t, func(_ int, conn net.Conn) {
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			for i := 0; ; i++ {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				received.Add(1)
				if i == 1 {
					return // the second request on the connection gets no answer
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			}
		})
		d := open(address)
		first := d.Run(context.Background(), call(body))
		is.Equal(first.Answer.Code, hornbeamcroft.CodeAnswered)
		second := d.Run(context.Background(), call(body))
		is.Equal(second.Answer.Code, hornbeamcroft.CodeOutcomeUnknown)
		is.True(second.ConnectionLost)
		is.Equal(received.Load(), int64(2)) // each Run reached the upstream once
	}
}

// TestClaims guards against answers that claim more than is known, for each point at which the exchange can break off.
func TestClaims(t *testing.T) {
	answers := []struct {
		name, raw string
		want      hornbeamcroft.Code
	}{
		{"closed before the answer", "", hornbeamcroft.CodeOutcomeUnknown},
		{"body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", hornbeamcroft.CodeAnswerTruncated},
		{"last chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", hornbeamcroft.CodeAnswerTruncated},
		{"end not marked", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", hornbeamcroft.CodeAnswerTruncated},
		{"upstream did not start", "HTTP/1.1 503 Busy\r\nHornbeam-Claim: not-run\r\nContent-Length: 0\r\n\r\n", hornbeamcroft.CodeUpstreamRefused},
		{"status that HTTP does not know", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", hornbeamcroft.CodeAnswerTruncated},
		{"status above those of HTTP", "HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n", hornbeamcroft.CodeAnswerTruncated},
		{"refusal with a status that HTTP does not know", "HTTP/1.1 000 Busy\r\nHornbeam-Claim: not-run\r\nContent-Length: 0\r\n\r\n", hornbeamcroft.CodeAnswerTruncated},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok", hornbeamcroft.CodeAnswerTruncated},
		{"space behind a name", "HTTP/1.1 503 Busy\r\nHornbeam-Claim : not-run\r\nContent-Length: 0\r\n\r\n", hornbeamcroft.CodeAnswerTruncated},
		{"space in the name of the length", "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok", hornbeamcroft.CodeAnswerTruncated},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\nok", hornbeamcroft.CodeOutcomeUnknown},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", hornbeamcroft.CodeAnswerTruncated},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", hornbeamcroft.CodeAnswered},
	}
	for _, tt := range answers {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := rawUpstream(t, func(_ int, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte(tt.raw))
				}
			})
			is.Equal(open(address).Run(context.Background(), call("x")).Answer.Code, tt.want)
		})
	}
}

// TestEndlessHead guards against an upstream that sends a head without end and fills the memory.
func TestEndlessHead(t *testing.T) {
	const maxAllocated = 8 << 20
	is := is.New(t)
	fields := bytes.Repeat([]byte("a:\r\n"), 1<<12)
	address := rawUpstream(t, func(_ int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		}
		for err == nil {
			_, err = conn.Write(fields)
		}
	})
	d := open(address)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	is.Equal(d.Run(context.Background(), call("x")).Answer.Code, hornbeamcroft.CodeOutcomeUnknown)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
}

// TestUnreachableIsNotRun guards against the claim "may have run" for a call that no upstream can have received.
func TestUnreachableIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	is.Equal(open(address).Run(context.Background(), call("x")).Answer.Code, hornbeamcroft.CodeUpstreamUnreachable)
}

// TestCancelWhileRunningIsUnknown guards against the claim "not run" for a call that was cancelled after it reached the
// upstream.
func TestCancelWhileRunningIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	address := rawUpstream(t, func(_ int, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			cancel()
		}
	})
	is.Equal(open(address).Run(ctx, call("x")).Answer.Code, hornbeamcroft.CodeCallerGone)
}

// TestCrashedSeesExitingListener guards against a crash that is mistaken for a lost connection, because the listener of
// a process that is exiting still accepts connections.
func TestCrashedSeesExitingListener(t *testing.T) {
	is := is.New(t)
	exiting := rawUpstream(t, func(_ int, conn net.Conn) { _ = conn.Close() })
	is.True(open(exiting).Crashed(context.Background()))
	alive := rawUpstream(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	is.True(!open(alive).Crashed(context.Background()))
}

// TestEarlierRefusal guards against a refusal that the upstream writes once more on a kept connection and that is taken for the
// answer to a later call, which the upstream runs.
func TestEarlierRefusal(t *testing.T) {
	for _, names := range []bool{true, false} { // whether the upstream's answers name the call
		for _, when := range []string{"before the call", "after the call"} {
			is := is.New(t)
			address := rawUpstream(t, func(_ int, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				copied := ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					name := ""
					if names {
						name = "Hornbeam-Call: " + r.Header.Get(HeaderCall) + "\r\n"
					}
					if r.Header.Get(HeaderCall) == "c1" {
						copied = "HTTP/1.1 503 Busy\r\n" + name + "Hornbeam-Claim: not-run\r\nContent-Length: 0\r\n\r\n"
						_, _ = io.WriteString(conn, copied)
						if when == "before the call" {
							time.Sleep(10 * time.Millisecond)
							_, _ = io.WriteString(conn, copied)
							copied = ""
						}
						continue
					}
					_, _ = io.WriteString(conn, copied)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+name+"Content-Length: 2\r\n\r\nok")
				}
			})
			d := open(address)
			first, second := call("a"), call("b")
			first.Token, second.Token = "c1", "c2"
			is.Equal(d.Run(context.Background(), first).Answer.Code, hornbeamcroft.CodeUpstreamRefused)
			time.Sleep(30 * time.Millisecond)
			code := d.Run(context.Background(), second).Answer.Code
			if when == "before the call" {
				is.Equal(code, hornbeamcroft.CodeAnswered) // the connection with the copy is not used
				continue
			}
			is.True(code.Claim() != hornbeamcroft.ClaimNotRun)
			third := call("c")
			third.Token = "c3"
			is.Equal(d.Run(context.Background(), third).Answer.Code, hornbeamcroft.CodeAnswered) // nor is it used afterwards
		}
	}
}

// TestRefusalOnKeptConnection guards against an upstream whose true refusals do not count because its connection is kept.
func TestRefusalOnKeptConnection(t *testing.T) {
	is := is.New(t)
	address := rawUpstream(t, func(_ int, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nHornbeam-Call: "+r.Header.Get(HeaderCall)+
				"\r\nHornbeam-Claim: not-run\r\nContent-Length: 0\r\n\r\n")
		}
	})
	d := open(address)
	for _, token := range []string{"c1", "c2", "c3"} {
		q := call("a")
		q.Token = token
		is.Equal(d.Run(context.Background(), q).Answer.Code, hornbeamcroft.CodeUpstreamRefused)
	}
}

// TestCutAnswer guards against an answer that the upstream cuts anywhere, in the middle of its head as well, and that counts as
// whole with an empty or short body.
func TestCutAnswer(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nHornbeam-Claim: not-run\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Type: text/plain\r\n\r\n",
	} {
		for cut := range len(whole) {
			address := rawUpstream(t, func(_ int, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, whole[:cut])
				}
			})
			code := open(address).Run(context.Background(), call("x")).Answer.Code
			if code == hornbeamcroft.CodeAnswered || code.Claim() == hornbeamcroft.ClaimNotRun {
				t.Errorf("cut after %q: %s", whole[:cut], code)
			}
		}
	}
}
