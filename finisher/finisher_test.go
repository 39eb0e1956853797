package finisher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var (
	// errNotAccepted means that the caller did not get a connection.
	errNotAccepted = errors.New("not accepted")
	// errLate means that the caller began its request, because it was held up, later than a new connection is kept open for.
	errLate = errors.New("request begun too late")
)

// server is an HTTP server that answers each request after a short time.
type server struct {
	Finisher
	address string
	served  atomic.Int64
}

// startServer starts a server. Its responses have "Connection: close" once it finishes.
func startServer(t *testing.T) *server {
	t.Helper()
	cfg := net.ListenConfig{}
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	s.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		if s.Finished() {
			w.Header().Set("Connection", "close")
		}
		s.served.Add(1)
		_, _ = io.WriteString(w, "ok")
	})}
	s.Attach()
	go s.Run(func() { _ = s.Server.Serve(l) })
	return s
}

// request sends one request on a connection of its own. An error states how long after the start of the handshake the request was
// sent.
func request(address string) error {
	begin := time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return errNotAccepted
	}
	defer func() { _ = c.Close() }()
	dialed := time.Since(begin)
	err = requestOn(c)
	switch {
	case err != nil && dialed > firstRequestTime:
		return errLate
	case err != nil:
		return fmt.Errorf("connected after %s: %w", dialed, err)
	}
	return nil
}

// requestOn sends one request on the connection and reads the answer.
func requestOn(c net.Conn) error {
	begin := time.Now()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return fmt.Errorf("sending took %s: %w", time.Since(begin), err)
	}
	sent := time.Since(begin)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Errorf("sent after %s: %w", sent, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "ok" {
		return fmt.Errorf("body %q: %w", body, err)
	}
	return nil
}

// TestStopUnderLoad guards against a planned stop that cuts off requests that were just accepted: callers open a connection
// for each request, and all whose connection is open must get their answer.
func TestStopUnderLoad(t *testing.T) {
	const (
		stops   = 40
		callers = 64
	)
	var sent, late atomic.Int64
	for i := range stops {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			s := startServer(t)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for {
						err := request(s.address)
						switch {
						case errors.Is(err, errLate):
							late.Add(1)
							return
						case errors.Is(err, errNotAccepted):
							return
						}
						sent.Add(1)
						if err != nil {
							t.Errorf("a request that was sent got no answer: %v", err)
							return
						}
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := s.Finish(ctx); err != nil {
				t.Error(err)
			}
			wg.Wait()
		})
	}
	t.Cleanup(func() { t.Logf("%d requests, %d begun too late", sent.Load(), late.Load()) })
}

// TestOpenConnections guards against a stop that waits for connections without a request, and against one that cuts off a
// request which arrives slowly on a new or a kept connection.
func TestOpenConnections(t *testing.T) {
	is := is.New(t)
	s := startServer(t)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		return c
	}
	silent, slow, kept := dial(), dial(), dial()
	is.NoErr(requestOn(kept))
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	done := make(chan error)
	go func() { done <- s.Finish(t.Context()) }()
	time.Sleep(2 * firstRequestTime / 5)
	_, err = io.WriteString(slow, "Host: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
	is.True(resp.Close)
	is.NoErr(<-done)
	for _, c := range []net.Conn{silent, kept} {
		_, err := c.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}
	is.True(errors.Is(request(s.address), errNotAccepted))
}

// TestBoundedStop guards against a stop that waits for a request without end.
func TestBoundedStop(t *testing.T) {
	is := is.New(t)
	s := startServer(t)
	c, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }() // without a use below, the collector would close it
	_, err = io.WriteString(c, "GET / HT")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	is.True(errors.Is(s.Finish(ctx), context.DeadlineExceeded))
}
