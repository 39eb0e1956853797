package timeoutestimator

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAttemptTimeout guards against answers that count as lost after too few samples or too early, and against a timeout
// that does not follow runs that have become slower.
func TestAttemptTimeout(t *testing.T) {
	is := is.New(t)
	var e TimeoutEstimator
	for range minRuns - 1 {
		e.AddOwnTime("lookup", 50*time.Millisecond)
	}
	_, known := e.AttemptTimeout("lookup")
	is.True(!known)
	e.AddOwnTime("lookup", 50*time.Millisecond)
	p, known := e.AttemptTimeout("lookup")
	is.True(known)
	is.Equal(p, 500*time.Millisecond)
	for range 100 {
		e.AddOwnTime("lookup", 250*time.Millisecond) // the upstream is five times as slow
	}
	p, _ = e.AttemptTimeout("lookup")
	is.True(p > 2400*time.Millisecond && p <= 2500*time.Millisecond)
	for range minRuns {
		e.AddOwnTime("short", time.Millisecond)
	}
	p, _ = e.AttemptTimeout("short")
	is.Equal(p, minTimeout)
}

// TestRoutesAreBounded guards against memory that grows with the number of routes.
func TestRoutesAreBounded(t *testing.T) {
	var e TimeoutEstimator
	for i := range 2 * maxRoutes {
		e.AddOwnTime(strconv.Itoa(i), time.Millisecond)
	}
	if n := len(e.routes); n > maxRoutes {
		t.Errorf("%d routes kept, more than maxRoutes", n)
	}
}
