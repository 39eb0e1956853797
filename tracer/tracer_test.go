package tracer

import (
	"testing"

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
	tr.Called(inner, "deep", nil)
	below := tr.Close(inner)
	is.Equal(below, []hornbeamcroft.Reach{{Service: "deep", Calls: 1}})
	tr.Called(outer, "middle", below)
	is.Equal(len(tr.Close(outer)), 2)
	is.Equal(tr.Len(), 0)
}
