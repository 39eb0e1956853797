package crowd

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/answerer"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// floodSlots is the number of requests that the upstream runs at once, floodCallers that of callers who send one after the other.
	floodSlots   = 100
	floodCallers = 150
	floodTime    = 2 * time.Second
	// floodedProbes is the number of health probes that are flooded.
	floodedProbes = 2
	// floodPiece is the least number of bytes that the upstream writes at once.
	floodPiece = 64 << 10
)

// flood is what an upstream in trouble sends without end: the beginning of an answer, in which FIELDS stands for the fields that name and
// sign it, and then the texts over and over.
type flood struct {
	name, begin string
	text        func(i int) string
	// streamed is true if the flood is a body, which is passed on until the deadline.
	streamed bool
}

// constant returns a text that is the same each time.
func constant(text string) func(int) string {
	return func(int) string { return text }
}

const (
	answerHead = "HTTP/1.1 200 OK\r\nFIELDS"
	// answerInstance is the instance that signs the answers.
	answerInstance = "i"
)

var floods = []flood{
	{name: "no HTTP", text: constant("x")},
	{name: "one long field", begin: answerHead + "X: ", text: constant("x")},
	{name: "short fields", begin: answerHead, text: constant("a:\r\n")},
	{name: "different fields", begin: answerHead, text: func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" }},
	{name: "interim answers", text: constant("HTTP/1.1 103 Early Hints\r\na:\r\n\r\n")},
	{name: "body with a length", begin: answerHead + "Content-Length: 1000000000\r\n\r\n", text: constant("x"), streamed: true},
	{name: "body to the end", begin: answerHead + "\r\n", text: constant("x"), streamed: true},
	{name: "chunks", begin: answerHead + "Transfer-Encoding: chunked\r\n\r\n", text: constant("4\r\nabcd\r\n"), streamed: true},
	{name: "chunk size", begin: answerHead + "Transfer-Encoding: chunked\r\n\r\n", text: constant("0")},
	{name: "trailer", begin: answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", text: func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" }},
	{name: "answers to others", text: constant(answerer.Whole("other", answerInstance, "x"))},
}

// floodingUpstream floods while flood is set, and otherwise answers as a worker does. It floods health probes, too, if probes is set before
// start.
type floodingUpstream struct {
	probes  bool
	flood   atomic.Pointer[flood]
	flooded atomic.Int64
}

// start lets the upstream answer, and returns the worker that announces it.
func (u *floodingUpstream) start(t *testing.T) *worker.Worker {
	t.Helper()
	a := &answerer.Answerer{Answer: u.answer}
	address, err := a.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return &worker.Worker{Service: "s", Zone: "z", Slots: floodSlots, Announced: address}
}

func (u *floodingUpstream) answer(w io.Writer, r *http.Request) bool {
	id := answerer.Attempt(r)
	if f := u.flood.Load(); f != nil && (u.probes || r.URL.Path != worker.HealthPath) {
		u.flooded.Add(1)
		f.send(w, id)
		return false
	}
	_, err := io.WriteString(w, answerer.Whole(id, answerInstance, worker.Body(id, answerInstance)))
	return err == nil
}

// send sends until the other side closes the connection.
func (f *flood) send(w io.Writer, id string) {
	_, err := io.WriteString(w, strings.ReplaceAll(f.begin, "FIELDS", answerer.Fields(id, answerInstance)))
	for i := 0; err == nil; {
		var b strings.Builder
		for ; b.Len() < floodPiece; i++ {
			b.WriteString(f.text(i))
		}
		_, err = io.WriteString(w, b.String())
	}
}

// get sends a request for the target and returns its status, or zero if it is not answered.
func (n *node) get(id string, remaining time.Duration) int {
	c := &caller.Caller{Address: n.ingress}
	defer c.Close()
	return c.Send(caller.Attempt{ID: id, Method: http.MethodGet, Host: routeHost, Target: "/get/1", Remaining: remaining}).Status
}

// TestFloodingUpstream guards against an upstream that sends bytes without end and fills the memory of the node that calls it: the
// resident memory must stay within its limit, every request must be answered unless a body is streamed to it, and requests must be served
// when the flood is over.
func TestFloodingUpstream(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			u := &floodingUpstream{}
			n := startNodeBeside(t, u.start(t))
			before := n.status(t, "VmHWM")
			u.flood.Store(&f)
			var callers sync.WaitGroup
			var unanswered atomic.Int64
			end := time.Now().Add(floodTime)
			for i := range floodCallers {
				callers.Go(func() {
					for j := 0; time.Now().Before(end); j++ {
						if n.get(strconv.Itoa(i)+"-"+strconv.Itoa(j), floodTime) == 0 {
							unanswered.Add(1)
						}
					}
				})
			}
			callers.Wait()
			peak := n.status(t, "VmHWM")
			t.Logf("peak of resident memory %d kB (%d kB before the flood), %d answers without end", peak, before, u.flooded.Load())
			u.flood.Store(nil)
			await(t, n.answers)
			is.True(unanswered.Load() == 0 || f.streamed)
			is.True(u.flooded.Load() >= floodSlots/2) // so many were read at the same time
			is.True(peak <= memoryMB<<10)             // resident memory stays within the limit
		})
	}
}

// TestFloodedProbe guards against an upstream that answers health probes with bytes without end and fills the memory of the node.
func TestFloodedProbe(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			u := &floodingUpstream{probes: true}
			u.flood.Store(&f)
			w := u.start(t)
			n := startNodeUnannounced(t, w)
			await(t, func() bool { return u.flooded.Load() >= floodedProbes })
			peak := n.status(t, "VmHWM")
			t.Logf("peak of resident memory %d kB", peak)
			u.flood.Store(nil)
			n.announce(t, w)
			is.True(peak <= memoryMB<<10)
		})
	}
}
