package summarizer

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/caller"
)

// TestWrite guards against outcomes that are counted in the wrong column, and against latencies that include requests
// that were not served.
func TestWrite(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	order := func(took time.Duration) caller.Outcome {
		return caller.Outcome{Attempt: caller.Attempt{Target: "/order/a1"}, SentAt: start, EndedAt: start.Add(took)}
	}
	var s Summarizer
	served, refused, failed := order(20*time.Millisecond), order(time.Second), order(time.Second)
	served.Complete, served.Status = true, 200
	refused.Status = 503
	failed.Err = errors.New("connection reset")
	for _, o := range []caller.Outcome{served, served, refused, failed} {
		s.Add(o)
	}
	var table strings.Builder
	is.NoErr(s.Write(&table))
	lines := strings.Split(table.String(), "\n")
	is.Equal(strings.Fields(lines[1]), []string{"order", "4", "0.500", "0.250", "0.250", "20.0", "20.0"})
}
