package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/worker"
)

// drainTime is the time after which no request may reach an upstream that has stated that it leaves.
const drainTime = 2 * time.Second

// TestCallsAfterLeavingAnswer guards against requests at an upstream that has stated in its answers, but not in its heartbeats, that it leaves.
func TestCallsAfterLeavingAnswer(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	n.passOn(t, worker.Faults{Leaving: true})
	from := time.Now().Add(drainTime)
	for i := 0; time.Since(from) < time.Second; i++ {
		is.NoErr(n.worker.Announce(n.announcements)) // ready, as late heartbeats say
		n.send(http.MethodGet, "/get/1", fmt.Sprintf("c%d", i), 200*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(n.runsBetween(from, time.Now()), 0)

	n.worker.Crash()
	n.worker.SetFaults(worker.Faults{})
	is.NoErr(n.worker.Start(n.worker.Address()))
	is.NoErr(n.worker.Announce(n.announcements))
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "d", time.Second).Status == http.StatusOK }) // the next start serves
}
