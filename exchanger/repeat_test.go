package exchanger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusal returns an answer that states that the attempt did not run.
func refusal(status int, attempt string) string {
	id := ""
	if attempt != "" {
		id = "Attempt: " + attempt + "\r\n"
	}
	return "HTTP/1.1 " + strconv.Itoa(status) + " No\r\n" + id + "Not-Run: 1\r\nInstance: i\r\nContent-Length: 0\r\n\r\n"
}

// repeats are what a faulty upstream writes on a connection after it has refused the attempt "a" there, before it answers "b".
var repeats = []struct {
	name, text string
	// outcome is that of "b".
	outcome Outcome
}{
	{"refusal", refusal(503, "a"), OutcomeAnswered},
	{"refusal twice", refusal(503, "a") + refusal(503, "a"), OutcomeAnswered},
	{"other status", refusal(429, "a"), OutcomeAnswered},
	{"misdirected", refusal(421, "a"), OutcomeAnswered},
	{"without id", refusal(503, ""), OutcomeAnswered},
	{"misdirected, without id", refusal(421, ""), OutcomeAnswered},
	{"more than are skipped", strings.Repeat(refusal(503, "a"), maxSkippedAnswers+1), OutcomeMalformed},
}

// TestEarlierRefusal guards against a refusal that the upstream writes once more on a kept connection and that is taken for the
// answer to a later request, which the upstream runs. The copy comes before the request, right after it, or in parts.
func TestEarlierRefusal(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range repeats {
		for _, when := range []string{"with the first", "before the request", "after the request", "in parts"} {
			t.Run(c.name+", "+when, func(t *testing.T) {
				is := is.New(t)
				address := serveConns(t, func(conn net.Conn, reader *bufio.Reader) {
					rest := ""
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						if r.Header.Get("Attempt") == "a" {
							rest = writeRefused(conn, c.text, when)
							continue
						}
						_, _ = io.WriteString(conn, rest)
						time.Sleep(20 * time.Millisecond)
						_, _ = io.WriteString(conn, answer)
					}
				})
				e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
				is.Equal(exchange(t, e, "a").Outcome, OutcomeNotRun)
				time.Sleep(20 * time.Millisecond)
				res := exchange(t, e, "b")
				is.True(res.Outcome != OutcomeNotRun && res.Outcome != OutcomeWrongInstance)
				if when != "after the request" {
					is.Equal(res.Outcome, OutcomeAnswered) // the connection with the copy is not used
					return
				}
				is.Equal(res.Outcome, c.outcome)
			})
		}
	}
}

// writeRefused refuses the attempt "a", writes what follows it at once, and returns what comes after the next request.
func writeRefused(conn net.Conn, text, when string) string {
	first := refusal(503, "a")
	switch when {
	case "with the first":
		_, _ = io.WriteString(conn, first+text)
	case "before the request":
		_, _ = io.WriteString(conn, first)
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(conn, text)
	case "in parts":
		_, _ = io.WriteString(conn, first+text[:len(text)/2])
		return text[len(text)/2:]
	default:
		_, _ = io.WriteString(conn, first)
		return text
	}
	return ""
}

// TestRefusalsForgotten guards against a connection on which an attempt is sent again after so many others that its refusal is
// forgotten, so that a late copy of that refusal counts.
func TestRefusalsForgotten(t *testing.T) {
	is := is.New(t)
	var conns sync.Map
	address := serveConns(t, func(conn net.Conn, reader *bufio.Reader) {
		carried := make(map[string]bool)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			attempt := r.Header.Get("Attempt")
			if carried[attempt] {
				conns.Store(attempt, true)
			}
			carried[attempt] = true
			_, _ = io.WriteString(conn, refusal(503, attempt))
		}
	})
	e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
	const attempts = maxRefusedAttempts + 10
	for range 2 {
		for i := range attempts {
			is.Equal(exchange(t, e, strconv.Itoa(i)).Outcome, OutcomeNotRun)
		}
	}
	conns.Range(func(attempt, _ any) bool {
		t.Errorf("attempt %s was sent twice on one connection", attempt)
		return false
	})
	is.True(e.Opened.Load() <= 2*(1+2*attempts/maxRefusedAttempts)) // connections are kept otherwise
}

// wholeAnswers are answers, each cut at every byte by TestCutAnswer.
var wholeAnswers = []string{
	"HTTP/1.1 200 OK\r\nAttempt: a\r\nServer-Signature: s\r\nContent-Length: 12\r\n\r\nhello, world",
	"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nServer-Signature: s\r\nAttempt: a\r\n\r\nhello, world",
	"HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nAttempt: a\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 12\r\n\r\nhello, world",
	"HTTP/1.1 204 No Content\r\nAttempt: a\r\nServer-Signature: s\r\n\r\n",
	"HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 12\n\nhello, world",
}

// TestCutAnswer guards against an answer that the upstream cuts anywhere, in the middle of its head as well, and that counts as
// whole with an empty or short body.
func TestCutAnswer(t *testing.T) {
	for _, whole := range wholeAnswers {
		for cut := range len(whole) {
			is := is.New(t)
			address := serveConns(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, whole[:cut])
				}
			})
			e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
			res := exchange(t, e, "a")
			if res.Outcome == OutcomeAnswered || res.Outcome == OutcomeNotRun || res.Outcome == OutcomeNotSent {
				t.Errorf("cut after %q: outcome %s, status %d, body %q", whole[:cut], res.Outcome, res.Status, res.Body)
			}
			_, idle := e.Counts()
			is.Equal(idle, 0)
		}
	}
}
