package subscriber_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
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

// TestFollow checks that the subscriber delivers every later value of a key after the store has compacted its history,
// after an outage of the store, and after a watch that ended without a change.
func TestFollow(t *testing.T) {
	is := is.New(t)
	storeServer := &storeserver.StoreServer{}
	server := httptest.NewServer(storeServer)
	defer server.Close()
	defer server.CloseClientConnections()
	store := &platform.Store{
		Address: strings.TrimPrefix(server.URL, "http://"), WatchHold: func() time.Duration { return 300 * time.Millisecond },
	}
	store.Open()
	f := &receivedValues{values: make(map[string]string)}
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
	storeServer.Put("r/a", []byte("0"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	waitForValue := func(value string) {
		t.Helper()
		for end := time.Now().Add(3 * time.Second); f.get("r/a") != value; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("got value %q, want %q", f.get("r/a"), value)
			}
		}
	}
	waitForValue("0")
	storeServer.Put("r/a", []byte("1"))
	waitForValue("1")
	storeServer.Put("r/a", []byte("2"))
	storeServer.Compact()
	waitForValue("2")
	storeServer.SetFaults(storeserver.Faults{Busy: true})
	time.Sleep(500 * time.Millisecond)
	storeServer.Put("r/a", []byte("3"))
	storeServer.Compact()
	storeServer.SetFaults(storeserver.Faults{})
	waitForValue("3")
	time.Sleep(400 * time.Millisecond) // longer than WatchHold, so that a watch ends without a change
	storeServer.Put("r/a", []byte("4"))
	waitForValue("4")
	cancel()
	wg.Wait()
	is.Equal(f.lost, 1)
}
