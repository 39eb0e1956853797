// Package etcdclient implements hornbeamcroft.Store over the JSON/HTTP gateway of etcd v3.
//
// Calls go through httpc of go-zero. Its circuit breaker is used with one breaker for each endpoint: during an outage
// it lets about one call a second through, which protects the store, and a rejected call was certainly not sent. Its
// tracing adds a client span and the traceparent header if ctx carries a span and tracing is set up, and does nothing
// otherwise. Its log lines hold method, URL and status, never keys or values; a program that wants none disables logx.
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
)

// Defaults and bounds.
const (
	// DefaultTimeout bounds one call over all endpoints.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchTime bounds one watch, so that a connection that went silent is replaced.
	DefaultWatchTime = 30 * time.Second
	// dialTimeout bounds opening a connection, so that time remains for the next endpoint.
	dialTimeout = 500 * time.Millisecond
	// maxAnswer bounds an answer in bytes: a list of ten values of 1 MB in base64.
	maxAnswer = 16 << 20
	// maxIdleConns per endpoint.
	maxIdleConns = 4
)

// ErrStoreOlder means that the store's revision is below the one asked for: it was restored from an older copy.
var ErrStoreOlder = errors.New("store revision is older than expected")

// Client is a hornbeamcroft.Store. It is safe for concurrent use. Exported fields are set before the first call.
type Client struct {
	// Endpoints are the addresses of the gateway as host:port; at least one. An endpoint that fails is replaced by the
	// next one.
	Endpoints []string
	// Timeout bounds one call; DefaultTimeout if zero.
	Timeout time.Duration
	// WatchTime bounds one watch; DefaultWatchTime if zero.
	WatchTime time.Duration
	// NoBreaker switches the circuit breakers of the endpoints off. Set it for short-lived commands and measurements.
	NoBreaker bool

	services []httpc.Service
	// current is the index of the endpoint to try first, modulo their number.
	current atomic.Int64
}

var _ hornbeamcroft.Store = (*Client)(nil)

// New returns a client of the endpoints with default times.
func New(endpoints ...string) *Client {
	c := &Client{Endpoints: endpoints, Timeout: DefaultTimeout, WatchTime: DefaultWatchTime}
	c.Init()
	return c
}

// Init prepares the connections; New calls it. It must be called once if the Client was not made by New.
func (c *Client) Init() {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.WatchTime == 0 {
		c.WatchTime = DefaultWatchTime
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     time.Minute,
		},
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

// answerError is an answer that states a failure.
type answerError struct {
	Status  int
	Code    int
	Message string
}

func (e *answerError) Error() string {
	return "store answered " + http.StatusText(e.Status) + ": " + e.Message
}

// call posts in to path and decodes the answer into out. A read may be repeated at another endpoint; a write is only
// repeated if it was certainly not sent.
func (c *Client) call(ctx context.Context, path string, write bool, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.each(func(i int) (bool, error) {
		resp, sent, err := c.post(ctx, i, path, write, in)
		if err == nil {
			err = decode(resp, out)
		}
		retry := ctx.Err() == nil && (!sent || !write) && !definite(err)
		return retry, classify(err, sent)
	})
}

// each tries the endpoints in turn, starting with the one that answered last.
func (c *Client) each(try func(i int) (retry bool, err error)) error {
	err := errors.Wrap(hornbeamcroft.ErrStoreUnreachable, "no endpoints")
	first := c.current.Load()
	for k := range c.services {
		i := (int(first) + k) % len(c.services)
		var retry bool
		retry, err = try(i)
		if err == nil {
			c.current.Store(int64(i))
			return nil
		}
		if !definite(err) {
			// The next call starts elsewhere, since this endpoint may be silent and use up the call's whole time.
			c.current.Store(int64(i + 1))
		}
		if !retry {
			return err
		}
	}
	return err
}

// post sends one request. It reports whether a byte of it may have been sent.
func (c *Client) post(ctx context.Context, i int, path string, write bool, in any) (*http.Response, bool, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, false, err
	}
	var sent atomic.Bool
	// A request is written only after a connection was obtained for it.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Endpoints[i]+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, false, err
	}
	if !write {
		// The transport repeats a request by itself if its reused connection turns out to be closed: a POST only if no
		// byte was written, and with this entry, which is not sent, also later.
		r.Header["Idempotency-Key"] = nil
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.services[i].DoRequest(r)
	return resp, sent.Load(), err
}

// definite reports whether the store's answer settles the call, so that another endpoint would say the same.
func definite(err error) bool {
	var ae *answerError
	return errors.As(err, &ae) && ae.Status < http.StatusInternalServerError
}

// classify maps an error to the errors of a Store.
func classify(err error, sent bool) error {
	if err == nil {
		return nil
	}
	var ae *answerError
	if errors.As(err, &ae) && ae.Code == codeNotFound {
		return errors.Wrap(hornbeamcroft.ErrLeaseNotFound, ae.Message)
	}
	if !sent {
		return errors.Wrap(hornbeamcroft.ErrStoreUnreachable, err.Error())
	}
	return err
}

// decode reads one answer and closes its body.
func decode(resp *http.Response, out any) error {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if len(data) > maxAnswer {
		return errors.Errorf("answer of more than %d bytes", maxAnswer)
	}
	if resp.StatusCode != http.StatusOK {
		return answerErrorOf(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "answer")
	}
	return nil
}
