package estimator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAge guards against a later attempt of a caller that is taken for a first one.
func TestAge(t *testing.T) {
	is := is.New(t)
	var e Estimator
	is.Equal(e.Age(0, "a", 5*time.Second), time.Duration(0))
	is.Equal(e.Age(time.Second, "a", 4*time.Second), time.Second)
	is.Equal(e.Age(time.Second, "b", 4*time.Second), time.Duration(0))
	is.Equal(e.Age(time.Second, "a", 0), time.Duration(0))
	// A route whose callers now start with a shorter deadline is estimated correctly after two epochs.
	is.Equal(e.Age(epoch, "a", 2*time.Second), 3*time.Second)
	is.Equal(e.Age(2*epoch, "a", 2*time.Second), time.Duration(0))
}

// TestSpareTime guards against advising a refused caller to retry when its answer would be late.
func TestSpareTime(t *testing.T) {
	is := is.New(t)
	var e Estimator
	is.Equal(e.SpareTime("a", time.Second), time.Second)
	e.AddResponseTime("a", 400*time.Millisecond)
	is.Equal(e.SpareTime("a", time.Second), 500*time.Millisecond)
	is.True(e.SpareTime("a", 400*time.Millisecond) < 0)
}
