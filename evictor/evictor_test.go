package evictor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// client opens a connection to the server and sends the text.
func client(t *testing.T, s *httptest.Server, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	time.Sleep(20 * time.Millisecond) // the server has read it
	return c
}

// status reads an answer and returns its status; zero if the connection was closed, -1 if there is no answer yet.
func status(c net.Conn, wait time.Duration) int {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	var timeout net.Error
	switch {
	case err == nil:
		_ = resp.Body.Close()
		return resp.StatusCode
	case asTimeout(err, &timeout):
		return -1
	}
	return 0
}

func asTimeout(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	*target = e
	return ok && e.Timeout()
}

// TestEvictionOrder guards against connections beyond the limit, against an unfinished body that holds its connection, and against a
// request that is cut off while it is served.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	evicted := 0
	v := &Evictor{MaxConns: 4, MaxBody: 100, OnEvict: func() { evicted++ }}
	s := httptest.NewUnstartedServer(v.Wrap(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}))
	v.Attach(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	served := client(t, s, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	idle := client(t, s, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.Equal(status(idle, time.Second), http.StatusOK)
	unfinishedBody := client(t, s, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	unfinishedHead := client(t, s, "GET / HT")
	client(t, s, "G")
	is.Equal(status(unfinishedBody, time.Second), 0)
	is.Equal(status(unfinishedHead, 10*time.Millisecond), -1)
	client(t, s, "G")
	is.Equal(status(unfinishedHead, time.Second), 0)
	is.Equal(status(idle, 10*time.Millisecond), -1)
	for range 6 {
		c := client(t, s, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.Equal(status(c, time.Second), http.StatusOK)
	}
	is.Equal(status(idle, time.Second), 0) // evicted after all unfinished ones
	v.mu.Lock()
	is.True(evicted >= 8)
	v.mu.Unlock()
	close(release)
	is.Equal(status(served, time.Second), http.StatusOK)
}

// TestBodyLimit guards against a body beyond the limit that is held in memory.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	v := &Evictor{MaxConns: 4, MaxBody: 100}
	s := httptest.NewUnstartedServer(v.Wrap(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	v.Attach(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	for size, want := range map[int]int{100: http.StatusOK, 101: http.StatusRequestEntityTooLarge} {
		text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		is.Equal(status(client(t, s, text), time.Second), want)
	}
}
