package faker_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/faker"
)

func put(key, value string) []hornbeamcroft.Put {
	return []hornbeamcroft.Put{{Key: key, Value: []byte(value)}}
}

// TestFaults guards against faults that differ from their description: a lost request that is applied, a lost answer whose
// write is not applied, and StaleSnapshot, Down and a restore without effect.
func TestFaults(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s := faker.NewStore(&faker.Clock{})
	s.SetFaults(faker.Faults{LoseRequests: 1})
	_, err := s.Txn(ctx, nil, put("a", "1"))
	is.True(errors.Is(err, faker.ErrNoAnswer))
	e, _ := s.Get(ctx, "a")
	is.Equal(e.ModRevision, int64(0))
	s.Save("empty")
	s.SetFaults(faker.Faults{LoseAnswers: 1})
	_, err = s.Txn(ctx, nil, put("a", "1"))
	is.True(errors.Is(err, faker.ErrNoAnswer))
	e, _ = s.Get(ctx, "a")
	is.Equal(string(e.Value), "1")
	s.SetFaults(faker.Faults{StaleSnapshot: "empty"})
	e, _ = s.Get(ctx, "a")
	is.Equal(e.ModRevision, int64(0))
	s.SetFaults(faker.Faults{Down: true})
	_, err = s.Get(ctx, "a")
	is.True(errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
	s.SetFaults(faker.Faults{})
	is.NoErr(s.Restore("empty"))
	_, revision, err := s.List(ctx, "")
	is.NoErr(err)
	is.Equal(revision, int64(1))
}

// TestWatch guards against events that are lost while watches are held, and against a watch that continues after a restore.
func TestWatch(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s := faker.NewStore(&faker.Clock{})
	s.Save("empty")
	events, ended := make(chan hornbeamcroft.Event), make(chan error)
	go func() { ended <- s.Watch(ctx, "a", 1, func(e hornbeamcroft.Event) { events <- e }) }()
	s.SetFaults(faker.Faults{HoldWatches: true})
	_, err := s.Txn(ctx, nil, put("a", "1"))
	is.NoErr(err)
	s.SetFaults(faker.Faults{})
	is.Equal(string((<-events).Entry.Value), "1")
	is.NoErr(s.Restore("empty"))
	is.True(errors.Is(<-ended, faker.ErrRestored))
}

func ExampleStore() {
	clock := &faker.Clock{}
	s := faker.NewStore(clock)
	ctx := context.Background()
	id, _ := s.Grant(ctx, time.Second)
	_, _ = s.Txn(ctx, nil, []hornbeamcroft.Put{{Key: "lease", Value: []byte("me"), Lease: id}})
	clock.Advance(2 * time.Second)
	e, _ := s.Get(ctx, "lease")
	fmt.Println(e.ModRevision)
	// Output: 0
}
