package waiter

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPatience guards against answers that count as lost after too few samples or too early, and against a timeout
// that does not follow runs that have become slower.
func TestPatience(t *testing.T) {
	is := is.New(t)
	var w Waiter
	for range minRuns - 1 {
		w.Answered("lookup", 50*time.Millisecond)
	}
	_, known := w.Patience("lookup")
	is.True(!known)
	w.Answered("lookup", 50*time.Millisecond)
	p, known := w.Patience("lookup")
	is.True(known)
	is.Equal(p, 500*time.Millisecond)
	for range 100 {
		w.Answered("lookup", 250*time.Millisecond) // the upstream is five times as slow
	}
	p, _ = w.Patience("lookup")
	is.True(p > 2400*time.Millisecond && p <= 2500*time.Millisecond)
	for range minRuns {
		w.Answered("short", time.Millisecond)
	}
	p, _ = w.Patience("short")
	is.Equal(p, minTimeout)
}

// TestRoutesAreBounded guards against memory that grows with the number of routes.
func TestRoutesAreBounded(t *testing.T) {
	var w Waiter
	for i := range 2 * maxRoutes {
		w.Answered(strconv.Itoa(i), time.Millisecond)
	}
	if n := len(w.routes); n > maxRoutes {
		t.Errorf("%d routes kept, more than maxRoutes", n)
	}
}
