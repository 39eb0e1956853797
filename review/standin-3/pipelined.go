//go:build review3

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// photoBytes is the size of a download, and truncatedBytes what is sent of one that breaks off.
	photoBytes     = 1 << 20
	truncatedBytes = photoBytes * 3 / 5
	// pipelinedViews is the number of lookups that a client sends behind a download.
	pipelinedViews = 5
	// groupsPerClient is the number of downloads that each client sends.
	groupsPerClient = 60
	// viewWork is how long a backend works on a lookup.
	viewWork = 150 * time.Millisecond
	// lostAllowed is the number of lost requests that LOST allows.
	lostAllowed = 3
)

// playBrokenDownload: clients send lookups behind a download on a kept connection. A backend of the downloads breaks off some of its
// answers. Lookups that were passed on to sound backends must be answered.
func playBrokenDownload(w *world, trouble bool) (bool, error) {
	if err := w.openStore(); err != nil {
		return false, err
	}
	if err := w.configure(7, lookup("photo", "photos"), lookup("view", "portal")); err != nil {
		return false, err
	}
	for i, service := range []string{"photos", "photos", "portal", "portal"} {
		if _, err := w.newHost(fmt.Sprintf("side-%s-%d", service, i), service, []string{"a", "b"}[i%2]); err != nil {
			return false, err
		}
	}
	if err := w.startAll(map[string]time.Duration{"portal": viewWork}); err != nil {
		return false, err
	}
	if trouble {
		w.hosts[0].backend.truncating.Store(true)
	}
	var lost atomic.Int64
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			c := &pipeliningClient{w: w, host: w.hosts[2+i%2]}
			for range groupsPerClient {
				c.sendGroup()
			}
			lost.Add(int64(c.lost))
		})
	}
	wg.Wait()
	w.note("%d lookups were passed on to a sound backend, and their connection ended without an answer", lost.Load())
	return lost.Load() <= lostAllowed, nil
}

// startAll starts all nodes, and then their backends. Those of services that workOf does not name work for usualWork.
func (w *world) startAll(workOf map[string]time.Duration) error {
	for _, h := range w.hosts {
		if err := h.startNode(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	for _, h := range w.hosts {
		b, err := w.startBackend("i-"+h.name, h.service, h.zone, h.appAddress, cmp.Or(workOf[h.service], usualWork), usualSlots)
		if err != nil {
			return err
		}
		h.backend = b
		b.beat(h.announcements)
	}
	time.Sleep(4 * time.Second)
	return nil
}

// servePhoto answers a download. A backend that truncates breaks off one in twenty.
func (b *backend) servePhoto(rw http.ResponseWriter, attempt string) {
	rw.Header().Set("Server-Signature", b.id+"."+attempt)
	rw.Header().Set("Content-Length", fmt.Sprint(photoBytes))
	if b.truncating.Load() && b.photos.Add(1)%20 == 0 {
		b.w.note("backend %s breaks off its answer to %s", b.id, attempt)
		_, _ = io.WriteString(rw, strings.Repeat("x", truncatedBytes))
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(rw, strings.Repeat("x", photoBytes))
}

// pipeliningClient sends requests before the ones ahead are answered, on one connection that it keeps.
type pipeliningClient struct {
	w      *world
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	lost   int
}

// sendGroup sends a lookup, and after its answer a download with lookups behind it, all at once.
func (c *pipeliningClient) sendGroup() {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.host.wayIn)
		if err != nil {
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	first := newAttempt()
	if _, err := io.WriteString(c.conn, requestText("/view/first", first)); err != nil || c.readAnswer(first) != nil {
		c.close()
		return
	}
	attempts := []string{newAttempt()}
	text := requestText("/photo/x", attempts[0])
	for range pipelinedViews {
		id := newAttempt()
		attempts = append(attempts, id)
		text += requestText("/view/x", id)
	}
	c.w.note("client at %s sends /photo/x and %d times /view/x, %s", c.host.name, pipelinedViews, strings.Join(attempts, " "))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.close()
		return
	}
	for i, id := range attempts {
		err := c.readAnswer(id)
		if err == nil {
			continue
		}
		c.w.note("client at %s: connection ends without a whole answer to %s: %v", c.host.name, id, err)
		c.close()
		time.Sleep(500 * time.Millisecond)
		for _, rest := range attempts[max(i, 1):] {
			if ran := c.w.runsSince(c.w.start, func(r runLine) bool { return r.attempt == rest }); len(ran) > 0 {
				c.w.note("lookup %s has run at %s and is not answered", rest, ran[0].instance)
				c.lost++
			}
		}
		return
	}
}

// readAnswer reads the whole answer to an attempt. Answers without a backend's signature count too: the request was answered.
func (c *pipeliningClient) readAnswer(attempt string) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return fmt.Errorf("after %d bytes of the body: %w", n, err)
	}
	c.w.note("client at %s gets for %s: status %d, %d bytes", c.host.name, attempt, r.StatusCode, n)
	return nil
}

func (c *pipeliningClient) close() {
	_ = c.conn.Close()
	c.conn = nil
}

// requestText returns a request without a body.
func requestText(path, attempt string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 4000\r\n\r\n"
}

// newAttempt returns the id of a new attempt.
func newAttempt() string { return fmt.Sprintf("%016x", lastAttempt.Add(1)<<20+0x5a5a5) }
