package tracer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestParent guards against calls that are counted for another request than the one that makes them.
func TestParent(t *testing.T) {
	is := is.New(t)
	var tr Tracer
	outer := tr.Open(Run{Attempt: "a"})
	inner := tr.Open(Run{Attempt: "a.1"})
	is.Equal(tr.Parent("a.1.2"), inner)
	is.Equal(tr.Parent("a.2"), outer)
	is.True(tr.Parent("a") == nil)
	is.True(tr.Parent("ab.1") == nil)
	tr.Called(inner, 0, "deep", nil)
	below := tr.Close(inner)
	is.Equal(below, []hornbeamcroft.Reach{{Service: "deep", Calls: 1}})
	tr.Called(outer, 0, "middle", below)
	is.Equal(len(tr.Close(outer)), 2)
	is.Equal(tr.Len(), 0)
}

// TestWorked guards against calls that are counted as the own work of the run that waits for them.
func TestWorked(t *testing.T) {
	is := is.New(t)
	var tr Tracer
	r := tr.Open(Run{Attempt: "a", Started: 10})
	own := func(now time.Duration, want time.Duration, waits bool) {
		t.Helper()
		worked, waiting := r.Worked(now)
		is.Equal(worked, want)
		is.Equal(waiting, waits)
	}
	own(15, 5, false)
	tr.Calling(r, 15)
	own(40, 5, true)
	tr.Calling(r, 40) // a second call beside the first
	tr.Called(r, 50, "deep", nil)
	own(60, 5, true)
	tr.Called(r, 70, "deep", nil)
	own(72, 7, false)
}
