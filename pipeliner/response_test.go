package pipeliner

import (
	"fmt"
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

// TestLengthField guards against a length in the head that the body does not have: the client would take the bytes behind the body for
// the next answer, or wait for more.
func TestLengthField(t *testing.T) {
	for _, c := range []struct {
		method string
		status int
		length []string
		want   string
	}{
		{"GET", 200, []string{"2"}, "2"},
		{"GET", 200, []string{"many"}, "2"},
		{"GET", 200, []string{"2", "3"}, "2"},
		{"GET", 200, nil, "2"},
		{"GET", 204, []string{"2"}, ""},
		{"GET", 101, []string{"2"}, ""},
		{"GET", 304, []string{"2"}, "2"},
		{"HEAD", 200, []string{"7"}, "7"},
		{"HEAD", 200, []string{"-1"}, ""},
	} {
		t.Run(fmt.Sprint(c.method, c.status, c.length), func(t *testing.T) {
			is := is.New(t)
			text := c.method + " / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
			answer := exchangeOnce(t, text, func(w http.ResponseWriter, _ *http.Request) {
				if c.length != nil {
					w.Header()["Content-Length"] = c.length
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, "ok")
			})
			is.True(strings.HasPrefix(answer, fmt.Sprintf("HTTP/1.1 %d ", c.status)))
			var got []string
			for line := range strings.Lines(answer) {
				if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
					got = append(got, strings.TrimSpace(value))
				}
			}
			is.Equal(strings.Join(got, ","), c.want)
		})
	}
}

// TestTrailer guards against trailers that the handler does not see.
func TestTrailer(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nTotal: 2\r\n\r\n"
	answer := exchangeOnce(t, request, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, string(body)+r.Trailer.Get("Total"))
	})
	is.New(t).True(strings.HasSuffix(answer, "\r\n\r\nhi2"))
}
