package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/worker"
)

// TestUnprovenRefusal guards against an answer that promises that a request has not run although its upstream has run it: the upstream fails
// it with such a status and does not state that it has not run it. Other failures arrive as the upstream has made them.
func TestUnprovenRefusal(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	w := &worker.Worker{Service: "s", Zone: "z", Slots: 4, Work: time.Millisecond, OnArrival: func(worker.Run) {}, OnRun: func(r worker.Run) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.Attempt]++
	}}
	route := operator.Route{Host: routeHost, Service: "s", Timeout: time.Second, Objective: time.Second}
	get, post := route, route
	get.Name, get.Prefix, get.Idempotent = "get", "/get/", true
	post.Name, post.Prefix = "post", "/post/"
	hopAway, beside := startHops(t, w, []operator.Route{get, post})
	for _, n := range []*node{hopAway, beside} {
		n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "first", time.Second).Status == http.StatusOK })
	}
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError, http.StatusGatewayTimeout,
	} {
		w.SetFaults(worker.Faults{Fail: 1, FailStatus: status})
		for hop, n := range []*node{beside, hopAway} {
			for _, prefix := range []string{"", worker.LargeAttempt} {
				for path, method := range map[string]string{"/get/1": http.MethodGet, "/post/1": http.MethodPost} {
					id := fmt.Sprintf("%s%s-%d-%d", prefix, method, status, hop)
					t.Run(id, func(t *testing.T) {
						is := is.New(t)
						o := n.send(method, path, id, 2*time.Second)
						mu.Lock()
						ran := runs[id]
						mu.Unlock()
						is.True(ran > 0)
						if promisesNotRun(status) {
							is.Equal(o.Status, http.StatusBadGateway)
							is.True(!o.Signed)
							return
						}
						is.Equal(o.Status, status)
						is.True(o.Complete)
					})
				}
			}
		}
	}
}

// promisesNotRun reports whether the status promises to callers that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
