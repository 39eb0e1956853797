package courier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/rationer"
)

// TestExplain guards against an explanation that dials hosts, starts to keep the state of a service, draws a random number, spends a part
// of the retry budget, or counts as a request of its route. Rand is nil: a draw would panic.
func TestExplain(t *testing.T) {
	is := is.New(t)
	c := &Courier{
		Clock: steadyClock{time.Now()}, Name: "a", Zone: "here", Rationer: &rationer.Rationer{},
		Linked: func(name string) bool { return name == "b" },
		Dial:   func(m hornbeamcroft.Member) { t.Errorf("%s dialed", m.Name) },
	}
	c.Update([]hornbeamcroft.Member{
		{Name: "b", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1},
		{Name: "c", Service: "s", State: hornbeamcroft.MemberServing, Incarnation: 1},
	})
	call := hornbeamcroft.Call{Service: "s", Type: "r", Depth: 1, Objective: time.Second}
	budget := *c.Rationer
	e := c.Explain(call, false)
	is.Equal(e.Admission.Share, 1.0)
	is.True(!e.InUse)
	is.Equal(len(e.Candidates), 2)
	is.Equal(e.Candidates[0].Name, "b")
	is.Equal(e.Candidates[1].LeftOut, "not linked")
	is.Equal(len(c.placers), 0)
	is.Equal(*c.Rationer, budget)

	c.Age("r", 5*time.Second)
	for range 2 {
		age, retry := c.ExplainAge("r", 3*time.Second, 4*time.Second)
		is.Equal(age, 2*time.Second)
		is.True(retry)
	}
	age, _ := c.ExplainAge("r", 9*time.Second, 4*time.Second)
	is.Equal(age, time.Duration(0))
	is.Equal(c.Age("r", 4*time.Second), time.Second) // the 9 s do not count
	age, _ = c.ExplainAge("other", time.Second, time.Second)
	is.Equal(age, time.Duration(0))
}
