package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/headchecker"
	"hornbeamcroft/platform/standin/answerer"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/worker"
)

const (
	answerBody = "hello, world"
	// answerInstance is the instance that signs the answers.
	answerInstance = "i"
	// requestsBefore is the number of requests through each node that leave a retry budget for the cases.
	requestsBefore = 200
)

// brokenUpstream writes the text first to an attempt that arrives for the first time and closes the connection, and a whole answer to
// one that arrives again.
type brokenUpstream struct {
	answerer answerer.Answerer

	mu    sync.Mutex
	first string
	runs  map[string]int
}

func (u *brokenUpstream) answer(w io.Writer, r *http.Request) bool {
	id := answerer.Attempt(r)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runs[id]++; u.runs[id] > 1 || u.first == "" {
		_, err := io.WriteString(w, answerer.Whole(id, answerInstance, answerBody))
		return err == nil
	}
	// Without "close", the next request may be sent as the connection closes.
	fields := answerer.Fields(id, answerInstance) + "Connection: close\r\n"
	_, _ = io.WriteString(w, strings.ReplaceAll(u.first, "FIELDS", fields)) // fails if the node has given up
	return false
}

// startBroken starts a node without an upstream, and one beside the upstream.
func startBroken(t *testing.T) (*brokenUpstream, []*node) {
	t.Helper()
	is := is.New(t)
	u := &brokenUpstream{runs: make(map[string]int)}
	u.answerer.Answer = u.answer
	address, err := u.answerer.Listen()
	is.NoErr(err)
	t.Cleanup(u.answerer.Close)
	var routes []operator.Route
	for _, name := range []string{"get", "post"} {
		routes = append(routes, operator.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Service: "s", Idempotent: name == "get",
			Timeout: streamRouteTimeout, Objective: time.Second,
		})
	}
	ingress, lastHop := startHops(t, &worker.Worker{Service: "s", Zone: "z", Slots: 4, Announced: address}, routes)
	nodes := []*node{ingress, lastHop}
	for i, n := range nodes {
		n.await(t, func() bool {
			return strings.HasPrefix(n.rawAnswer(t, "get", fmt.Sprintf("start-%d", i)), "HTTP/1.1 200")
		})
		for j := range requestsBefore {
			n.rawAnswer(t, "get", fmt.Sprintf("before-%d-%d", i, j))
		}
	}
	return u, nodes
}

// rawAnswer sends an attempt on the route and returns all bytes that come back.
func (n *node) rawAnswer(t *testing.T, route, id string) string {
	t.Helper()
	c, err := net.Dial("tcp", n.ingress)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "GET /%s/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\nConnection: close\r\n\r\n", route, routeHost,
		caller.HeaderAttempt, id, caller.HeaderDeadline)
	if err != nil {
		return ""
	}
	text, _ := io.ReadAll(c) // an answer that breaks off is compared as far as it came
	return string(text)
}

// TestBrokenAnswers guards against an answer of the upstream that is not valid HTTP and reaches a caller, at the node beside the upstream
// and at another one, or for which a request runs twice that may run once only. It plays testdata/broken-answers.txt.
func TestBrokenAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/broken-answers.txt")
	if err != nil {
		t.Fatal(err)
	}
	u, nodes := startBroken(t)
	line := 0
	for l := range strings.Lines(string(text)) {
		if line++; strings.HasPrefix(l, "#") {
			continue
		}
		columns := strings.Split(strings.TrimSpace(l), " | ")
		first, err := strconv.Unquote(`"` + columns[0] + `"`)
		if err != nil || len(columns) != 3 {
			t.Fatalf("malformed line %q: %v", l, err)
		}
		u.mu.Lock()
		u.first = first
		u.mu.Unlock()
		for i, n := range nodes {
			for j, route := range []string{"post", "get"} {
				id := fmt.Sprintf("%d-%d-%s", line, i, route)
				t.Run(id, func(t *testing.T) {
					checkAnswer(t, n.rawAnswer(t, route, id), id, columns[1+j])
					u.mu.Lock()
					defer u.mu.Unlock()
					if runs := u.runs[id]; runs == 0 || runs > 1 && route == "post" {
						t.Errorf("%d runs", runs)
					}
				})
			}
		}
	}
}

// checkAnswer fails the test unless the bytes are one whole answer with the status, and with the upstream's body and signature if that is
// 200.
func checkAnswer(t *testing.T, text, attempt, status string) {
	t.Helper()
	var c headchecker.HeadChecker
	if err := c.Check([]byte(text)); err != nil {
		t.Errorf("%q: %v", text, err)
	}
	reader := bufio.NewReader(strings.NewReader(text))
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	body, err := io.ReadAll(r.Body)
	rest, _ := io.ReadAll(reader)
	whole := r.StatusCode != http.StatusOK || string(body) == answerBody && answerer.Signed(r.Header, attempt, answerInstance)
	if err != nil || !whole || len(bytes.TrimSpace(rest)) > 0 || strconv.Itoa(r.StatusCode) != status {
		t.Errorf("a caller gets %q, %v; status %s expected", text, err, status)
	}
}
