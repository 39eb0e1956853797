package subscriber_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/platform"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/subscriber"
)

// receivedValues holds the last value of each key that the subscriber delivered, and the number of OnStoreLost calls.
type receivedValues struct {
	mu     sync.Mutex
	values map[string]string
	lost   int
}

func (f *receivedValues) put(e hornbeamcroft.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values[e.Key] = string(e.Value)
}

func (f *receivedValues) get(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[key]
}

// fixture is a Subscriber of the prefix "r/" that runs with a stand-in store. Stop ends Run and waits for its return.
type fixture struct {
	receivedValues
	store *storeserver.StoreServer
	// calls counts the calls to the store.
	calls atomic.Int64
	stop  func()
}

// start returns a running fixture whose watches end after watchHold.
func start(t *testing.T, watchHold time.Duration) *fixture {
	t.Helper()
	f := &fixture{receivedValues: receivedValues{values: make(map[string]string)}}
	f.store = &storeserver.StoreServer{OnCall: func(string, string) { f.calls.Add(1) }}
	server := httptest.NewServer(f.store)
	end := make(chan struct{})
	go f.store.Run(end)
	store := &platform.Store{
		Address: strings.TrimPrefix(server.URL, "http://"), WatchHold: func() time.Duration { return watchHold },
	}
	store.Open()
	s := &subscriber.Subscriber{
		Store: store, Prefix: "r/", Rand: rand.New(rand.NewPCG(1, 1)),
		OnList: func(entries []hornbeamcroft.Entry) {
			for _, e := range entries {
				f.put(e)
			}
		},
		OnEvent:     func(e hornbeamcroft.Event) { f.put(e.Entry) },
		OnStoreLost: func(error) { f.lost++ }, OnStoreRecovered: func() {}, OnWatchEnded: func(error) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	f.stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(func() {
		f.stop()
		close(end)
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// await fails the test unless the subscriber delivers the value of r/a within the limit.
func (f *fixture) await(t *testing.T, value string, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); f.get("r/a") != value; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got value %q, want %q", f.get("r/a"), value)
		}
	}
}

// TestFollow checks that the subscriber delivers every later value of a key after the store has compacted its history,
// after an outage of the store, and after a watch that ended without a change.
func TestFollow(t *testing.T) {
	const limit = 3 * time.Second
	is := is.New(t)
	f := start(t, 300*time.Millisecond)
	f.store.Put("r/a", []byte("0"))
	f.await(t, "0", limit)
	f.store.Put("r/a", []byte("1"))
	f.await(t, "1", limit)
	f.store.Put("r/a", []byte("2"))
	f.store.Compact()
	f.await(t, "2", limit)
	f.store.SetFaults(storeserver.Faults{Busy: true})
	time.Sleep(500 * time.Millisecond)
	f.store.Put("r/a", []byte("3"))
	f.store.Compact()
	f.store.SetFaults(storeserver.Faults{})
	f.await(t, "3", limit)
	time.Sleep(400 * time.Millisecond) // longer than the hold, so that a watch ends without a change
	f.store.Put("r/a", []byte("4"))
	f.await(t, "4", limit)
	f.stop()
	is.Equal(f.lost, 1)
}
