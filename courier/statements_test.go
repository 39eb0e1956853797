package courier

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/rationer"
)

// TestStatementNotSent guards against a sender that does not tell a restarted node what its upstream stated before.
func TestStatementNotSent(t *testing.T) {
	is := is.New(t)
	stated := hornbeamcroft.InstanceStatement{Instance: "i-1", Statement: hornbeamcroft.Statement{Limited: true, RateLimit: 5}}
	answers := []*hornbeamcroft.InstanceStatement{&stated, nil, nil}
	var sent []*hornbeamcroft.InstanceStatement
	c := &Courier{
		Clock: clock{}, Rand: randomizer.Randomizer{}, Name: "a", Rationer: &rationer.Rationer{}, OnEnd: func(Record) {},
		Linked: func(string) bool { return true }, Dial: func(hornbeamcroft.Member) {},
		Remote: func(_ context.Context, _ hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
			sent = append(sent, call.Upstream)
			a := hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 200, Upstream: answers[0]}
			answers = answers[1:]
			return a
		},
	}
	members := []hornbeamcroft.Member{{Name: "b", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1}}
	c.Update(members)
	deliver := func() {
		call := hornbeamcroft.Call{Service: "s", Type: "r", Depth: 1, Remaining: time.Second, Objective: time.Second}
		c.Deliver(t.Context(), call, hornbeamcroft.Route{Name: "r", MaxAttempts: 1}, 0)
	}
	deliver()
	members[0].Incarnation = 2 // the node beside the upstream restarts, after an absence
	c.Update(nil)
	c.Update(members)
	deliver()
	deliver()
	is.Equal(len(sent), 3)
	is.Equal(sent[0], nil)
	is.Equal(*sent[1], stated)
	is.Equal(*sent[2], stated)
}
