package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft/reserver"
)

// server is an Acceptor whose handler records the paths that it has served. Requests of /slow wait for release.
type server struct {
	Acceptor
	release  chan struct{}
	stopping atomic.Bool
	served   sync.Map
}

// start starts a server that accepts maxConns connections and reserves heads from 72 KiB.
func start(t *testing.T, maxConns int) *server {
	t.Helper()
	s := &server{release: make(chan struct{})}
	s.Acceptor = Acceptor{
		Address: "127.0.0.1:0", MaxConns: maxConns, MaxAhead: 16,
		Limits: func() Limits {
			return Limits{Configured: true, HeadBytes: 40 << 10, HeadTime: 300 * time.Millisecond, IdleTime: time.Second}
		},
		RunsAhead: func(*http.Request) bool { return true },
		Heads:     &reserver.Reserver{Limit: 72 << 10}, Ahead: &reserver.Reserver{Limit: 1 << 20},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/slow":
				<-s.release
			case "/body":
				_, _ = io.ReadAll(r.Body)
			case "/large":
				_, _ = w.Write(make([]byte, 32<<20))
			}
			s.served.Store(r.URL.Path, true)
			time.Sleep(2 * time.Millisecond)
			if s.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}),
	}
	if err := s.Open(func(err error) { t.Error(err) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

// dial opens a connection and sends the text.
func (s *server) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	time.Sleep(10 * time.Millisecond) // the server has read it
	return c
}

// get returns the text of a request.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// isOpen reports whether the server has not closed the connection within a short time.
func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}

// answers reports whether the request is answered on the connection.
func answers(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestEvictedForConnections guards against a crowd of connections that keeps others out, and against requests that are cut off for it.
func TestEvictedForConnections(t *testing.T) {
	is := is.New(t)
	s := start(t, 4)
	served := s.dial(t, get("/slow"))
	idle := s.dial(t, get("/"))
	is.True(answers(idle))
	first, second := s.dial(t, "G"), s.dial(t, "")
	s.dial(t, "G")
	is.True(!isOpen(first))
	is.True(isOpen(second))
	for range 8 {
		is.True(answers(s.dial(t, get("/"))))
		time.Sleep(recentTime)
	}
	is.True(!isOpen(second))
	is.True(!isOpen(idle))
	is.True(s.Evicted.Load() >= 9)
	close(s.release)
	is.True(answers(served))
}

// TestEvictedWithoutReading guards against callers that do not read their answers, or do not end their bodies, and keep others out.
func TestEvictedWithoutReading(t *testing.T) {
	is := is.New(t)
	s := start(t, 3)
	unsent := s.dial(t, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	served, unread := s.dial(t, get("/slow")), s.dial(t, get("/large"))
	is.True(!answers(s.dial(t, get("/")))) // not at once
	time.Sleep(stallTime + 500*time.Millisecond)
	s.dial(t, get("/slow"))
	is.True(!isOpen(unsent))
	is.True(answers(s.dial(t, get("/"))))
	_ = unread.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(unread), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil)
	close(s.release)
	is.True(answers(served))
}

// TestBusyCallers guards against callers that send request after request on all connections and keep others out, and against a request
// that is lost when such a connection closes.
func TestBusyCallers(t *testing.T) {
	is := is.New(t)
	s := start(t, 16)
	var callers sync.WaitGroup
	var stop atomic.Bool
	for range 16 {
		c := s.dial(t, strings.Repeat(get("/"), 3))
		callers.Go(func() {
			reader := bufio.NewReader(c)
			for {
				_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.Close || stop.Load() {
					return
				}
				_, _ = io.WriteString(c, get("/"))
			}
		})
	}
	for range 5 {
		c := s.dial(t, get("/"))
		is.True(answers(c))
		_ = c.Close()
	}
	stop.Store(true)
	callers.Wait()
}

// TestEvictedForMemory guards against unfinished heads that take all memory, and against requests that are cut off for it.
func TestEvictedForMemory(t *testing.T) {
	is := is.New(t)
	s := start(t, 100)
	served := s.dial(t, get("/slow"))
	field := get("/")[:len(get("/"))-2] + "X: "
	first := s.dial(t, field+strings.Repeat("x", 9<<10)) // takes 16 KiB
	small := s.dial(t, "GET ")
	second := s.dial(t, field+strings.Repeat("x", 9<<10))
	large := s.dial(t, field+strings.Repeat("x", 17<<10)+"\r\n\r\n") // takes 32 KiB, 48 KiB while it grows, and 19 KiB parsed
	is.True(answers(large))
	is.True(!isOpen(first))
	is.True(isOpen(second))
	is.True(isOpen(small))
	close(s.release)
	is.True(answers(served))
	is.True(s.Heads.Reserved() <= 72<<10)
}

// TestSlowConnections guards against heads and idle connections that are kept beyond the configured times, and against a head whose
// time counts from the opening of its connection.
func TestSlowConnections(t *testing.T) {
	is := is.New(t)
	s := start(t, 100)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	idle, slow, late := s.dial(t, ""), s.dial(t, "GET"), s.dial(t, "")
	time.Sleep(700 * time.Millisecond)
	is.True(!isOpen(slow))
	is.True(isOpen(idle))
	_, _ = io.WriteString(late, "GET / HTTP/1.1\r\n")
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(late, "Host: h\r\n\r\n")
	is.True(answers(late))
	time.Sleep(700 * time.Millisecond)
	is.True(!isOpen(idle))
}

// TestPipelinedStop guards against a planned stop that cuts off requests which were taken, and against requests behind a closing answer
// that were passed on: callers send several requests on each connection before they read.
func TestPipelinedStop(t *testing.T) {
	const (
		callers = 32
		length  = 5
	)
	s := start(t, 1000)
	var answered, refused atomic.Int64
	var wg sync.WaitGroup
	address := s.listener.Addr().String()
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ; i++ {
				c, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				var b strings.Builder
				for j := range length {
					b.WriteString(get(fmt.Sprintf("/%d/%d/%d", caller, i, j)))
				}
				begin := time.Now()
				_, _ = io.WriteString(c, b.String())
				if time.Since(begin) > 100*time.Millisecond {
					return // held up: a stop may have closed the new connection
				}
				n := readAnswers(c)
				_ = c.Close()
				answered.Add(int64(n))
				if n == 0 {
					t.Errorf("no answer on connection %d of caller %d", i, caller)
					return
				}
				for j := n; j < length; j++ {
					refused.Add(1)
					if _, ok := s.served.Load(fmt.Sprintf("/%d/%d/%d", caller, i, j)); ok {
						t.Errorf("request %d of %d was run and not answered", j, length)
					}
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if s.Heads.Reserved() != 0 || s.Ahead.Reserved() != 0 || s.InFlight() != 0 {
		t.Errorf("%d and %d bytes reserved, %d requests in flight", s.Heads.Reserved(), s.Ahead.Reserved(), s.InFlight())
	}
	t.Logf("%d answered, %d behind a closing answer", answered.Load(), refused.Load())
}

// readAnswers reads answers up to one that closes the connection, or to the last, and returns their number.
func readAnswers(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		if n == 5 {
			return n
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return n
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return n
		}
		if resp.Close {
			return n + 1
		}
	}
}
