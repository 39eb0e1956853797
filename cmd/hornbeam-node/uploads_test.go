package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
)

const (
	// uploadBytes is the size of a large body.
	uploadBytes = 360 << 10
	// slowBodyTime bounds the time for which a node waits for a body that does not grow.
	slowBodyTime = 5 * time.Second
)

// upload is a connection of a caller that sends a body by itself.
type upload struct {
	net.Conn
	reader *bufio.Reader
}

// openUpload sends the head of a POST request with the given header fields, one a line.
func (n *node) openUpload(t *testing.T, id string, fields ...string) upload {
	t.Helper()
	c, err := net.Dial("tcp", n.ingress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * slowBodyTime))
	head := fmt.Sprintf("POST /post/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", id, routeHost, caller.HeaderAttempt, id)
	if _, err := io.WriteString(c, head+strings.Join(fields, "\r\n")+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return upload{c, bufio.NewReader(c)}
}

// send sends a part of the body.
func (u upload) send(t *testing.T, part string) {
	t.Helper()
	if _, err := io.WriteString(u, part); err != nil {
		t.Fatal(err)
	}
}

// status returns the HTTP status of the next answer; zero if the connection ended without one.
func (u upload) status() int {
	resp, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		return 0
	}
	if resp.StatusCode >= http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return resp.StatusCode
}

// ran returns the body with which the attempt ran, or false if it did not run.
func (n *node) ran(id string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		if r.Attempt == id {
			return r.Body, true
		}
	}
	return "", false
}

// TestUploads guards against uploads that are cut, held for long, or run although they did not arrive whole.
func TestUploads(t *testing.T) {
	n := startNode(t)
	n.configure(t, 1)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
	body := strings.Repeat("0123456789abcdef", uploadBytes/16)
	length := fmt.Sprintf("Content-Length: %d", len(body))
	notRun := func(t *testing.T, id string) {
		t.Helper()
		if _, ran := n.ran(id); ran {
			t.Errorf("%s ran", id)
		}
	}

	t.Run("expect", func(t *testing.T) {
		is := is.New(t)
		u := n.openUpload(t, "expect", length, "Expect: 100-continue")
		is.Equal(u.status(), http.StatusContinue)
		u.send(t, body)
		is.Equal(u.status(), http.StatusOK)
		got, _ := n.ran("expect")
		is.Equal(len(got), len(body))
		is.True(got == body)
	})
	t.Run("chunks", func(t *testing.T) {
		is := is.New(t)
		u := n.openUpload(t, "chunks", "Transfer-Encoding: chunked")
		for part := body; part != ""; part = part[min(len(part), 1<<14):] {
			chunk := part[:min(len(part), 1<<14)]
			u.send(t, fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk))
		}
		u.send(t, "0\r\n\r\n")
		is.Equal(u.status(), http.StatusOK)
		got, _ := n.ran("chunks")
		is.True(got == body)
	})
	t.Run("steady but slow", func(t *testing.T) {
		is := is.New(t)
		u := n.openUpload(t, "slow", fmt.Sprintf("Content-Length: %d", 8<<10))
		for range 8 {
			time.Sleep(500 * time.Millisecond)
			u.send(t, body[:1<<10])
		}
		is.Equal(u.status(), http.StatusOK)
	})
	t.Run("stalls", func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		u := n.openUpload(t, "stalls", length)
		u.send(t, body[:len(body)/2])
		is.Equal(u.status(), http.StatusRequestTimeout)
		is.True(time.Since(begin) < slowBodyTime)
		notRun(t, "stalls")
	})
	t.Run("deadline of the caller", func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		u := n.openUpload(t, "deadline", length, caller.HeaderDeadline+": 300")
		u.send(t, body[:100])
		is.Equal(u.status(), http.StatusRequestTimeout)
		is.True(time.Since(begin) < time.Second)
		notRun(t, "deadline")
	})
	t.Run("ends early", func(t *testing.T) {
		is := is.New(t)
		u := n.openUpload(t, "early", length)
		u.send(t, body[:len(body)-1])
		is.NoErr(u.Conn.(*net.TCPConn).CloseWrite())
		is.Equal(u.status(), http.StatusBadRequest)
		notRun(t, "early")
	})
	t.Run("caller leaves", func(t *testing.T) {
		u := n.openUpload(t, "leaves", length)
		u.send(t, body[:len(body)/2])
		_ = u.Close()
		time.Sleep(100 * time.Millisecond)
		notRun(t, "leaves")
	})
	t.Run("exceeds the limit", func(t *testing.T) {
		is := is.New(t)
		u := n.openUpload(t, "large", fmt.Sprintf("Content-Length: %d", operator.MaxBodyBytes+1))
		is.Equal(u.status(), http.StatusRequestEntityTooLarge)
		u = n.openUpload(t, "large", "Transfer-Encoding: chunked")
		for part := range 5 {
			u.send(t, fmt.Sprintf("%x\r\n%s\r\n", len(body), body))
			_ = part
			if len(body)*(part+1) > operator.MaxBodyBytes {
				break
			}
		}
		is.Equal(u.status(), http.StatusRequestEntityTooLarge)
		notRun(t, "large")
	})
	t.Run("memory", func(t *testing.T) {
		n.heldUploads(t, length, body)
	})
}

// heldUploads holds more uploads than the node has memory for. Those that only declare a length hold little, those beyond the
// memory are refused as not run, and the memory is free again afterwards.
func (n *node) heldUploads(t *testing.T, length, body string) {
	is := is.New(t)
	const held = 300 // 300 bodies of 360 KiB are more than the quarter of the 200 MB that the bodies may take
	refused := 0
	for i := range held {
		u := n.openUpload(t, fmt.Sprintf("held-%d", i), length)
		go func() { _, _ = io.WriteString(u, body[:len(body)-1]) }()
	}
	time.Sleep(500 * time.Millisecond)
	u := n.openUpload(t, "refused", length, "Expect: 100-continue")
	for range 2 { // a small reservation may succeed before the body grows
		status := u.status()
		if status == http.StatusContinue {
			go func() { _, _ = io.WriteString(u, body) }()
			continue
		}
		is.Equal(status, http.StatusServiceUnavailable)
		refused++
		break
	}
	is.Equal(refused, 1)
	if _, ran := n.ran("refused"); ran {
		t.Error("the refused upload ran")
	}
	is.Equal(n.send(http.MethodGet, "/get/1", "beside", time.Second).Status, http.StatusOK)
	n.await(t, func() bool { return n.metric(t, "way-in/body-bytes") == "0" })
}

// metric returns the value of a metric as text; empty if there is none.
func (n *node) metric(t *testing.T, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + n.metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			return value
		}
	}
	return ""
}
