package recorder

import (
	"testing"

	"github.com/matryer/is"
)

// TestAllowances guards against successes that push out failures, and against lines that are left out without a count.
func TestAllowances(t *testing.T) {
	is := is.New(t)
	var r Recorder
	for range 1000 {
		r.Allow(Served)
	}
	is.True(r.Allow(Failed))
	omitted := r.Omitted()
	is.Equal(omitted["served"], int64(1000-allowances[Served]))
	is.Equal(omitted["failed"], int64(0))
}
