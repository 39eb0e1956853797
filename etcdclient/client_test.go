package etcdclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamcroft"
)

func TestMain(m *testing.M) {
	logx.Disable() // httpc logs each call
	os.Exit(m.Run())
}

// newClientAnswering returns a client of a server that answers each call with the same status and body.
func newClientAnswering(tb testing.TB, status int, body string) *Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	tb.Cleanup(server.Close)
	c := &Client{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, NoBreaker: true}
	c.Init()
	return c
}

// TestBrokenAnswers guards against a malformed answer that is taken for a missing key or for a write that did not take
// effect.
func TestBrokenAnswers(t *testing.T) {
	for _, tt := range []struct {
		status int
		body   string
	}{
		{200, ``},
		{200, `{}`},
		{200, `{"header":{"revision":"x"}}`},
		{200, `{"header":{"revision":"0"},"succeeded":true}`},
		{500, `{"header":{"revision":"3"},"succeeded":true}`},
		{503, `{"code":14,"message":"etcdserver: request timed out"}`},
		{307, ``},
	} {
		t.Run(fmt.Sprint(tt.status, tt.body), func(t *testing.T) {
			is := is.New(t)
			_, err := newClientAnswering(t, tt.status, tt.body).Txn(t.Context(), nil, nil)
			is.True(err != nil)
			is.True(!errors.Is(err, hornbeamcroft.ErrStoreUnreachable)) // the request was sent
		})
	}
	is := is.New(t)
	_, err := newClientAnswering(t, 200, `{"kvs":[{"key":"b3RoZXI=","mod_revision":"1"}]}`).Get(t.Context(), "key")
	is.True(err != nil) // the answer holds another key than the requested one
}

// TestLargeHead guards against a head that is read beyond its bound.
func TestLargeHead(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X", strings.Repeat("x", 2*maxHeadBytes))
		_, _ = io.WriteString(w, `{"header":{"revision":"3"},"succeeded":true}`)
	}))
	defer server.Close()
	c := &Client{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, NoBreaker: true}
	c.Init()
	_, err := c.Txn(t.Context(), nil, nil)
	is.True(err != nil)
}

// TestLeaseErrors guards against an expired or revoked lease that is taken for a temporary failure of the store.
func TestLeaseErrors(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	missing := newClientAnswering(t, 404, `{"error":"x","code":5,"message":"etcdserver: requested lease not found"}`)
	is.True(errors.Is(missing.Revoke(ctx, 1), hornbeamcroft.ErrLeaseNotFound))
	is.True(errors.Is(newClientAnswering(t, 200, `{"result":{"ID":"1"}}`).KeepAlive(ctx, 1), hornbeamcroft.ErrLeaseNotFound))
	temporary := newClientAnswering(t, 200, `{"error":{"grpc_code":14,"message":"unavailable"}}`).KeepAlive(ctx, 1)
	is.True(temporary != nil && !errors.Is(temporary, hornbeamcroft.ErrLeaseNotFound))
	is.NoErr(newClientAnswering(t, 200, `{"result":{"ID":"1","TTL":"3"}}`).KeepAlive(ctx, 1))
}

// TestUnsentAfterCancel guards against a call that is reported as possibly applied although its context was cancelled before
// the call.
func TestUnsentAfterCancel(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := newClientAnswering(t, 200, `{}`).Txn(ctx, nil, nil)
	is.True(errors.Is(err, hornbeamcroft.ErrStoreUnreachable))
}

// TestWriteIsNotRepeated guards against a write that is sent to a second endpoint although the first one may have applied it.
func TestWriteIsNotRepeated(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := &Client{Endpoints: []string{address, address}, NoBreaker: true}
	c.Init()
	_, err := c.Txn(t.Context(), nil, nil)
	is.True(err != nil)
	is.Equal(calls.Load(), int32(1))
	_, err = c.Get(t.Context(), "a")
	is.True(err != nil)
	is.Equal(calls.Load(), int32(3)) // a read may be retried
}

// TestSilentEndpoint guards against an endpoint that accepts connections but never answers: if each call started there, all
// calls would time out although another endpoint answers.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	working := newClientAnswering(t, 200, `{"header":{"revision":"1"}}`)
	c := &Client{Endpoints: []string{silent.Addr().String(), working.Endpoints[0]}, NoBreaker: true}
	c.Init()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = c.Get(ctx, "a")
	is.True(err != nil)
	_, err = c.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(int(c.firstEndpoint.Load()), 1)
}

// TestWatchRenews guards against a watch that never ends on a connection that silently stopped working.
func TestWatchRenews(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"result":{"header":{"revision":"5"},"created":true}}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	c := &Client{Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, WatchTimeout: 10 * time.Millisecond, NoBreaker: true}
	c.Init()
	err := c.Watch(t.Context(), "a", 5, func(hornbeamcroft.Event) {})
	is.NoErr(err)
}

// FuzzAnswers guards against a panic on a malformed answer, and against entries and events that are accepted without a
// revision.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		`{"header":{"revision":"3"},"kvs":[{"key":"YQ==","mod_revision":"3","value":"MQ==","lease":"7"}],"count":"1"}`,
		`{"header":{"revision":"3"},"succeeded":true}`,
		`{"result":{"ID":"7","TTL":"3"}}`,
		`{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"3"}}]}}`,
		`{"result":{"canceled":true,"compact_revision":"9"}}{"result":null}`,
		`{"error":{"grpc_code":5,"message":"x"}}`, `{"error":"x","code":5}`, `[]`, `null`, `{"kvs":[{}]}`, "\x00",
	} {
		f.Add(200, []byte(seed))
		f.Add(404, []byte(seed))
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		answer := func() *http.Response {
			return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}
		}
		var out rangeResponse
		_ = decode(answer(), &out)
		for _, kv := range out.Kvs {
			if kv.validate() == nil && kv.entry().ModRevision <= 0 {
				t.Errorf("accepted an entry without a revision: %+v", kv)
			}
		}
		_ = decode(answer(), &streamResponse[leaseResponse]{})
		err := readWatch(answer(), 1, func(e hornbeamcroft.Event) {
			if e.Entry.Key == "" || e.Entry.ModRevision <= 0 {
				t.Errorf("delivered an event without key or revision: %+v", e)
			}
		})
		if err == nil && status == http.StatusOK {
			t.Error("readWatch returned without an error")
		}
	})
}

func ExampleClient() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"header":{"revision":"3"},"kvs":[{"key":"YQ==","mod_revision":"2","value":"MQ=="}]}`)
	}))
	defer server.Close()
	c := New(strings.TrimPrefix(server.URL, "http://"))
	e, err := c.Get(context.Background(), "a")
	fmt.Println(string(e.Value), e.ModRevision, err)
	// Output: 1 2 <nil>
}
