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

var names = Names{Attempt: "Attempt", NotRun: "Not-Run", Instance: "Instance", MisdirectedStatus: 421}

// upstream answers the requests of each connection with the given texts in turn; "close" ends the connection. An empty
// text is no answer.
func upstream(t *testing.T, answers ...string) *Exchanger {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- strings.ReplaceAll(a, "\n", "\r\n")
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, next)
		}
	}()
	return &Exchanger{Address: l.Addr().String(), Names: names, MaxBody: 1 << 20}
}

func answer(c net.Conn, next <-chan string) {
	defer func() { _ = c.Close() }()
	read := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := <-next
		text, ends := strings.CutSuffix(text, "close")
		if _, err := io.WriteString(c, text); err != nil || ends {
			return
		}
	}
}

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

// TestAnswers guards against answers that are passed on though they are not whole or belong to another request, and against
// refusals that are taken for more than the upstream said.
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
		{"cut", "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 9\n\nokclose", OutcomeSpoilt, ""},
		{"cut chunks", "HTTP/1.1 200 OK\nAttempt: a\nTransfer-Encoding: chunked\n\n2\nok\nclose", OutcomeSpoilt, ""},
		{"of another", "HTTP/1.1 200 OK\nAttempt: b\nContent-Length: 2\n\nnoclose", OutcomeLost, ""},
		{"of another before", "HTTP/1.1 200 OK\nAttempt: b\nContent-Length: 2\n\nnoHTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nok", OutcomeAnswered, "ok"},
		{"no answer", "xyzzy\n\nclose", OutcomeSpoilt, ""},
		{"lost", "close", OutcomeLost, ""},
		{"refused", "HTTP/1.1 503 No\nAttempt: a\nNot-Run: 1\nContent-Length: 0\n\n", OutcomeNotRun, ""},
		{"failed", "HTTP/1.1 503 No\nAttempt: a\nContent-Length: 0\n\n", OutcomeAnswered, ""},
		{"another instance", "HTTP/1.1 421 No\nAttempt: a\nInstance: i\nContent-Length: 0\n\n", OutcomeWrongInstance, ""},
		{"silent", "", OutcomeEnded, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			res := exchange(t, upstream(t, c.answer), "a")
			is.Equal(res.Outcome.String(), c.outcome.String())
			if c.outcome == OutcomeAnswered {
				is.Equal(string(res.Body), c.body)
			}
		})
	}
}

// TestExtraAnswer guards against a second answer that is taken for that of the next request.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	twice := "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nAttempt: a\nContent-Length: 2\n\nno"
	e := upstream(t, twice, "HTTP/1.1 200 OK\nAttempt: b\nContent-Length: 4\n\ngood")
	is.Equal(string(exchange(t, e, "a").Body), "ok")
	time.Sleep(20 * time.Millisecond)
	second := exchange(t, e, "b")
	is.Equal(string(second.Body), "good")
	is.Equal(e.Opened.Load(), int64(2)) // the connection with the extra answer is not used again
}

// TestReuse guards against a new connection for each request, and against one that the upstream is about to close.
func TestReuse(t *testing.T) {
	is := is.New(t)
	ok := "HTTP/1.1 200 OK\nAttempt: a\nKeep-Alive: timeout=5\nContent-Length: 0\n\n"
	e := upstream(t, ok, ok, strings.Replace(ok, "timeout=5", "timeout=1", 1), ok)
	for _, opened := range []int64{1, 1, 1, 2} {
		is.Equal(exchange(t, e, "a").Outcome, OutcomeAnswered)
		is.Equal(e.Opened.Load(), opened)
	}
}
