package courier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/rationer"
	"hornbeamcroft/runner"
)

// slowUpstream answers after its time, unless the exchange is cancelled before.
type slowUpstream struct {
	time      time.Duration
	cancelled int
}

func (*slowUpstream) Alive(context.Context) bool { return true }

func (u *slowUpstream) Exchange(ctx context.Context, _ exchanger.Request) exchanger.Result {
	select {
	case <-time.After(u.time):
		return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: 200}
	case <-ctx.Done():
		u.cancelled++
		return exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
	}
}

// hedgedCall is an idempotent call with time for two runs.
var hedgedCall = hornbeamcroft.Call{
	Service: "s", Type: "r", Attempt: "a", Depth: 1, Remaining: 5 * time.Second, Objective: time.Second, Idempotent: true,
}

// newHedging returns a courier whose calls go to the upstream beside host b first. Calls to host c get the answer of other.
func newHedging(u *slowUpstream, other func(ctx context.Context) hornbeamcroft.Answer) (*Courier, *[]Record) {
	clock := steadyClock{time.Now()}
	r := &runner.Runner{
		Clock: clock, Service: "s", Exchanger: u,
		Request: func(hornbeamcroft.Call, string, time.Duration) exchanger.Request { return exchanger.Request{} },
		OnCrash: func([]uint64) {}, OnInstanceReplaced: func(string, string) {}, OnEnd: func(runner.Record) {},
		Rationer: &rationer.Rationer{Allowance: 100, Window: time.Minute, Share: 1, Nodes: 1},
		Levels:   func([]hornbeamcroft.ServiceCalls) []hornbeamcroft.AdmissionLevel { return nil },
	}
	r.SetUpstream(observer.Upstream{Instance: "i", Slots: 4, State: hornbeamcroft.MemberServing})
	usual := u.time
	u.time = 20 * time.Millisecond
	for range 30 {
		r.Run(context.Background(), hedgedCall)
	}
	u.time = usual
	records := &[]Record{}
	sends := 0
	c := &Courier{
		Clock: clock, Rand: randomizer.Randomizer{}, Name: "a", Rationer: &rationer.Rationer{},
		OnEnd:  func(r Record) { *records = append(*records, r) },
		Linked: func(string) bool { return true }, Dial: func(hornbeamcroft.Member) {},
		Remote: func(ctx context.Context, _ hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
			if sends++; sends == 1 {
				return r.Run(ctx, call)
			}
			return other(ctx)
		},
	}
	c.Update([]hornbeamcroft.Member{
		{Name: "b", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1},
		{Name: "c", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1},
	})
	return c, records
}

// TestRunAbandonedForRefusedRetry guards against a run that is ended for a retry which no host takes: the caller gets an error although
// the upstream is at work on the request.
func TestRunAbandonedForRefusedRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := &slowUpstream{time: time.Second}
		c, _ := newHedging(u, func(context.Context) hornbeamcroft.Answer {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOverloaded, Load: &hornbeamcroft.Load{}}
		})
		a := c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
		is.Equal(a.Code, hornbeamcroft.CodeAnswered)
		is.Equal(u.cancelled, 0)
	})
}

// TestRefusedRetryIsForgotten guards against a request that waits until its deadline because its answer was lost and no host had room
// for the retry at the moment of the grant.
func TestRefusedRetryIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		offers := 0
		c, _ := newHedging(&slowUpstream{time: time.Minute}, func(context.Context) hornbeamcroft.Answer {
			if offers++; offers < 3 {
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOverloaded, Load: &hornbeamcroft.Load{}}
			}
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
		})
		start := time.Now()
		a := c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
		is.Equal(a.Code, hornbeamcroft.CodeAnswered)
		is.True(time.Since(start) < time.Second)
	})
}

// TestFirstSuccessEndsOther guards against an upstream that works on for a request that another one has answered, and against an answer
// that waits for the slower run.
func TestFirstSuccessEndsOther(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		runTime, retryTime   time.Duration
		runEnded, retryEnded int
		answered             time.Duration
	}{
		{"retry first", 4 * time.Second, 50 * time.Millisecond, 1, 0, 250 * time.Millisecond},
		{"run first", 300 * time.Millisecond, 4 * time.Second, 0, 1, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u, other := &slowUpstream{time: tt.runTime}, &slowUpstream{time: tt.retryTime}
				c, records := newHedging(u, func(ctx context.Context) hornbeamcroft.Answer {
					if other.Exchange(ctx, exchanger.Request{}).Outcome != exchanger.OutcomeAnswered {
						return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
					}
					return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
				})
				start := time.Now()
				a := c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
				is.Equal(a.Code, hornbeamcroft.CodeAnswered)
				is.Equal(time.Since(start), tt.answered)
				synctest.Wait()
				is.Equal(u.cancelled, tt.runEnded)
				is.Equal(other.cancelled, tt.retryEnded)
				is.Equal(len((*records)[0].Hosts), 2) // the log names both hosts
				is.Equal(len((*records)[0].Codes), 2)
			})
		})
	}
}

// TestCallerLeavesHedgedRequest guards against upstreams that work on after the caller has left.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u, other := &slowUpstream{time: 4 * time.Second}, &slowUpstream{time: 4 * time.Second}
		c, _ := newHedging(u, func(ctx context.Context) hornbeamcroft.Answer {
			other.Exchange(ctx, exchanger.Request{})
			return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a := c.Deliver(ctx, hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
		is.True(a.Code != hornbeamcroft.CodeAnswered)
		is.Equal(u.cancelled+other.cancelled, 2)
	})
}
