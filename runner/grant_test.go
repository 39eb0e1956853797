package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
)

// firstRun is an upstream whose first exchange is run by first; it answers the others after usualTime.
type firstRun struct {
	upstream
	began atomic.Bool
	first func(ctx context.Context) exchanger.Result
}

func (u *firstRun) Exchange(ctx context.Context, q exchanger.Request) exchanger.Result {
	if u.began.Swap(true) {
		return u.upstream.Exchange(ctx, q)
	}
	return u.first(ctx)
}

// TestGrantOvertaken guards against a retry that is charged and not made because the answer of the run arrives before the grant.
func TestGrantOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(&upstream{}, 100)
		timeout, _ := r.timeoutEstimator.AttemptTimeout("level")
		r.Exchanger = &firstRun{first: func(context.Context) exchanger.Result {
			time.Sleep(timeout + time.Microsecond)
			return exchanger.Result{Outcome: exchanger.OutcomeLost}
		}}
		call := lookup(true)
		call.OnRetryGranted = func() { time.Sleep(time.Millisecond) }
		a := r.Run(t.Context(), call)
		is.True(a.RetryGranted)
		time.Sleep(time.Second)
	})
}

// TestPresumedLostAfterGrant guards against a run that holds its slot until its deadline, because at the time of the grant no later call had
// been answered that shows that its answer is lost.
func TestPresumedLostAfterGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(&upstream{}, 100)
		timeout, _ := r.timeoutEstimator.AttemptTimeout("level")
		r.Exchanger = &firstRun{first: func(ctx context.Context) exchanger.Result {
			<-ctx.Done()
			return exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
		}}
		call := lookup(true)
		call.OnRetryGranted = func() {}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan hornbeamcroft.Answer)
		go func() { done <- r.Run(ctx, call) }()
		time.Sleep(timeout + time.Millisecond)
		is.Equal(r.Load().Running, 1)
		r.Run(t.Context(), lookup(true))
		time.Sleep(timeout)
		is.Equal(r.Load().Running, 0)
		cancel()
		<-done
	})
}
