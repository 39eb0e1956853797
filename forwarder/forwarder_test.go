package forwarder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/registrar"
	"hornbeamcroft/rotator"
)

// fixedClock is a clock whose time does not change.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Second }

// newForwarder returns a forwarder whose local upstream gives the answers in order, and then the last one again and
// again. It also returns the number of sends so far.
func newForwarder(answers ...hornbeamcroft.Code) (*Forwarder, *int) {
	sends := 0
	f := &Forwarder{
		Clock: fixedClock{}, Name: "a", Calls: registrar.New(fixedClock{}, 0),
		Local: func(context.Context, hornbeamcroft.Call) hornbeamcroft.Answer {
			code := answers[min(sends, len(answers)-1)]
			sends++
			return hornbeamcroft.Answer{Code: code, Status: 200}
		},
		Home:        func(hornbeamcroft.Call) Target { return Target{Name: "a"} },
		Lookup:      func(name string) Target { return Target{Name: name} },
		NewBalancer: func(string) hornbeamcroft.Balancer { return &rotator.Rotator{} },
	}
	f.Update([]hornbeamcroft.Member{{Name: "a", Service: "s", State: hornbeamcroft.MemberServing}})
	return f, &sends
}

// TestFinalClaim guards against a final answer that claims "not run" although an attempt or an earlier send may have
// run, and against a retry of a non-idempotent call that may have run.
func TestFinalClaim(t *testing.T) {
	const budget = 2
	tests := []struct {
		name       string
		idempotent bool
		firstSend  bool
		answers    []hornbeamcroft.Code
		want       hornbeamcroft.Code
		// maxSends is the largest permitted number of sends: 1 + budget, times 1 + 3 reroutes if the refusals only say
		// that the home moved.
		maxSends int
	}{
		{"lost, then refused", true, true, []hornbeamcroft.Code{300, 205}, 300, 3},
		{"refused, then refused", true, true, []hornbeamcroft.Code{211, 205}, 205, 3},
		{"lost, then answered", true, true, []hornbeamcroft.Code{300, 100}, 100, 3},
		{"budget spent after a lost answer", true, true, []hornbeamcroft.Code{300}, 300, 3},
		{"lost non-idempotent call is not retried", false, true, []hornbeamcroft.Code{300, 100}, 300, 1},
		{"non-idempotent call refused by its home", false, false, []hornbeamcroft.Code{205}, 205, 1},
		{"non-idempotent call whose home moved, first send", false, true, []hornbeamcroft.Code{213}, 213, 12},
		{"non-idempotent call whose home moved, resend", false, false, []hornbeamcroft.Code{213}, 308, 12},
		{"fenced non-idempotent call, resend", false, false, []hornbeamcroft.Code{209}, 308, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f, sends := newForwarder(tt.answers...)
			root := f.Calls.OpenRequest(registrar.RunningCall{Request: "r", Deadline: time.Hour}, budget)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			a := f.Forward(ctx, []*registrar.RunningCall{root}, hornbeamcroft.Call{
				Request: "r", Service: "s", Type: "t", Key: "k", Depth: 1, Remaining: time.Minute,
				Idempotent: tt.idempotent, FirstSend: tt.firstSend,
			})
			is.Equal(a.Code, tt.want)
			is.True(*sends <= tt.maxSends)
		})
	}
}

// TestNoHomeClaim guards against the claim "not run" for a resend by the caller when the home of the key is not known.
// An earlier send may have run.
func TestNoHomeClaim(t *testing.T) {
	for _, firstSend := range []bool{true, false} {
		is := is.New(t)
		f, _ := newForwarder(hornbeamcroft.CodeAnswered)
		f.Home = func(hornbeamcroft.Call) Target { return Target{Code: hornbeamcroft.CodeNoUpstream} }
		root := f.Calls.OpenRequest(registrar.RunningCall{Request: "r", Deadline: time.Hour}, 0)
		a := f.Forward(context.Background(), []*registrar.RunningCall{root}, hornbeamcroft.Call{
			Request: "r", Service: "s", Type: "t", Key: "k", Depth: 1, Remaining: time.Minute, FirstSend: firstSend,
		})
		want := hornbeamcroft.CodeEarlierSendUnknown
		if firstSend {
			want = hornbeamcroft.CodeNoUpstream
		}
		is.Equal(a.Code, want)
	}
}
