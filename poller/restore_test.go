package poller_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/platform"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/poller"
)

// TestListIgnoredAfterRestore guards against lists of a restored store that are taken for older ones.
func TestListIgnoredAfterRestore(t *testing.T) {
	is := is.New(t)
	storeServer := &storeserver.StoreServer{}
	server := httptest.NewServer(storeServer)
	defer server.Close()
	defer server.CloseClientConnections()
	store := &platform.Store{Address: strings.TrimPrefix(server.URL, "http://")}
	store.Open()
	var listed atomic.Int64
	p := &poller.Poller{
		Store: store, Prefix: "m/", Interval: func() time.Duration { return 20 * time.Millisecond }, Rand: rand.New(rand.NewPCG(1, 1)),
		OnList:      func(entries []hornbeamcroft.Entry, _ int64) { listed.Store(int64(len(entries))) },
		OnStoreLost: func(error) {}, OnStoreRecovered: func() {},
	}
	storeServer.Put("m/a", nil)
	is.Equal(len(storeServer.Items("m/")), 1) // takes a snapshot
	storeServer.Put("m/b", nil)
	storeServer.Put("m/c", nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		p.Run(ctx)
		close(done)
	}()
	time.Sleep(200 * time.Millisecond)
	is.Equal(listed.Load(), int64(3))
	storeServer.Restore(time.Minute)
	time.Sleep(200 * time.Millisecond)
	is.Equal(listed.Load(), int64(1))
	cancel()
	<-done
}
