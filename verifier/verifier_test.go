package verifier_test

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/platform"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/timekeeper"
	"hornbeamcroft/verifier"
)

// fixture is a Verifier of one key of a stand-in store.
type fixture struct {
	verifier.Verifier
	store  *storeserver.StoreServer
	calls  atomic.Int64
	values []string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{}
	f.store = &storeserver.StoreServer{OnCall: func(string, string) { f.calls.Add(1) }}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	store := &platform.Store{Address: strings.TrimPrefix(server.URL, "http://")}
	store.Open()
	f.Verifier = verifier.Verifier{
		Store: store, Key: "configuration", Clock: timekeeper.New(),
		OnValue: func(value []byte) { f.values = append(f.values, string(value)) },
	}
	return f
}

// verify checks that the store is found to hold the value, "" for none, in the era, and that it cost so many calls.
func (f *fixture) verify(t *testing.T, value string, era, calls int64) {
	t.Helper()
	before := f.calls.Load()
	from := f.Clock.Now()
	got, err := f.Verify(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.Found != (value != "") || got.Found && got.Sum != verifier.Sum([]byte(value)) {
		t.Errorf("got %+v, want the value %q", got, value)
	}
	if got.Era != era || got.At < from || got.At > f.Clock.Now() {
		t.Errorf("got %+v, want era %d and a time after %v", got, era, from)
	}
	if n := f.calls.Load() - before; n != calls {
		t.Errorf("%d calls, want %d", n, calls)
	}
}

// TestVerify guards against a finding that is not that of the newest value, also after the history is gone and after a store came back
// from an older copy, and against more calls than one each.
func TestVerify(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("configuration-other", []byte("x"))
	f.verify(t, "", 1, 1)
	f.store.Put("configuration", []byte("1"))
	f.verify(t, "1", 1, 1)
	f.verify(t, "1", 1, 1)
	time.Sleep(120 * time.Millisecond)
	f.store.Items("") // takes a snapshot
	f.store.Put("configuration", []byte("2"))
	f.store.Put("configuration", []byte("3"))
	f.store.Put("configuration-other", []byte("y"))
	f.verify(t, "3", 1, 1)
	time.Sleep(60 * time.Millisecond)
	f.store.Restore(50 * time.Millisecond)
	f.verify(t, "1", 2, 2)
	f.store.Put("configuration", []byte("4"))
	f.verify(t, "4", 2, 1)
	f.store.Put("configuration", []byte("5"))
	f.store.Compact()
	f.verify(t, "5", 2, 2)
	f.store.Remove("configuration")
	f.verify(t, "", 2, 1)
	is.Equal(f.values, []string{"1", "2", "3", "1", "4", "5"})
}

// TestRefused guards against a call that failed and counts as a finding, and against a list after it.
func TestRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.store.Put("configuration", []byte("1"))
	f.verify(t, "1", 1, 1)
	f.store.SetFaults(storeserver.Faults{Busy: true})
	_, err := f.Verify(t.Context())
	is.True(errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
	f.store.SetFaults(storeserver.Faults{Reset: true})
	_, err = f.Verify(t.Context())
	is.True(err != nil)
	f.store.SetFaults(storeserver.Faults{})
	f.verify(t, "1", 1, 1)
}
