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
	"hornbeamcroft/platform/standin/keeper"
	"hornbeamcroft/subscriber"
)

// follower holds what a subscriber delivered last.
type follower struct {
	mu     sync.Mutex
	values map[string]string
	lost   int
}

func (f *follower) put(e hornbeamcroft.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values[e.Key] = string(e.Value)
}

func (f *follower) get(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[key]
}

// TestFollow guards against changes that are missed over forgotten history, an outage of the store and watches that end.
func TestFollow(t *testing.T) {
	is := is.New(t)
	k := &keeper.Keeper{}
	server := httptest.NewServer(k)
	defer server.Close()
	defer server.CloseClientConnections()
	store := &platform.Store{
		Address: strings.TrimPrefix(server.URL, "http://"), WatchTime: func() time.Duration { return 300 * time.Millisecond },
	}
	store.Open()
	f := &follower{values: make(map[string]string)}
	s := &subscriber.Subscriber{
		Store: store, Prefix: "r/", Rand: rand.New(rand.NewPCG(1, 1)),
		OnList: func(entries []hornbeamcroft.Entry) {
			for _, e := range entries {
				f.put(e)
			}
		},
		OnEvent: func(e hornbeamcroft.Event) { f.put(e.Entry) },
		OnLost:  func(error) { f.lost++ }, OnFound: func() {}, OnCut: func(error) {},
	}
	k.Put("r/a", []byte("0"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	await := func(value string) {
		t.Helper()
		for end := time.Now().Add(3 * time.Second); f.get("r/a") != value; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the value is %q and not %q", f.get("r/a"), value)
			}
		}
	}
	await("0")
	k.Put("r/a", []byte("1"))
	await("1")
	k.Put("r/a", []byte("2"))
	k.Compact()
	await("2")
	k.SetFaults(keeper.Faults{Busy: true})
	time.Sleep(500 * time.Millisecond)
	k.Put("r/a", []byte("3"))
	k.Compact()
	k.SetFaults(keeper.Faults{})
	await("3")
	time.Sleep(400 * time.Millisecond) // a watch without a change ends
	k.Put("r/a", []byte("4"))
	await("4")
	cancel()
	wg.Wait()
	is.Equal(f.lost, 1)
}
