package tracer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestParent guards against counting a call for a request other than the one that made it.
func TestParent(t *testing.T) {
	is := is.New(t)
	var tr Tracer
	outer := tr.Open(Run{Attempt: "a"})
	inner := tr.Open(Run{Attempt: "a.1"})
	is.Equal(tr.Parent("a.1.2"), inner)
	is.Equal(tr.Parent("a.2"), outer)
	is.True(tr.Parent("a") == nil)
	is.True(tr.Parent("ab.1") == nil)
	tr.ChildEnded(inner, 0, "deep", nil)
	below := tr.Close(inner)
	is.Equal(below, []hornbeamcroft.ServiceCalls{{Service: "deep", Calls: 1}})
	tr.ChildEnded(outer, 0, "middle", below)
	is.Equal(len(tr.Close(outer)), 2)
	is.Equal(tr.Len(), 0)
}

// TestWorked guards against counting the time that a request waits for child calls as its own time.
func TestWorked(t *testing.T) {
	is := is.New(t)
	var tr Tracer
	r := tr.Open(Run{Attempt: "a", Started: 10})
	check := func(now time.Duration, want time.Duration, wantWaiting bool) {
		t.Helper()
		ownTime, waiting := r.OwnTime(now)
		is.Equal(ownTime, want)
		is.Equal(waiting, wantWaiting)
	}
	check(15, 5, false)
	tr.ChildStarted(r, 15)
	check(40, 5, true)
	tr.ChildStarted(r, 40) // a second child call runs at the same time
	tr.ChildEnded(r, 50, "deep", nil)
	check(60, 5, true)
	tr.ChildEnded(r, 70, "deep", nil)
	check(72, 7, false)
}

// TestParentOfRepeat guards against child calls of a retry that find no parent because the run beside it has ended.
func TestParentOfRepeat(t *testing.T) {
	is := is.New(t)
	var tr Tracer
	first, second, third := tr.Open(Run{Attempt: "a"}), tr.Open(Run{Attempt: "a"}), tr.Open(Run{Attempt: "a"})
	is.Equal(tr.Parent("a.1"), first)
	tr.Close(second)
	is.Equal(tr.Parent("a.1"), first)
	tr.Close(first)
	is.Equal(tr.Parent("a.1"), third)
	tr.Close(third)
	is.Equal(tr.Parent("a.1"), nil)
	is.Equal(len(tr.repeats), 0)
}
