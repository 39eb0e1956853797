// Package etcdclient implements hornbeamcroft.Store over the JSON/HTTP gateway of etcd v3.
//
// Calls go through the httpc package of go-zero, with one circuit breaker for each endpoint. During an outage an open breaker
// lets about one call a second through, which protects the store; a call that it rejects was certainly not sent. If ctx
// carries a span and tracing is set up, httpc adds a client span and the traceparent header. Its log lines hold the method,
// the URL and the status, never keys or values; a program that wants no log lines disables logx.
package etcdclient

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamcroft"
	"hornbeamcroft/resetkeeper"
)

const (
	// DefaultTimeout is the timeout of one call, including its retries at other endpoints.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchTimeout is the time after which a watch ends and the caller must start a new one, so that a connection that
	// silently stopped working is replaced.
	DefaultWatchTimeout = 30 * time.Second
	// dialTimeout is the timeout for opening a connection. It is well below DefaultTimeout, so that time remains for the
	// next endpoint.
	dialTimeout = 500 * time.Millisecond
	// maxAnswerBytes is the maximum size of an answer, and of one message of a watch: enough for a list of ten values of 1 MB
	// in base64.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 128 << 10
	// maxIdleConnsPerEndpoint is the number of idle connections that are kept open to each endpoint.
	maxIdleConnsPerEndpoint = 4
)

// ErrStoreRolledBack means that the store's revision is lower than the one that a watch starts from, because the store was
// restored from an older snapshot.
var ErrStoreRolledBack = errors.New("store revision is lower than expected")

// Client implements hornbeamcroft.Store. Set the exported fields before Init. It is safe for concurrent use after Init.
type Client struct {
	// Endpoints are the addresses of the gateway as host:port; at least one. When an endpoint fails, the next one is tried.
	Endpoints []string
	// Timeout is the timeout of one call; DefaultTimeout if zero.
	Timeout time.Duration
	// WatchTimeout is the time after which a watch ends without an error; DefaultWatchTimeout if zero.
	WatchTimeout time.Duration
	// NoBreaker disables the circuit breakers of the endpoints. Set it for short-lived commands and measurements.
	NoBreaker bool

	// services holds one HTTP client with its circuit breaker for each endpoint.
	services []httpc.Service
	// firstEndpoint is the index, modulo the number of endpoints, of the endpoint that the next call tries first.
	firstEndpoint atomic.Int64
}

var _ hornbeamcroft.Store = (*Client)(nil)

// New returns a client of the endpoints with the default timeouts.
func New(endpoints ...string) *Client {
	c := &Client{Endpoints: endpoints, Timeout: DefaultTimeout, WatchTimeout: DefaultWatchTimeout}
	c.Init()
	return c
}

// Init applies the defaults and creates the HTTP clients. New calls it; a Client that was not made by New needs one call of
// Init before its first use.
func (c *Client) Init() {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.WatchTimeout == 0 {
		c.WatchTimeout = DefaultWatchTimeout
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:            resetkeeper.DialContext(&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}),
			MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		// A redirect is not followed, so that decode reports it as an error.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for _, endpoint := range c.Endpoints {
		name := "store " + endpoint
		if c.NoBreaker {
			breaker.NoBreakerFor(name)
		}
		c.services = append(c.services, httpc.NewServiceWithClient(name, client))
	}
}

// storeError is an error that the store reported in its answer.
type storeError struct {
	// Status is the HTTP status; zero if the error was sent in a stream.
	Status int
	// Code is the gRPC status code; zero if the answer had none.
	Code    int
	Message string
}

func (e *storeError) Error() string {
	return "store answered " + http.StatusText(e.Status) + ": " + e.Message
}

// call posts in to path and decodes the answer into out. A read is retried at another endpoint if it fails; a write is retried
// only if it was certainly not sent.
func (c *Client) call(ctx context.Context, path string, write bool, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.tryEndpoints(func(endpoint int) (bool, error) {
		resp, sent, err := c.post(ctx, endpoint, path, write, in)
		if err == nil {
			err = decode(resp, out)
		}
		retry := ctx.Err() == nil && (!sent || !write) && !isRejection(err)
		return retry, classify(err, sent)
	})
}

// tryEndpoints calls try with the index of each endpoint in turn until it succeeds or must not be retried. It starts with the
// endpoint that succeeded last, or with the one after the endpoint that failed last.
func (c *Client) tryEndpoints(try func(endpoint int) (retry bool, err error)) error {
	err := errors.Wrap(hornbeamcroft.ErrStoreUnreachable, "no endpoints")
	first := c.firstEndpoint.Load()
	for offset := range c.services {
		endpoint := (int(first) + offset) % len(c.services)
		var retry bool
		retry, err = try(endpoint)
		if err == nil {
			c.firstEndpoint.Store(int64(endpoint))
			return nil
		}
		if !isRejection(err) {
			// The next call starts at the next endpoint: if this one does not answer at all, each call that starts with it uses
			// up its whole timeout there.
			c.firstEndpoint.Store(int64(endpoint + 1))
		}
		if !retry {
			return err
		}
	}
	return err
}

// post sends one request to the endpoint with the given index. It also reports whether any byte of the request may have been
// sent.
func (c *Client) post(ctx context.Context, endpoint int, path string, write bool, in any) (*http.Response, bool, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, false, err
	}
	var sent atomic.Bool
	// No byte of a request is written before it has a connection.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Endpoints[endpoint]+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, false, err
	}
	if !write {
		// If a reused connection turns out to be closed, http.Transport retries a POST only if no byte of it was written. With
		// this header, which is not sent because it has no value, it retries the request also after bytes were written.
		r.Header["Idempotency-Key"] = nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.services[endpoint].DoRequest(r)
	return resp, sent.Load(), err
}

// isRejection reports whether the store itself rejected the call, so that another endpoint would reject it as well.
func isRejection(err error) bool {
	var storeErr *storeError
	return errors.As(err, &storeErr) && storeErr.Status < http.StatusInternalServerError
}

// classify maps an error of a call to the errors documented for hornbeamcroft.Store. sent is true if any byte of the request may
// have been sent.
func classify(err error, sent bool) error {
	if err == nil {
		return nil
	}
	var storeErr *storeError
	if errors.As(err, &storeErr) && storeErr.Code == grpcNotFound {
		return errors.Wrap(hornbeamcroft.ErrLeaseNotFound, storeErr.Message)
	}
	if !sent {
		return errors.Wrap(hornbeamcroft.ErrStoreUnreachable, err.Error())
	}
	return err
}

// decode reads an answer into out and closes its body. A status other than 200 is returned as an error.
func decode(resp *http.Response, out any) error {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer of the store")
	}
	if len(data) > maxAnswerBytes {
		return errors.Errorf("answer of the store exceeds %d bytes", maxAnswerBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return parseStoreError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "decode answer of the store")
	}
	return nil
}
