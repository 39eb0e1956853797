package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// maxHeld is the most that a process may hold of one streamed answer.
	maxHeld = 512 << 10
	// streamRouteTimeout is the timeout of the route with large answers.
	streamRouteTimeout = 30 * time.Second
)

// largeUpstream answers with bodies whose byte i is byte(i). Targets end in the length, "c" for a body without a declared length, and
// optionally the number of bytes after which it breaks off, for example "/get/1000000c500000".
type largeUpstream struct {
	instance string
	written  atomic.Int64
	running  atomic.Int64
	// pause is the time between two writes of 64 KiB in nanoseconds.
	pause atomic.Int64
}

func (u *largeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.URL.Path == worker.HealthPath {
		return
	}
	u.running.Add(1)
	defer u.running.Add(-1)
	u.written.Store(0)
	text, broken, chunked := strings.Cut(strings.TrimPrefix(r.URL.Path, "/get/"), "c")
	length, _ := strconv.Atoi(text)
	end, _ := strconv.Atoi(broken)
	w.Header().Set("Server-Signature", "s")
	if !chunked {
		w.Header().Set("Content-Length", text)
	}
	part := make([]byte, 64<<10)
	for i := range part {
		part[i] = byte(i)
	}
	for at := 0; at < length; at += len(part) {
		if end > 0 && at >= end {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part[:min(len(part), length-at)]); err != nil {
			return
		}
		u.written.Add(int64(len(part)))
		time.Sleep(time.Duration(u.pause.Load()))
	}
}

// streamPair is an ingress without an upstream and a last hop with the upstream, both with an account of 8 MiB for bodies.
type streamPair struct {
	ingress, lastHop *node
	upstream         *largeUpstream
	nextID           atomic.Int64
}

// startStreamNode starts a node of the name with the smallest memory. Its upstream is at the address unless that is empty.
func startStreamNode(t *testing.T, program, name, store, upstream string) *node {
	t.Helper()
	is := is.New(t)
	n := &node{ingress: freeAddress(t), announcements: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t)}
	text := fmt.Sprintf("[agent]\nname = %s\nzone = z\nmemory-mb = 32\nbounds = graceS=6\nway-in = %s\nannouncements = %s\nreadiness = %s\n"+
		"metrics = %s\nlinks = %s\n", name, n.ingress, n.announcements, n.readiness, n.metrics, freeAddress(t))
	if upstream != "" {
		text += "service = s\nupstream = " + upstream + "\n"
	}
	text += "[platform-store]\naddress = " + store + "\n"
	path := filepath.Join(t.TempDir(), "agent.ini")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "node.log"))
	is.NoErr(err)
	n.log = log.Name()
	n.cmd = exec.Command(program, "agent", "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	is.NoErr(n.cmd.Start())
	t.Cleanup(func() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("%s: %s", name, data)
		}
	})
	return n
}

func startStreams(t *testing.T) *streamPair {
	t.Helper()
	s := &streamPair{upstream: &largeUpstream{}}
	server := httptest.NewServer(s.upstream)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	w := &worker.Worker{Service: "s", Zone: "z", Slots: 4, Announced: strings.TrimPrefix(server.URL, "http://")}
	s.ingress, s.lastHop = startHops(t, w, []operator.Route{{
		Name: "get", Host: routeHost, Prefix: "/get/", Service: "s", Idempotent: true, Timeout: streamRouteTimeout, Objective: time.Second,
	}})
	for _, n := range []*node{s.ingress, s.lastHop} {
		n.await(t, func() bool {
			resp, err := s.get(t.Context(), n, "/get/1000", time.Second)
			if err != nil {
				return false
			}
			defer func() { _ = resp.Body.Close() }()
			return resp.StatusCode == http.StatusOK
		})
	}
	return s
}

// get sends a request for the target to the node on a connection of its own.
func (s *streamPair) get(ctx context.Context, n *node, target string, remaining time.Duration) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ingress+target, nil)
	if err != nil {
		return nil, err
	}
	r.Host = routeHost
	r.Header.Set(caller.HeaderAttempt, fmt.Sprintf("l%d", s.nextID.Add(1)))
	r.Header.Set(caller.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
}

// read reads a body to its end, checks its bytes and returns their number. It calls each after every MiB.
func read(t *testing.T, r io.Reader, each func()) (int, error) {
	t.Helper()
	buf := make([]byte, 1<<20)
	for total := 0; ; {
		n, err := io.ReadFull(r, buf)
		for i, b := range buf[:n] {
			if b != byte(total+i) {
				t.Fatalf("wrong byte at %d", total+i)
			}
		}
		if total += n; err == io.EOF || err == io.ErrUnexpectedEOF && n > 0 {
			_, err = r.Read(buf) // io.EOF only if the body is complete
			if err == io.EOF {
				return total, nil
			}
		}
		if err != nil {
			return total, err
		}
		each()
	}
}

// held returns the most that one of the nodes holds of bodies now.
func (s *streamPair) held(t *testing.T) int {
	t.Helper()
	a, _ := strconv.Atoi(s.ingress.metric(t, "way-in/body-bytes"))
	b, _ := strconv.Atoi(s.lastHop.metric(t, "way-in/body-bytes"))
	return max(a, b)
}

// TestStreams guards against large answers that take memory with their length, arrive incomplete and look complete, or are worked on
// although nobody waits for them. Callers are at the ingress and at the last hop.
func TestStreams(t *testing.T) {
	s := startStreams(t)
	for _, tt := range []struct {
		name, target string
		pause        time.Duration
		remaining    time.Duration
		whole        int
	}{
		{"whole", "/get/104857607", 0, streamRouteTimeout, 104857607},
		{"whole, without length", "/get/104857607c", 0, streamRouteTimeout, 104857607},
		{"broken off", "/get/5000000c3000000", 0, streamRouteTimeout, 0},
		{"deadline", "/get/100000000c", 20 * time.Millisecond, time.Second, 0},
		{"caller leaves", "/get/100000000", 0, streamRouteTimeout, -1},
	} {
		for _, n := range []*node{s.ingress, s.lastHop} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				s.upstream.pause.Store(int64(tt.pause))
				resp, err := s.get(t.Context(), n, tt.target, tt.remaining)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				most := 0
				if tt.whole < 0 {
					time.Sleep(500 * time.Millisecond) // it reads nothing
					most = s.held(t)
					_ = resp.Body.Close()
				} else {
					got, err := read(t, resp.Body, func() { most = max(most, s.held(t)) })
					is.Equal(err == nil && got == tt.whole, tt.whole > 0)
				}
				_ = resp.Body.Close()
				is.True(most <= maxHeld && (most > 0 || tt.whole == 0))
				s.lastHop.await(t, func() bool {
					return s.upstream.running.Load() == 0 && s.held(t) == 0 && s.lastHop.metric(t, "upstream/running") == "0"
				})
			})
		}
	}
	t.Run("pipelined", s.pipelined)
	t.Run("last hop killed", s.lastHopKilled)
}

// pipelined has several large answers on one connection, whose client reads nothing for a while.
func (s *streamPair) pipelined(t *testing.T) {
	is := is.New(t)
	s.upstream.pause.Store(0)
	// size is more than the kernel may hold of a body on its way.
	const size, count = 24 << 20, 3
	c, err := net.Dial("tcp", s.ingress.ingress)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for range count {
		_, err = fmt.Fprintf(c, "GET /get/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: l%d\r\nDeadline-Ms: 20000\r\n\r\n",
			size, routeHost, s.nextID.Add(1))
		is.NoErr(err)
	}
	s.lastHop.await(t, func() bool { return s.upstream.running.Load() >= count-1 })
	is.True(s.held(t) <= count*maxHeld)
	reader := bufio.NewReader(c)
	for range count {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		got, err := read(t, resp.Body, func() {})
		is.NoErr(err)
		is.Equal(got, size)
	}
}

// lastHopKilled ends the last hop in the middle of an answer.
func (s *streamPair) lastHopKilled(t *testing.T) {
	is := is.New(t)
	s.upstream.pause.Store(int64(20 * time.Millisecond))
	resp, err := s.get(t.Context(), s.ingress, "/get/20000000c", streamRouteTimeout)
	is.NoErr(err)
	time.AfterFunc(500*time.Millisecond, func() { _ = s.lastHop.cmd.Process.Kill() })
	_, err = read(t, resp.Body, func() {})
	is.True(err != nil)
	s.ingress.await(t, func() bool { return s.ingress.metric(t, "way-in/body-bytes") == "0" })
}

// TestStopLetsStreamsEnd guards against a planned stop that cuts off a large answer which ends within the limit of the stop, at the
// ingress and at the last hop.
func TestStopLetsStreamsEnd(t *testing.T) {
	is := is.New(t)
	s := startStreams(t)
	s.upstream.pause.Store(int64(20 * time.Millisecond)) // 2 s for 6.4 MB
	resp, err := s.get(t.Context(), s.ingress, "/get/6400000", streamRouteTimeout)
	is.NoErr(err)
	is.NoErr(s.ingress.cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(s.lastHop.cmd.Process.Signal(syscall.SIGTERM))
	n, err := read(t, resp.Body, func() {})
	is.NoErr(err)
	is.Equal(n, 6400000)
}
