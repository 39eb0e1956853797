package acceptor

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
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
