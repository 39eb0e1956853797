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

	"hornbeamcroft/platform/standin/answerer"
	"hornbeamcroft/platform/standin/caller"
)

const (
	// cutUploadBytes is the size of a body that does not fit into the buffers of a connection.
	cutUploadBytes = 5 << 20
	// cutUploadRuns is how often each case is played: which call of the node learns of the reset is a race.
	cutUploadRuns = 10
	// streamedBytes is the size of a part of a body of which the caller has a part before it breaks off.
	streamedBytes = 1 << 20
)

// cutUpload answers an attempt that arrives for the first time, before it has read the body, with a part of a body that has no length, and
// resets the connection. It gives a whole answer to one that arrives again.
func (u *brokenUpstream) cutUpload(w io.Writer, r *http.Request) bool {
	id := answerer.Attempt(r)
	u.mu.Lock()
	u.runs[id]++
	again, part := u.runs[id] > 1, u.first
	u.mu.Unlock()
	if again || part == "" {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(w, answerer.Whole(id, answerInstance, answerBody))
		return err == nil
	}
	return answerer.Cut(w, "HTTP/1.1 200 OK\r\n"+answerer.Fields(id, answerInstance)+"\r\n"+part)
}

// upload sends a long body on the route by HTTP/1.1 or 1.0, and returns the status and the body of the answer, or an error if the caller
// sees that it broke off.
func (n *node) upload(t *testing.T, version, route, id, body string) (int, string, error) {
	t.Helper()
	c, err := net.Dial("tcp", n.ingress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "POST /%s/1 HTTP/%s\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", route,
		version, routeHost, caller.HeaderAttempt, id, caller.HeaderDeadline, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// TestCutUpload guards against a part of an answer that a caller gets as a whole one, at the node beside the upstream and at another one,
// because the connection was reset while the body of the request was still written; and against a second run of a request that may run
// once only.
func TestCutUpload(t *testing.T) {
	u, nodes := startBroken(t)
	u.answerer.Answer = u.cutUpload
	upload := strings.Repeat("u", cutUploadBytes)
	for _, part := range []int{len(answerBody) / 2, streamedBytes} {
		u.mu.Lock()
		u.first = strings.Repeat("x", part)
		u.mu.Unlock()
		for i, n := range nodes {
			for _, version := range []string{"1.1", "1.0"} {
				for _, route := range []string{"post", "get"} {
					t.Run(fmt.Sprintf("%d bytes, hop %d, HTTP %s, %s", part, i, version, route), func(t *testing.T) {
						for run := range cutUploadRuns {
							id := fmt.Sprintf("cut-%d-%d-%s-%s-%d", part, i, version, route, run)
							status, body, err := n.upload(t, version, route, id, upload)
							u.checkCut(t, part, route, id, status, body, err)
						}
					})
				}
			}
		}
	}
}

// checkCut fails the test unless the caller has seen what became of the attempt. An answer that is read whole is asked for again if the
// request is idempotent; of a streamed one the caller gets a part and sees that it broke off.
func (u *brokenUpstream) checkCut(t *testing.T, part int, route, id string, status int, body string, err error) {
	t.Helper()
	is := is.New(t)
	u.mu.Lock()
	runs := u.runs[id]
	u.mu.Unlock()
	switch {
	case part == streamedBytes && err != nil:
		is.Equal(runs, 1)
	case route == "get":
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(body == answerBody) // not shown, as it may be long
		is.Equal(runs, 2)
	default:
		is.NoErr(err)
		is.Equal(status, http.StatusBadGateway)
		is.Equal(runs, 1)
	}
}
