package sleeper

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEnded guards against a wait that reports success although its context has ended. If the timer has also fired,
// select chooses either case at random, so the test repeats the wait 200 times.
func TestEnded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	is.True(Sleep(ctx, time.Microsecond))
	is.NoErr(Wait(ctx, 0))
	cancel()
	for range 200 {
		is.True(!Sleep(ctx, 0))
		is.True(Wait(ctx, 0) != nil)
	}
}
