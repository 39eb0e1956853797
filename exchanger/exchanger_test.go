package exchanger

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

var headerNames = HeaderNames{Attempt: "Attempt", NotRun: "Not-Run", Instance: "Instance", MisdirectedStatus: 421}

// newExchanger returns an Exchanger for a test upstream that answers each request, on any connection, with the next of
// the texts. An empty text sends nothing, and a text that ends in "close" closes the connection.
func newExchanger(t *testing.T, texts ...string) *Exchanger {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	answers := make(chan string, len(texts))
	for _, a := range texts {
		answers <- strings.ReplaceAll(a, "\n", "\r\n")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, answers)
		}
	}()
	return &Exchanger{Address: l.Addr().String(), HeaderNames: headerNames, MaxBody: 1 << 20}
}

// serveConn answers the requests of one connection with the next answers.
func serveConn(c net.Conn, answers <-chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := <-answers
		text, closeAfter := strings.CutSuffix(text, "close")
		if _, err := io.WriteString(c, text); err != nil || closeAfter {
			return
		}
	}
}

// exchange sends a GET request with the attempt id and a time limit of one second.
func exchange(t *testing.T, e *Exchanger, attempt string) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return e.Exchange(ctx, Request{
		Attempt: attempt, Message: hornbeamcroft.Message{
			Method: http.MethodGet, Host: "h", Target: "/", Header: []hornbeamcroft.Field{{Name: "Attempt", Value: attempt}},
		},
	})
}

// TestAnswers guards against accepting answers that are incomplete or belong to another request, and against concluding
// more from a refusal than the upstream stated.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		outcome      Outcome
		body         string
	}{
		{"whole", "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nok", OutcomeAnswered, "ok"},
		{"chunked", "HTTP/1.1 200 OK\nAttempt: a\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n", OutcomeAnswered, "ok"},
		{"without length", "HTTP/1.1 200 OK\nAttempt: a\nConnection: close\n\nokclose", OutcomeAnswered, "ok"},
		{"interim", "HTTP/1.1 103 Early Hints\n\nHTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nok", OutcomeAnswered, "ok"},
		{"cut", "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 9\n\nokclose", OutcomeMalformed, ""},
		{"truncated chunks", "HTTP/1.1 200 OK\nAttempt: a\nTransfer-Encoding: chunked\n\n2\nok\nclose", OutcomeMalformed, ""},
		{"of another attempt", "HTTP/1.1 200 OK\nAttempt: b\nContent-Length: 2\n\nnoclose", OutcomeLost, ""},
		{"preceded by that of another attempt", "HTTP/1.1 200 OK\nAttempt: b\nContent-Length: 2\n\nnoHTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nok", OutcomeAnswered, "ok"},
		{"not HTTP", "xyzzy\n\nclose", OutcomeMalformed, ""},
		{"lost", "close", OutcomeLost, ""},
		{"refused", "HTTP/1.1 503 No\nAttempt: a\nNot-Run: 1\nContent-Length: 0\n\n", OutcomeNotRun, ""},
		{"failed", "HTTP/1.1 503 No\nAttempt: a\nContent-Length: 0\n\n", OutcomeAnswered, ""},
		{"another instance", "HTTP/1.1 421 No\nAttempt: a\nInstance: i\nContent-Length: 0\n\n", OutcomeWrongInstance, ""},
		{"silent", "", OutcomeContextEnded, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			res := exchange(t, newExchanger(t, c.answer), "a")
			is.Equal(res.Outcome.String(), c.outcome.String())
			if c.outcome == OutcomeAnswered {
				is.Equal(string(res.Body), c.body)
			}
		})
	}
}

// TestExtraAnswer guards against taking a second answer to one request for the answer to the next request.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	twice := "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nno"
	e := newExchanger(t, twice, "HTTP/1.1 200 OK\nAttempt: b\nContent-Length: 4\n\ngood")
	is.Equal(string(exchange(t, e, "a").Body), "ok")
	time.Sleep(20 * time.Millisecond)
	second := exchange(t, e, "b")
	is.Equal(string(second.Body), "good")
	is.Equal(e.Opened.Load(), int64(2)) // the connection with the extra answer is not reused
}

// TestReuse guards against opening a connection for each request, and against reusing a connection that the upstream is
// about to close.
func TestReuse(t *testing.T) {
	is := is.New(t)
	ok := "HTTP/1.1 200 OK\nAttempt: a\nKeep-Alive: timeout=5\nContent-Length: 0\n\n"
	e := newExchanger(t, ok, ok, strings.Replace(ok, "timeout=5", "timeout=1", 1), ok)
	for _, opened := range []int64{1, 1, 1, 2} {
		is.Equal(exchange(t, e, "a").Outcome, OutcomeAnswered)
		is.Equal(e.Opened.Load(), opened)
	}
}

// TestHead guards against an answer to HEAD that counts as truncated because it names the length of the body that GET would have.
func TestHead(t *testing.T) {
	is := is.New(t)
	e := newExchanger(t, "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 5\n\n")
	res := e.Exchange(t.Context(), Request{
		Attempt: "a", Message: hornbeamcroft.Message{Method: http.MethodHead, Host: "h", Target: "/"},
	})
	is.Equal(res.Outcome.String(), OutcomeAnswered.String())
	is.Equal(len(res.Body), 0)
}
