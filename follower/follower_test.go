package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/distributor"
	"hornbeamcroft/editor"
	"hornbeamcroft/faker"
	"hornbeamcroft/follower"
)

type fixture struct {
	*is.I
	store *faker.Store
	dist  *distributor.Distributor
	// read and watched receive the revision of each document that was read or that the watch delivered.
	read, watched chan uint64
	errors        chan error
}

// newFixture starts a follower of a store that holds a document at revision 1, and waits for its first read.
func newFixture(t *testing.T) fixture {
	f := fixture{
		is.New(t), faker.NewStore(&faker.Clock{}), &distributor.Distributor{Check: applier.Check},
		make(chan uint64, 100), make(chan uint64, 100), make(chan error, 100),
	}
	f.edit(t, "one", "slots = 1")
	fo := &follower.Follower{
		Store: f.store, Rand: faker.Rand(1), Wait: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		OnRead: func(stored hornbeamcroft.StoredDocument, modRevision int64) *distributor.StoreWrite {
			defer func() { f.read <- stored.Revision }()
			return f.dist.OnRead(stored, modRevision).Write
		},
		OnWatch: func(stored hornbeamcroft.StoredDocument) {
			f.dist.OnWatch(stored)
			f.watched <- stored.Revision
		},
		OnError: func(err error) {
			select {
			case f.errors <- err:
			default:
			}
		},
	}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		fo.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	f.Equal(<-f.read, uint64(1))
	return f
}

func (f fixture) edit(t *testing.T, writer, slots string) {
	t.Helper()
	e := &editor.Editor{Check: applier.Check, Edit: editor.Edit{Owner: "cash", Writer: writer, Write: []hornbeamcroft.Section{
		{Name: "service cash", Owner: "cash", Text: "owner = cash\nconnections = 9\n" + slots},
	}}}
	r := (&applier.Applier{Store: f.store}).Apply(t.Context(), e, false)
	f.Equal(r.Code, hornbeamcroft.CodeAccepted)
}

// TestFollows guards against an edited document that is not delivered by the watch.
func TestFollows(t *testing.T) {
	f := newFixture(t)
	f.edit(t, "two", "slots = 2")
	f.Equal(<-f.watched, uint64(2))
}

// TestRepairs guards against a store that keeps an old document after it was restored from a copy, and against a watch
// that is not renewed.
func TestRepairs(t *testing.T) {
	f := newFixture(t)
	f.store.Save("old")
	f.edit(t, "two", "slots = 2")
	f.Equal(<-f.watched, uint64(2))
	f.NoErr(f.store.Restore("old"))
	f.Equal((<-f.errors).Error(), faker.ErrRestored.Error())
	f.Equal(<-f.read, uint64(1))
	f.Equal(<-f.watched, uint64(2)) // the repair
	stored, _, err := applier.Fetch(t.Context(), f.store)
	f.NoErr(err)
	f.Equal(stored.Revision, uint64(2))
}

// TestMalformed guards against a malformed or deleted document that stops the follower or replaces the document of the
// node.
func TestMalformed(t *testing.T) {
	f := newFixture(t)
	for _, p := range []hornbeamcroft.Put{
		{Key: hornbeamcroft.KeyDocument, Value: []byte("x")},
		{Key: hornbeamcroft.KeyDocument, Delete: true},
	} {
		_, err := f.store.Txn(t.Context(), nil, []hornbeamcroft.Put{p})
		f.NoErr(err)
		f.True(<-f.errors != nil)
	}
	f.edit(t, "again", "slots = 1") // starts at revision 1 again, since the store holds no document
	f.Equal(<-f.watched, uint64(1))
}

func ExampleFollower() {
	store := faker.NewStore(&faker.Clock{})
	dist := &distributor.Distributor{Check: applier.Check}
	f := &follower.Follower{
		Store: store, Rand: faker.Rand(1),
		OnRead: func(stored hornbeamcroft.StoredDocument, modRevision int64) *distributor.StoreWrite {
			return dist.OnRead(stored, modRevision).Write
		},
	}
	revision, err := f.Read(context.Background())
	fmt.Println(revision, err, dist.Newest().Revision)
	// Output: 1 <nil> 0
}
