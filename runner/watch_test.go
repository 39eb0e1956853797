package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
	"hornbeamcroft/rationer"
)

// usual is the time of a run that the upstream of the tests answers.
const usual = 20 * time.Millisecond

// upstream answers each request with its status after its usual time, or never.
type upstream struct {
	mute bool
	// fails makes it answer at once, with an error.
	fails bool
}

func (u *upstream) Alive(context.Context) bool { return true }

func (u *upstream) Exchange(ctx context.Context, _ exchanger.Request) exchanger.Result {
	if u.mute {
		<-ctx.Done()
		return exchanger.Result{Outcome: exchanger.OutcomeEnded}
	}
	if u.fails {
		return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: 500}
	}
	time.Sleep(usual)
	return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: 200}
}

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

// newRunner returns a runner that has seen enough answers to know the usual time.
func newRunner(u *upstream, slack float64) *Runner {
	r := &Runner{
		Clock: clock{time.Now()}, Service: "stock", Exchanger: u,
		Request: func(hornbeamcroft.Call, string, time.Duration) exchanger.Request { return exchanger.Request{} },
		OnCrash: func([]uint64) {}, OnGone: func(string, string) {}, OnEnd: func(Record) {},
		Rationer: &rationer.Rationer{Slack: slack, Window: time.Minute, Share: 1, Nodes: 1},
		Levels:   func([]hornbeamcroft.Reach) []hornbeamcroft.Pressure { return nil },
	}
	r.SetUpstream(observer.Upstream{Instance: "i-1", Slots: 4, State: hornbeamcroft.MemberServing})
	for range 30 {
		r.Run(context.Background(), lookup(true))
	}
	return r
}

func lookup(idempotent bool) hornbeamcroft.Call {
	return hornbeamcroft.Call{
		Service: "stock", Type: "level", Attempt: "a", Depth: 1, Remaining: 4 * time.Second, Objective: time.Second, Idempotent: idempotent,
	}
}

// TestLostAnswer guards against an idempotent run whose answer was lost without a sign and that is held to its deadline,
// and against giving up runs that may not be sent again.
func TestLostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name       string
		idempotent bool
		sends      int
		slack      float64
		code       hornbeamcroft.Code
		again      bool
		took       time.Duration
	}{
		{"given up and sent again", true, 1, 100, hornbeamcroft.CodeOutcomeUnknown, true, time.Second},
		{"would not be sent again", true, 2, 100, hornbeamcroft.CodeDeadlinePassed, false, 4 * time.Second},
		{"may run once only", false, 0, 100, hornbeamcroft.CodeDeadlinePassed, false, 4 * time.Second},
		{"no repeat is left", true, 0, 0, hornbeamcroft.CodeDeadlinePassed, false, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := &upstream{}
				r := newRunner(u, tt.slack)
				u.mute = true
				call := lookup(tt.idempotent)
				call.Sends = tt.sends
				ctx, cancel := context.WithTimeout(context.Background(), call.Remaining)
				defer cancel()
				start := time.Now()
				a := r.Run(ctx, call)
				is.Equal(a.Code, tt.code)
				is.Equal(a.Again, tt.again)
				is.True(time.Since(start) <= tt.took)
			})
		})
	}
}

// TestWaitsForCalls guards against a run that is given up while it waits for a call of its own.
func TestWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{}
		r := newRunner(u, 100)
		u.mute = true
		ended := make(chan hornbeamcroft.Answer)
		go func() { ended <- r.Run(t.Context(), lookup(true)) }()
		time.Sleep(usual)
		child := hornbeamcroft.Call{Attempt: "a.1", Remaining: 4 * time.Second}
		is.True(r.Inherit(&child))
		select {
		case <-ended:
			t.Fatal("given up during its call")
		case <-time.After(3 * time.Second):
		}
		r.Called("a.1", "below", nil)
		a := <-ended
		is.Equal(a.Code, hornbeamcroft.CodeOutcomeUnknown)
	})
}

// TestFailedRuns guards against runs that are given up while they work, because earlier ones failed early and made the usual
// time short.
func TestFailedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{}
		r := newRunner(u, 100)
		before, _ := r.waiter.Patience("level")
		u.fails = true
		for range 30 {
			r.Run(t.Context(), lookup(true))
		}
		after, _ := r.waiter.Patience("level")
		is.Equal(after, before)
	})
}
