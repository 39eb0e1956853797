//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// client sends requests to the outbound address of one machine, over connections that it keeps.
type client struct {
	w    *world
	host *host
	http http.Client
}

// newClient returns a client of the machine.
func (w *world) newClient(h *host) *client {
	return &client{w: w, host: h, http: http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// answer is what a client has got.
type answer struct {
	attempt, body, signature string
	status                   int
	err                      error
	sent, ended              time.Time
}

// send sends one attempt.
func (c *client) send(method, hostName, path string, deadline time.Duration) answer {
	a := answer{attempt: newAttempt(), sent: time.Now()}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + a.attempt)
	}
	r, err := http.NewRequest(method, "http://"+c.host.wayIn+path, body)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", a.attempt)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.w.note("client at %s sends %s %s%s %s", c.host.name, method, hostName, path, a.attempt)
	resp, err := c.http.Do(r)
	if err == nil {
		a.status, a.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.body = string(data)
		_ = resp.Body.Close()
	}
	a.err, a.ended = err, time.Now()
	c.w.note("client at %s gets for %s: status %d, signature %q, error %v", c.host.name, a.attempt, a.status, a.signature, err)
	return a
}
