package connector

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// fields returns a header with one field whose value has n bytes.
func fields(n int) []hornbeamcroft.Field {
	return []hornbeamcroft.Field{{Name: "X", Value: strings.Repeat("x", n)}}
}

// linkBeside returns a link to a connector that answers by onCall, on which a call of another caller is running, and a function that
// lets that call end and checks that it was answered over the same link.
func linkBeside(t *testing.T, onCall func(l *Link, call hornbeamcroft.Call) hornbeamcroft.Answer) (*Link, func()) {
	t.Helper()
	release := make(chan struct{})
	var b *Connector
	b = newConnector(t, "b", testKey, func(_ context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
		if call.ID == 1 {
			<-release
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
		}
		return onCall(b.Links()[0], call)
	})
	l, err := newConnector(t, "a", testKey, echo).Link(t.Context(), serveLinks(t, b))
	if err != nil {
		t.Fatal(err)
	}
	other := make(chan error, 1)
	go func() {
		_, err := l.Call(context.Background(), testCall(1, nil))
		other <- err
	}()
	for l.inFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	return l, func() {
		t.Helper()
		close(release)
		if err := <-other; err != nil || l.Ended() {
			t.Errorf("the call beside ended with %v, the link with %v", err, l.Err())
		}
	}
}

// TestMessageEndsLink guards against a link that is closed, with all calls on it, because a message of one caller or upstream holds bytes
// that are not UTF-8, or has a large head.
func TestMessageEndsLink(t *testing.T) {
	odd := []hornbeamcroft.Field{{Name: "X-\xe9", Value: "caf\xe9 \xff"}}
	for name, c := range map[string]struct {
		request, answer []hornbeamcroft.Field
		body            int
		code            hornbeamcroft.Code
	}{
		"bytes in the answer":     {nil, odd, 0, hornbeamcroft.CodeAnswered},
		"bytes in the request":    {odd, nil, 0, hornbeamcroft.CodeAnswered},
		"large head with a body":  {fields(50 << 10), fields(50 << 10), 30 << 10, hornbeamcroft.CodeAnswered},
		"head of the answer":      {nil, fields(100 << 10), 10, hornbeamcroft.CodeAnswerTruncated},
		"head of the request":     {fields(100 << 10), nil, 10, hornbeamcroft.CodeHeaderTooLarge},
		"large body, large heads": {fields(100 << 10), fields(100 << 10), 100 << 10, hornbeamcroft.CodeHeaderTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := testCall(2, []byte(strings.Repeat("b", c.body)))
			call.Attempt = "\xfe"
			call.Message = &hornbeamcroft.Message{Method: "GET", Host: "h", Target: "/\xe9", Header: c.request}
			var ran atomic.Bool
			l, finish := linkBeside(t, func(_ *Link, got hornbeamcroft.Call) hornbeamcroft.Answer {
				ran.Store(true)
				if got.Attempt != call.Attempt || got.Message.Target != call.Message.Target || len(got.Body) != c.body {
					t.Errorf("%q arrived with a body of %d bytes", got.Message.Target, len(got.Body))
				}
				is.Equal(got.Message.Header, c.request)
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200, Header: c.answer, Body: got.Body}
			})
			a, err := l.Call(t.Context(), call)
			is.NoErr(err)
			is.Equal(a.Code, c.code)
			is.Equal(ran.Load(), c.code != hornbeamcroft.CodeHeaderTooLarge) // "not run" is claimed only of a call that was not sent
			if c.code == hornbeamcroft.CodeAnswered {
				is.Equal(a.Header, c.answer)
				is.Equal(len(a.Body), c.body)
			}
			finish()
		})
	}
}

// TestUnreadableAnswer guards against an answer of another version that ends all calls on its link, and for which the sender asks again
// and again: the outcome of its own call is unknown.
func TestUnreadableAnswer(t *testing.T) {
	for name, value := range map[string]any{
		"code out of range":   map[int]any{1: 2, 2: 7},
		"status 000":          map[int]any{1: 2, 2: 100},
		"interim status":      map[int]any{1: 2, 2: 100, 3: 101},
		"status out of range": map[int]any{1: 2, 2: 100, 3: 600},
		"space in a name":     map[int]any{1: 2, 2: 100, 3: 200, 12: []any{[]any{"X Y", "z"}}},
		"control byte":        map[int]any{1: 2, 2: 100, 3: 200, 12: []any{[]any{"X\x01Y", "z"}}},
		"line end in a name":  map[int]any{1: 2, 2: 100, 3: 200, 12: []any{[]any{"X\r\nY", "z"}}},
		"field without name":  map[int]any{1: 2, 2: 100, 3: 200, 12: []any{[]any{"", "z"}}},
		"field of other type": map[int]any{1: 2, 2: 100, 3: 200, 12: "x"},
		"large head":          map[int]any{1: 2, 2: 100, 3: 200, 12: []any{[]any{"X", strings.Repeat("x", 100<<10)}}},
		"large body":          map[int]any{1: 2, 2: 100, 3: 200, 8: 1 << 30},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, finish := linkBeside(t, func(l *Link, _ hornbeamcroft.Call) hornbeamcroft.Answer {
				payload, err := cbor.Marshal(value)
				is.NoErr(err)
				is.NoErr(l.write(append([]byte{byte(framer.TypeAnswer)}, payload...)))
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
			})
			a, err := l.Call(t.Context(), testCall(2, nil))
			is.NoErr(err)
			is.Equal(a.Code, hornbeamcroft.CodeOutcomeUnknown)
			finish()
		})
	}
}

// TestManyLargeAnswers guards against a link that is closed because more large answers arrive at the same time than it accepts.
func TestManyLargeAnswers(t *testing.T) {
	is := is.New(t)
	l, finish := linkBeside(t, func(*Link, hornbeamcroft.Call) hornbeamcroft.Answer {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
	})
	answers := make(chan hornbeamcroft.Answer, maxPartialBodies+2)
	for i := range maxPartialBodies + 2 {
		id := uint64(10 + i)
		l.mu.Lock()
		l.pendingAnswers[id] = pendingAnswer{answer: answers}
		l.mu.Unlock()
		l.handleAnswer(hornbeamcroft.Answer{ID: id, Code: hornbeamcroft.CodeAnswered, BodyLength: 100})
	}
	is.Equal(len(answers), 2) // the callers of the two that were given up
	for range 2 {
		is.Equal((<-answers).Code, hornbeamcroft.CodeOutcomeUnknown)
	}
	finish()
}
