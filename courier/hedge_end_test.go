package courier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/placer"
)

// TestFailureHeldBack guards against a caller that gets its upstream's failure only when a retry that no host takes has been given up.
func TestFailureHeldBack(t *testing.T) {
	for _, code := range []hornbeamcroft.Code{hornbeamcroft.CodeOverloaded, hornbeamcroft.CodeDraining, hornbeamcroft.CodeUpstreamRefused} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c, _ := newHedging(&slowUpstream{}, nil)
			sends := 0
			c.Remote = func(_ context.Context, _ hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
				if sends++; sends > 1 {
					return hornbeamcroft.Answer{Code: code, Load: &hornbeamcroft.Load{}}
				}
				time.AfterFunc(200*time.Millisecond, call.OnRetryGranted)
				time.Sleep(300 * time.Millisecond)
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 500, Load: &hornbeamcroft.Load{}}
			}
			start := time.Now()
			a := c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
			is.Equal(a.Status, 500)
			is.Equal(time.Since(start), 300*time.Millisecond)
			is.True(code != hornbeamcroft.CodeUpstreamRefused || sends == 2) // it needs another grant
		})
	}
}

// TestSendsBeyondMaximum guards against a retry beside a run that is the last of maxSends sends.
func TestSendsBeyondMaximum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _ := newHedging(&slowUpstream{}, nil)
		sends := 0
		c.Remote = func(_ context.Context, _ hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
			if sends++; sends < maxSends {
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamRefused, RetryGranted: true, Load: &hornbeamcroft.Load{}}
			}
			time.AfterFunc(200*time.Millisecond, call.OnRetryGranted)
			time.Sleep(time.Second)
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
		}
		c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
		is.Equal(sends, maxSends)
	})
}

// TestCancelledRetryHarmsHost guards against a host that is avoided because a retry to it was cancelled while its link was being opened.
func TestCancelledRetryHarmsHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _ := newHedging(&slowUpstream{}, nil)
		var retriedOn string
		sends := 0
		c.Remote = func(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
			if sends++; sends == 2 {
				retriedOn = m.Name
				<-ctx.Done()
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable}
			}
			if sends == 1 {
				time.AfterFunc(200*time.Millisecond, call.OnRetryGranted)
				time.Sleep(300 * time.Millisecond)
			}
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
		}
		c.Deliver(t.Context(), hedgedCall, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
		for _, candidate := range c.placerFor("s").Explain(c.Clock.Now(), placer.Requirements{}) {
			is.True(candidate.Name != retriedOn || candidate.LeftOut == "")
		}
		is.True(retriedOn != "")
	})
}
