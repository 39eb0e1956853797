package summarizer

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
)

// TestWrite guards against outcomes that are counted as something else, and against latencies of requests that failed.
func TestWrite(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	order := func(took time.Duration) caller.Outcome {
		return caller.Outcome{Attempt: caller.Attempt{Target: "/order/a1"}, SentAt: start, EndedAt: start.Add(took)}
	}
	var s Summarizer
	whole, refused, broken := order(20*time.Millisecond), order(time.Second), order(time.Second)
	whole.Complete, whole.Status = true, 200
	refused.Status = 503
	broken.Err = errors.New("connection reset")
	for _, o := range []caller.Outcome{whole, whole, refused, broken} {
		s.Add(o)
	}
	var page strings.Builder
	is.NoErr(s.Write(&page))
	lines := strings.Split(page.String(), "\n")
	is.Equal(strings.Fields(lines[1]), []string{"order", "4", "0.500", "0.250", "0.250", "20.0", "20.0"})
}
