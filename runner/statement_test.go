package runner

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
)

// restartedNode connects a new runner, which knows its upstream from a health probe only, with an observer.
func restartedNode(u *upstream) (*Runner, *observer.Observer) {
	o := &observer.Observer{Service: "stock", Address: "1"}
	o.ApplyServed("i-1", 7)
	o.ApplyHealthProbe("i-1", true, 50)
	r := newRunner(u, 100)
	var mu sync.Mutex
	apply := func(change func() bool) {
		mu.Lock()
		defer mu.Unlock()
		if change() {
			r.SetUpstream(o.Upstream())
		}
	}
	r.OnStatement = func(to observer.Upstream, s hornbeamcroft.Statement) {
		apply(func() bool { return o.ApplyStatement(observer.Moment{}, to.Instance, to.Born, s) })
	}
	r.OnReport = func(s hornbeamcroft.InstanceStatement) { apply(func() bool { return o.ApplyReport(s) }) }
	r.SetUpstream(o.Upstream())
	return r, o
}

// TestLimitForgottenByRestart guards against a restarted node that runs calls of other nodes beyond a limit that these have heard of.
func TestLimitForgottenByRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limited := hornbeamcroft.Statement{Limited: true, RateLimit: 10}
		r, _ := restartedNode(&upstream{statement: &limited})
		call := lookup(true)
		call.Upstream = &hornbeamcroft.InstanceStatement{Instance: "i-1", Born: 7, Statement: limited}
		before, _ := r.Sends()
		for range 200 {
			go r.Run(t.Context(), call)
		}
		time.Sleep(400 * time.Millisecond)
		sends, _ := r.Sends()
		is.True(sends-before <= 6) // 4 in 400 ms and the size of the bucket
		time.Sleep(5 * time.Second)
	})
}

// TestLimitKeptForever guards against a limit that has ended but is brought back by nodes that heard of it before.
func TestLimitKeptForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := restartedNode(&upstream{statement: &hornbeamcroft.Statement{}})
		call := lookup(true)
		call.Last = true
		call.Upstream = &hornbeamcroft.InstanceStatement{
			Instance: "i-1", Born: 7, Statement: hornbeamcroft.Statement{Limited: true, RateLimit: 2},
		}
		a := r.Run(t.Context(), call)
		is.Equal(a.Upstream.Statement, hornbeamcroft.Statement{}) // the sender learns that the limit has ended
		start := time.Now()
		for range 50 {
			is.Equal(r.Run(t.Context(), call).Code, hornbeamcroft.CodeAnswered)
		}
		is.True(time.Since(start) <= 2*50*usualTime)
	})
}

// TestLeavingForgottenByRestart guards against a restarted node that uses an upstream of which other nodes know that it leaves.
func TestLeavingForgottenByRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, o := restartedNode(&upstream{statement: &hornbeamcroft.Statement{}})
		call := lookup(true)
		call.Upstream = &hornbeamcroft.InstanceStatement{Instance: "i-1", Born: 7, Statement: hornbeamcroft.Statement{Leaving: true}}
		is.Equal(r.Run(t.Context(), call).Code, hornbeamcroft.CodeDraining)
		is.Equal(r.Run(t.Context(), lookup(true)).Code, hornbeamcroft.CodeDraining) // also for nodes that do not know

		next := observer.Announcement{Instance: "i-1", Born: 8, Service: "stock", Address: "1", Slots: 4}
		o.ApplyAnnouncement(0, next)
		r.SetUpstream(o.Upstream())
		is.Equal(r.Run(t.Context(), call).Code, hornbeamcroft.CodeAnswered) // another start under the same id
	})
}

// answer returns the answer of the upstream with its statement.
func (u *upstream) answer(status int) exchanger.Result {
	return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: status, Statement: u.statement}
}
