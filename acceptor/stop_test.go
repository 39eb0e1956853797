package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/pipeliner"
	"hornbeamcroft/reserver"
)

// TestStopDuringRequest guards against a connection that a planned stop closes without a word: the answer to a request that the handler
// has begun before the stop must say that the connection closes, or the caller sends its next request into a closed connection.
func TestStopDuringRequest(t *testing.T) {
	is := is.New(t)
	s := start(t, 10)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { // decides on its header before the stop
		<-s.release
		w.WriteHeader(http.StatusOK)
	})
	c := s.dial(t, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	<-s.ended
	time.Sleep(10 * stopPollInterval) // the stop has looked at the connections
	close(s.release)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.True(resp.Close)
	is.NoErr(<-ended)
}

// TestLateRequest guards against a new connection that is closed for its idle time although its first request has arrived: here the
// goroutine that would read it does not run yet.
func TestLateRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	c, err := l.Accept()
	is.NoErr(err)
	a := &Acceptor{Limits: func() Limits { return Limits{} }, Heads: &reserver.Reserver{}, Ahead: &reserver.Reserver{}}
	acc := &accounts{heads: a.Heads.Open(), ahead: a.Ahead.Open()}
	p := &pipeliner.Pipeliner{Rules: &pipeliner.Rules{}, Conn: c, Memory: acc.heads, Ahead: acc.ahead}
	p.Init()
	a.conns = map[*pipeliner.Pipeliner]*accounts{p: acc}
	_, err = io.WriteString(client, "G")
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	late := time.Now().Add(2 * max(defaultHeadTime, defaultIdleTime))
	a.sweep(late)
	is.Equal(a.Late.Load(), int64(0))
	_, err = io.ReadFull(c, make([]byte, 1)) // the connection is open
	is.NoErr(err)
}
