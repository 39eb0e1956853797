package courier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/rationer"
)

// steadyClock is a Clock that counts from its start.
type steadyClock struct{ start time.Time }

func (c steadyClock) Now() time.Duration { return time.Since(c.start) }

// TestAbortedRunWithoutOtherHost guards against a caller that gets an error early because a run was aborted, to be sent again, and no
// other host exists: the retry that was granted must go to the same host.
func TestAbortedRunWithoutOtherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sends := 0
		c := &Courier{
			Clock: steadyClock{time.Now()}, Rand: randomizer.Randomizer{}, Name: "a", Rationer: &rationer.Rationer{}, OnEnd: func(Record) {},
			Linked: func(string) bool { return true }, Dial: func(hornbeamcroft.Member) {},
			Remote: func(context.Context, hornbeamcroft.Member, hornbeamcroft.Call) hornbeamcroft.Answer {
				sends++
				if sends < hornbeamcroft.MaxRuns {
					return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown, RetryGranted: true, Load: &hornbeamcroft.Load{}}
				}
				return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200}
			},
		}
		c.Update([]hornbeamcroft.Member{{Name: "b", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1}})
		call := hornbeamcroft.Call{
			Service: "s", Type: "r", Depth: 1, Remaining: 5 * time.Second, Objective: time.Second, Idempotent: true,
		}
		a := c.Deliver(t.Context(), call, hornbeamcroft.Route{Name: "r", MaxAttempts: 2}, 0)
		is.Equal(a.Code, hornbeamcroft.CodeAnswered)
		is.Equal(sends, hornbeamcroft.MaxRuns)
	})
}
