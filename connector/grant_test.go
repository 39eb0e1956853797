package connector

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// TestRetryGrantedDuringRun guards against a grant that reaches the sender only with the answer, when the run has ended, and against a
// link that a grant for a call of before closes.
func TestRetryGrantedDuringRun(t *testing.T) {
	is := is.New(t)
	granted := make(chan struct{})
	onCall := func(_ context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
		if call.ID == 1 {
			call.OnRetryGranted()
			<-granted
		}
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
	}
	address := serveLinks(t, newConnector(t, "b", testKey, onCall))
	l, err := newConnector(t, "a", testKey, echo).Link(context.Background(), address)
	is.NoErr(err)
	call := testCall(1, nil)
	call.Idempotent = true
	call.OnRetryGranted = func() { close(granted) }
	a, err := l.Call(context.Background(), call)
	is.NoErr(err)
	is.Equal(a.Status, 200)
	is.NoErr(l.Send(framer.TypeRetryGranted, framer.RetryGranted{ID: 1}))
	a, err = l.Call(context.Background(), testCall(2, nil))
	is.NoErr(err)
	is.Equal(a.Status, 200)
}
