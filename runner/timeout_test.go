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

// usualTime is how long the test upstream takes for an answer.
const usualTime = 20 * time.Millisecond

// upstream is an upstream that answers each request with status 200 after usualTime.
type upstream struct {
	// silent makes it never answer.
	silent bool
	// failing makes it answer at once with status 500.
	failing bool
	// statement is what it states in its answers; it may be nil.
	statement *hornbeamcroft.Statement
}

func (u *upstream) Alive(context.Context) bool { return true }

func (u *upstream) Exchange(ctx context.Context, _ exchanger.Request) exchanger.Result {
	if u.silent {
		<-ctx.Done()
		return exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
	}
	if u.failing {
		return u.answer(500)
	}
	time.Sleep(usualTime)
	return u.answer(200)
}

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

// newRunner returns a runner that has seen enough answers of the route to know its attempt timeout.
func newRunner(u *upstream, slack float64) *Runner {
	r := &Runner{
		Clock: clock{time.Now()}, Service: "stock", Exchanger: u,
		Request: func(hornbeamcroft.Call, string, time.Duration) exchanger.Request { return exchanger.Request{} },
		OnCrash: func([]uint64) {}, OnInstanceReplaced: func(string, string) {}, OnEnd: func(Record) {},
		Rationer: &rationer.Rationer{Allowance: slack, Window: time.Minute, Share: 1, Nodes: 1},
		Levels:   func([]hornbeamcroft.ServiceCalls) []hornbeamcroft.AdmissionLevel { return nil },
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

// TestLostAnswer guards against an idempotent run that is held until its deadline although its answer was lost and the
// connection stayed open, and against aborting runs that must not or cannot be retried.
func TestLostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name       string
		idempotent bool
		sends      int
		slack      float64
		code       hornbeamcroft.Code
		again      bool
		maxTime    time.Duration
	}{
		{"aborted and retried", true, 1, 100, hornbeamcroft.CodeOutcomeUnknown, true, time.Second},
		{"retry limit reached", true, 2, 100, hornbeamcroft.CodeDeadlinePassed, false, 4 * time.Second},
		{"not idempotent", false, 0, 100, hornbeamcroft.CodeDeadlinePassed, false, 4 * time.Second},
		{"retry budget exhausted", true, 0, 0, hornbeamcroft.CodeDeadlinePassed, false, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u := &upstream{}
				r := newRunner(u, tt.slack)
				u.silent = true
				call := lookup(tt.idempotent)
				call.Sends = tt.sends
				ctx, cancel := context.WithTimeout(context.Background(), call.Remaining)
				defer cancel()
				start := time.Now()
				a := r.Run(ctx, call)
				is.Equal(a.Code, tt.code)
				is.Equal(a.RetryGranted, tt.again)
				is.True(time.Since(start) <= tt.maxTime)
			})
		})
	}
}

// TestWaitsForCalls guards against a run that is aborted while it waits for a child call: that time is not own time
// and must not count towards the attempt timeout. The child call has the tenant and the importance of the run.
func TestWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{}
		r := newRunner(u, 100)
		u.silent = true
		ended := make(chan hornbeamcroft.Answer)
		parent := lookup(true)
		parent.Tenant, parent.Importance = "acme", hornbeamcroft.ImportanceHigh.InBand(2)
		go func() { ended <- r.Run(t.Context(), parent) }()
		time.Sleep(usualTime)
		child := hornbeamcroft.Call{Attempt: "a.1", Remaining: 4 * time.Second}
		is.True(r.Inherit(&child))
		is.Equal(child.Tenant, "acme")
		is.Equal(child.Importance, parent.Importance)
		select {
		case <-ended:
			t.Fatal("run aborted while its child call was running")
		case <-time.After(3 * time.Second):
		}
		r.ChildEnded("a.1", "below", nil)
		a := <-ended
		is.Equal(a.Code, hornbeamcroft.CodeOutcomeUnknown)
	})
}

// TestFailedRuns guards against failed runs that shorten the attempt timeout: they end early, and later runs would be
// aborted while the upstream works on them.
func TestFailedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &upstream{}
		r := newRunner(u, 100)
		timeoutBefore, _ := r.timeoutEstimator.AttemptTimeout("level")
		u.failing = true
		for range 30 {
			r.Run(t.Context(), lookup(true))
		}
		timeoutAfter, _ := r.timeoutEstimator.AttemptTimeout("level")
		is.Equal(timeoutAfter, timeoutBefore)
	})
}
