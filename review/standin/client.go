package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is a request that a client sent, and what became of it.
type attempt struct {
	id, node, method, target string
	sent, ended              time.Time
	// status is zero if the connection ended without a complete answer.
	status int
	signed bool
	err    error
}

// requester sends requests as the clients on the nodes' machines do.
type requester struct {
	host string
	rec  *record

	next atomic.Int64
	wg   sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

// send sends a request to the ingress of a node on a new connection and waits for its answer, up to the deadline.
func (q *requester) send(n *node, method, target, body string, deadline time.Duration, header http.Header) attempt {
	a := attempt{id: fmt.Sprintf("c%06d", q.next.Add(1)), node: n.name, method: method, target: target, sent: time.Now()}
	q.rec.add("client sends %s %s %s to %s", a.id, method, target, n.name)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	a.status, a.signed, a.err = roundTrip(ctx, q.host, n.ingress, a, body, deadline, header)
	a.ended = time.Now()
	q.rec.add("client gets for %s: status %d signed %t error %v after %d ms", a.id, a.status, a.signed, a.err,
		a.ended.Sub(a.sent).Milliseconds())
	q.mu.Lock()
	q.attempts = append(q.attempts, a)
	q.mu.Unlock()
	return a
}

// goSend sends a request in the background.
func (q *requester) goSend(n *node, method, target, body string, deadline time.Duration, header http.Header) {
	q.wg.Go(func() { q.send(n, method, target, body, deadline, header) })
}

// roundTrip sends a request and reads its whole answer.
func roundTrip(ctx context.Context, host, address string, a attempt, body string, deadline time.Duration, header http.Header,
) (status int, signed bool, err error) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+address+a.target, content)
	if err != nil {
		return 0, false, err
	}
	r.Host = host
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, values := range header {
		r.Header[name] = values
	}
	resp, err := freshClient().Do(r)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, false, err
	}
	return resp.StatusCode, resp.Header.Get("Server-Signature") != "", nil
}

// all waits for the requests in the background and returns all attempts.
func (q *requester) all() []attempt {
	q.wg.Wait()
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]attempt{}, q.attempts...)
}
