package breaker

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/faker"
)

// countingStore counts the calls that reach it.
type countingStore struct {
	*faker.Store
	stale, others int
	err           error
}

func (s *countingStore) ListStale(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	s.stale++
	if s.err != nil {
		return nil, 0, s.err
	}
	return s.List(ctx, prefix)
}

func (s *countingStore) Get(ctx context.Context, key string) (hornbeamcroft.Entry, error) {
	s.others++
	if s.err != nil {
		return hornbeamcroft.Entry{}, s.err
	}
	return s.Store.Get(ctx, key)
}

func (s *countingStore) ListChanges(context.Context, string, int64) ([]hornbeamcroft.Event, int64, error) {
	s.others++
	return nil, 0, s.err
}

func newBreaker() (*Breaker, *countingStore, *faker.Clock) {
	clock := &faker.Clock{}
	store := &countingStore{Store: faker.NewStore(clock)}
	return &Breaker{Store: store, Clock: clock}, store, clock
}

// TestOutage guards against an outage in which every user repeats its calls, and against calls that fail after the store
// has answered a stale list. One user lists stale every 0.8 s, others call every 0.1 s, for 9 s.
func TestOutage(t *testing.T) {
	is := is.New(t)
	b, store, clock := newBreaker()
	ctx := t.Context()
	store.err = hornbeamcroft.ErrStoreUnreachable
	for i := range 90 {
		if i%8 == 0 {
			_, _, err := b.ListStale(ctx, "")
			is.True(errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
		}
		_, err := b.Get(ctx, "k")
		is.True(errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
		clock.Advance(100 * time.Millisecond)
	}
	is.Equal(store.stale, 12)
	is.Equal(store.others, 0)
	store.err = nil
	_, _, err := b.ListStale(ctx, "")
	is.NoErr(err)
	_, err = b.Get(ctx, "k")
	is.NoErr(err)
}

// TestWithoutStaleLists guards against a store that is never tried again if no stale list is due.
func TestWithoutStaleLists(t *testing.T) {
	is := is.New(t)
	b, store, clock := newBreaker()
	store.err = hornbeamcroft.ErrStoreUnreachable
	for range 50 {
		_, err := b.Get(t.Context(), "k")
		is.True(err != nil)
		clock.Advance(100 * time.Millisecond)
	}
	is.Equal(store.others, 5)
	store.err = nil
	clock.Advance(probeInterval)
	_, err := b.Get(t.Context(), "k")
	is.NoErr(err)
}

// TestSingleFailure guards against one lost answer, a missing lease or a caller that gave up for which other calls fail.
func TestSingleFailure(t *testing.T) {
	is := is.New(t)
	b, store, _ := newBreaker()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, err := range []error{faker.ErrNoAnswer, nil, faker.ErrNoAnswer, hornbeamcroft.ErrLeaseNotFound, faker.ErrNoAnswer} {
		store.err = err
		_, got := b.Get(t.Context(), "k")
		is.True(errors.Is(got, err))
	}
	store.err = nil
	_, err := b.Get(t.Context(), "k")
	is.NoErr(err)
	store.err = faker.ErrNoAnswer
	for range 5 {
		_, _ = b.Get(ended, "k")
	}
	store.err = nil
	_, err = b.Get(t.Context(), "k")
	is.NoErr(err)
}
