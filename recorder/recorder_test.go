package recorder

import (
	"testing"

	"github.com/matryer/is"
)

// TestLineLimits guards against successes that use up the limit of failures, and against omitted lines that are not counted.
func TestLineLimits(t *testing.T) {
	is := is.New(t)
	var r Recorder
	for range 1000 {
		r.Allow(Served)
	}
	is.True(r.Allow(Failed))
	omitted := r.Omitted()
	is.Equal(omitted["served"], int64(1000-maxLines[Served]))
	is.Equal(omitted["failed"], int64(0))
}
