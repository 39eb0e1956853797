package acceptor

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeadsBehindRequests guards against callers that keep all memory for heads with heads behind requests that run: their connections
// are not closed for others, so that all other callers would be rejected for as long as those requests run.
func TestHeadsBehindRequests(t *testing.T) {
	const slow, end = "GET /slow HTTP/1.1\r\nHost: h\r\n", "\r\n"
	for name, behind := range map[string]string{
		"unfinished": slow + "X: " + strings.Repeat("x", 30<<10),
		"complete":   "POST /n HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n" + strings.Repeat("a:\r\n", 110) + end,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, 20)
			for range 4 {
				s.dial(t, slow+end+behind)
			}
			c := s.dial(t, "GET /a HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 4<<10)+"\r\n\r\n")
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			close(s.release)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}
