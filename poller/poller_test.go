package poller

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
)

// copies answers lists with the given revisions in turn; zero fails.
type copies struct {
	revisions []int64
	calls     int
}

func (c *copies) ListStale(context.Context, string) ([]hornbeamcroft.Entry, int64, error) {
	r := c.revisions[min(c.calls, len(c.revisions)-1)]
	c.calls++
	if r == 0 {
		return nil, 0, errors.New("no answer")
	}
	return []hornbeamcroft.Entry{{Key: "a", ModRevision: r}}, r, nil
}

// TestPoll guards against an older copy that replaces a newer one, and against an outage that goes unnoticed.
func TestPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &copies{revisions: []int64{5, 4, 6, 0, 0, 7}}
		var seen []int64
		var lost, found int
		p := &Poller{
			Store: c, Interval: func() time.Duration { return time.Second }, Rand: rand.New(rand.NewPCG(1, 1)),
			OnList: func(_ []hornbeamcroft.Entry, revision int64) { seen = append(seen, revision) },
			OnLost: func(error) { lost++ }, OnFound: func() { found++ },
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		p.Run(ctx)
		is.Equal(seen[:4], []int64{5, 6, 7, 7})
		is.Equal(lost, 1)
		is.Equal(found, 1)
	})
}
