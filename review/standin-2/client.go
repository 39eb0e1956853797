package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// result is what a client saw of one request.
type result struct {
	attempt   string
	status    int
	signature string
	// body is the number of bytes of the answer's body, complete is true if it arrived whole.
	body     int
	complete bool
	err      error
	began    time.Time
	took     time.Duration
}

// line describes the result for the record.
func (r result) line() string {
	return fmt.Sprintf("status=%d signature=%q body=%d complete=%v err=%v took=%dms", r.status, r.signature, r.body, r.complete, r.err,
		r.took.Milliseconds())
}

// send sends one request on a new connection and reads its answer.
func send(address, method, host, target, attempt string, deadline time.Duration, body []byte) result {
	res := result{attempt: attempt, began: time.Now()}
	defer func() { res.took = time.Since(res.began) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		res.err = err
		res.took = time.Since(res.began)
		return res
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, host, attempt,
		deadline.Milliseconds())
	if len(body) > 0 || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		res.err = err
		res.took = time.Since(res.began)
		return res
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		res.err = err
		res.took = time.Since(res.began)
		return res
	}
	res.status, res.signature = r.StatusCode, r.Header.Get("Server-Signature")
	n, err := io.Copy(io.Discard, r.Body)
	res.body, res.complete, res.err = int(n), err == nil, err
	res.took = time.Since(res.began)
	return res
}
