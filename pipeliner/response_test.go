package pipeliner

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// exchangeOnce sends a request to a handler and returns all that arrives until the connection ends.
func exchangeOnce(t *testing.T, request string, handler http.HandlerFunc) string {
	w := open(t, Rules{Handler: handler})
	_, _ = io.WriteString(w.client, request)
	_ = w.client.SetReadDeadline(time.Now().Add(waitTime))
	b, err := io.ReadAll(w.reader)
	is.New(t).NoErr(err)
	return string(b)
}

// TestShortEnd guards against a body of unknown length whose short last part is lost because it is sent without chunks.
func TestShortEnd(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("x", 3*bufferBytes)
	answer := exchangeOnce(t, "GET / HTTP/1.0\r\n\r\n", func(w http.ResponseWriter, _ *http.Request) {
		for _, part := range []string{large, "a", large, "b"} {
			_, _ = io.WriteString(w, part)
		}
	})
	_, body, _ := strings.Cut(answer, "\r\n\r\n")
	is.True(body == large+"a"+large+"b")
}
