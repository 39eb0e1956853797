package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/etcdclient"
)

type fixture struct {
	*is.I
	server *Server
	client *etcdclient.Client
	// now is the time of the stand-in's leases.
	now time.Time
}

// newFixture serves the stand-in on the loopback interface, with a clock that only the test advances.
func newFixture(t *testing.T) *fixture {
	f := &fixture{I: is.New(t), now: time.Unix(0, 0)}
	f.server = &Server{Now: func() time.Time { return f.now }}
	f.NoErr(f.server.Init())
	httpServer := httptest.NewServer(f.server)
	t.Cleanup(httpServer.Close)
	f.client = &etcdclient.Client{Endpoints: []string{strings.TrimPrefix(httpServer.URL, "http://")}, NoBreaker: true}
	f.client.Init()
	return f
}

func put(key, value string) []hornbeamcroft.Put {
	return []hornbeamcroft.Put{{Key: key, Value: []byte(value)}}
}

// TestCompareAndSwap guards against a write that is applied although its condition does not hold.
func TestCompareAndSwap(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	e, err := f.client.Get(ctx, "a")
	f.NoErr(err)
	f.Equal(e.ModRevision, int64(0))
	first, err := f.client.Txn(ctx, []hornbeamcroft.Compare{{Key: "a"}}, put("a", "1"))
	f.NoErr(err)
	f.True(first.Succeeded)
	second, err := f.client.Txn(ctx, []hornbeamcroft.Compare{{Key: "a"}}, put("a", "2"))
	f.NoErr(err)
	f.True(!second.Succeeded)
	entries, revision, err := f.client.List(ctx, "a")
	f.NoErr(err)
	f.Equal(string(entries[0].Value), "1")
	f.Equal(entries[0].ModRevision, first.Revision)
	f.Equal(revision, first.Revision)
}

// TestLostAnswer guards against a client that reports a write as not sent although only its answer was lost, and against a
// stand-in that does not apply a write whose answer it loses.
func TestLostAnswer(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	f.server.SetFaults(Faults{LoseAnswers: 1})
	_, err := f.client.Txn(ctx, nil, put("a", "1"))
	f.True(err != nil)
	f.True(!errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
	e, err := f.client.Get(ctx, "a")
	f.NoErr(err)
	f.Equal(string(e.Value), "1")
}

// TestNotSent guards against a write that is reported as possibly applied although the connection was refused.
func TestNotSent(t *testing.T) {
	f := newFixture(t)
	client := etcdclient.New("127.0.0.1:1")
	_, err := client.Txn(t.Context(), nil, put("a", "1"))
	f.True(errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
}

// TestNextEndpoint guards against a call that fails because the first endpoint refuses connections although the second one
// works.
func TestNextEndpoint(t *testing.T) {
	f := newFixture(t)
	client := etcdclient.New("127.0.0.1:1", f.client.Endpoints[0])
	_, err := client.Txn(t.Context(), nil, put("a", "1"))
	f.NoErr(err)
}

// TestLease guards against keys that still exist after their lease has expired, and against renewals that do not extend a
// lease.
func TestLease(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	id, err := f.client.Grant(ctx, 2*time.Second)
	f.NoErr(err)
	_, err = f.client.Txn(ctx, nil, []hornbeamcroft.Put{{Key: "a", Lease: id}})
	f.NoErr(err)
	f.now = f.now.Add(1500 * time.Millisecond)
	f.NoErr(f.client.KeepAlive(ctx, id))
	f.now = f.now.Add(1500 * time.Millisecond)
	e, err := f.client.Get(ctx, "a")
	f.NoErr(err)
	f.Equal(e.Lease, id)
	f.now = f.now.Add(time.Second)
	e, err = f.client.Get(ctx, "a")
	f.NoErr(err)
	f.Equal(e.ModRevision, int64(0))
	f.True(errors.Is(f.client.KeepAlive(ctx, id), hornbeamcroft.ErrLeaseNotFound))
	f.True(errors.Is(f.client.Revoke(ctx, id), hornbeamcroft.ErrLeaseNotFound))
	_, err = f.client.Txn(ctx, nil, []hornbeamcroft.Put{{Key: "a", Lease: id}})
	f.True(errors.Is(err, hornbeamcroft.ErrLeaseNotFound))
}

// TestWatch guards against lost, repeated or reordered events, and against a watch that continues after a restore.
func TestWatch(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	f.server.state.saveSnapshot("empty")
	_, err := f.client.Txn(ctx, nil, put("p/a", "1"))
	f.NoErr(err)
	events := make(chan hornbeamcroft.Event)
	ended := make(chan error, 1)
	go func() {
		ended <- f.client.Watch(ctx, "p/", 1, func(e hornbeamcroft.Event) { events <- e })
	}()
	f.Equal(string((<-events).Entry.Value), "1")
	_, err = f.client.Txn(ctx, nil, put("q", "other"))
	f.NoErr(err)
	_, err = f.client.Txn(ctx, nil, []hornbeamcroft.Put{{Key: "p/a", Delete: true}})
	f.NoErr(err)
	f.True((<-events).Deleted)
	f.True(f.server.state.restoreSnapshot("empty"))
	f.True(<-ended != nil)
	err = f.client.Watch(ctx, "p/", 4, func(hornbeamcroft.Event) {})
	f.True(errors.Is(err, etcdclient.ErrStoreRolledBack))
}

// TestLargeValue guards against a stand-in that accepts values above the platform's limit of 1 MB or rejects values at the
// limit.
func TestLargeValue(t *testing.T) {
	f := newFixture(t)
	f.client.Timeout = time.Minute // with the race detector on a busy machine, a large value takes seconds to encode
	_, err := f.client.Txn(t.Context(), nil, put("a", strings.Repeat("x", maxValueBytes+1)))
	f.True(err != nil)
	_, err = f.client.Txn(t.Context(), nil, put("a", strings.Repeat("x", maxValueBytes)))
	f.NoErr(err)
}

// TestDown guards against a stand-in that answers calls, or does not count them, while the fault Down is set.
func TestDown(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(Faults{Down: true})
	_, err := f.client.Get(context.Background(), "a")
	f.True(err != nil)
	f.Equal(f.server.Counts()["/v3/kv/range"], 1)
}

// TestStaleSnapshot guards against reads that ignore the fault stale-copy.
func TestStaleSnapshot(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	f.server.state.saveSnapshot("empty")
	_, err := f.client.Txn(ctx, nil, put("a", "1"))
	f.NoErr(err)
	f.server.SetFaults(Faults{StaleSnapshot: "empty"})
	e, err := f.client.Get(ctx, "a")
	f.NoErr(err)
	f.Equal(e.ModRevision, int64(0))
}

func Example() {
	s, _ := New()
	_ = s.Load([]byte("[service cash]\nowner = cash\nslots = 2\nconnections = 9\n"))
	httpServer := httptest.NewServer(s)
	defer httpServer.Close()
	resp, _ := http.Post(httpServer.URL+"/v3/kv/range", "application/json", strings.NewReader(`{"key":"YWJzZW50"}`))
	_, _ = io.Copy(os.Stdout, resp.Body)
	fmt.Println(s.Counts()["all"])
	// Output:
	// {"header":{"cluster_id":"1","member_id":"1","revision":"2","raft_term":"1"}}
	// 1
}
