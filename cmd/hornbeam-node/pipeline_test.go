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
	"hornbeamcroft/platform/standin/worker"
)

// attempts returns the text of requests that are sent at once, one for each target. Each is named by its place.
func attempts(prefix string, targets ...string) string {
	var b strings.Builder
	for i, target := range targets {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s%d\r\n%s: 5000\r\n\r\n", target, routeHost, caller.HeaderAttempt, prefix, i,
			caller.HeaderDeadline)
	}
	return b.String()
}

// TestPipelined guards against idempotent requests of a connection that wait for each other, and against a request that is not
// idempotent and runs beside others.
func TestPipelined(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	n.configure(t, 1)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
	n.worker.SetFaults(worker.Faults{Slow: 10}) // a request takes 0.1 s to 0.3 s
	c, err := net.Dial("tcp", n.ingress)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, attempts("p", "/get/1", "/get/2", "/get/3", "/post/4", "/get/5"))
	is.NoErr(err)
	n.await(t, func() bool { return n.worker.Busy() == 3 })
	reader := bufio.NewReader(c)
	for i := range 5 {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(worker.VerifyAnswer(fmt.Sprintf("p%d", i), resp.Header.Get("Server-Signature"), string(body))) // in order
		if i >= 2 {
			is.True(n.worker.Busy() <= 1) // alone after the first three
		}
	}
}
