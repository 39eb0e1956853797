package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// slowBody is the length of the bodies in the case slow-reading, slowPause how long the backend pauses while it reads one.
	slowBody  = 2 << 20
	slowPause = 2 * time.Second
)

// runSlowReading: a planned stop of the node that took the requests, while their backend reads the bodies slowly. Without TROUBLE the
// backend reads a body at once, and then works as long.
func runSlowReading(f *fleet, trouble bool) (int, error) {
	var w works
	answer := func(b *backend, a *arrival) bool {
		whole := b.head(a, 2000) + strings.Repeat("x", 2000)
		if strings.HasSuffix(a.target, "/warm") {
			_, err := io.WriteString(a.conn, whole)
			return err == nil
		}
		k := w.begin(a.attempt)
		f.note("backend: begins %s, deadline %d ms", a.attempt, a.deadlineMs)
		n, err := io.CopyN(io.Discard, a.request.Body, readBefore)
		if trouble {
			time.Sleep(slowPause)
		}
		var rest int64
		if err == nil {
			rest, err = io.Copy(io.Discard, a.request.Body)
		}
		f.note("backend: read %d of %d bytes of %s, error %v", n+rest, a.request.ContentLength, a.attempt, err)
		if err == nil && !trouble {
			time.Sleep(slowPause)
		}
		if err == nil {
			_, err = io.WriteString(a.conn, whole)
		}
		w.end(k, err == nil)
		f.note("backend: ends %s, error %v", a.attempt, err)
		return err == nil
	}
	front, err := startShop(f, 64<<10, answer)
	if err != nil {
		return failed, err
	}
	const each = 4
	results := make(chan result, 2*each)
	for i := range each {
		body := randomBody(slowBody, uint64(i))
		go func() {
			results <- send(front.outbound, http.MethodPost, shopHost, "/order/1", fmt.Sprintf("order-%d", i), deadline, body)
		}()
		go func() {
			results <- send(front.outbound, http.MethodPut, shopHost, "/stock/1", fmt.Sprintf("stock-%d", i), deadline, body)
		}()
	}
	return judged(f, stopAndJudge(f, front, &w, results, 2*each), 2*each)
}
