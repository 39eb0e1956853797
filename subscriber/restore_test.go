package subscriber_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
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

// maxCallsAfterRestore bounds the calls of one subscriber in the second after the store was restored.
const maxCallsAfterRestore = 20

// TestChangeMissedAfterRestore guards against changes on a restored store that are missed, and against a loop of lists, because its revisions went back.
func TestChangeMissedAfterRestore(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	storeServer := &storeserver.StoreServer{OnCall: func(string, string) { calls.Add(1) }}
	server := httptest.NewServer(storeServer)
	defer server.Close()
	defer server.CloseClientConnections()
	stop := make(chan struct{})
	defer close(stop)
	go storeServer.Run(stop)
	store := &platform.Store{
		Address: strings.TrimPrefix(server.URL, "http://"), WatchHold: func() time.Duration { return 5 * time.Second },
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
		OnStoreLost: func(error) {}, OnStoreRecovered: func() {}, OnWatchEnded: func(error) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	await := func(value string) {
		t.Helper()
		for end := time.Now().Add(time.Second); f.get("r/a") != value; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("r/a is %q after 1 s, want %q", f.get("r/a"), value)
			}
		}
	}
	storeServer.Put("r/a", []byte("old"))
	time.Sleep(300 * time.Millisecond) // a snapshot holds it
	for i := range 10 {
		storeServer.Put("r/a", []byte(strconv.Itoa(i)))
	}
	await("9")
	storeServer.Restore(200 * time.Millisecond)
	calls.Store(0)
	time.Sleep(time.Second)
	is.True(calls.Load() <= maxCallsAfterRestore)
	for i := range 30 { // the new revisions pass the old ones
		value := "after-" + strconv.Itoa(i)
		storeServer.Put("r/a", []byte(value))
		await(value)
	}
}
