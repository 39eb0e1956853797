// Package dispatcher sends one call to the upstream beside the node over HTTP/1.1 and states what is known about its
// execution. It sends each call at most once: the transparent resend of the HTTP client is defeated, because it would
// run a non-idempotent request a second time.
package dispatcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamcroft"
)

// Headers of calls to upstreams.
const (
	HeaderCall           = "Hornbeam-Call"
	HeaderTimeout        = "Request-Timeout"
	HeaderStartBefore    = "Hornbeam-Start-Before"
	HeaderClaim          = "Hornbeam-Claim"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTrace          = "Traceparent"
)

// clientName is the name of the HTTP client; its circuit breaker is off, because admission has already decided.
const clientName = "hornbeamcroft-upstream"

// connectTimeout bounds a new connection to the upstream, which is on the same host.
const connectTimeout = time.Second

// Dispatcher sends calls to one upstream. Set the exported fields before the first Run.
type Dispatcher struct {
	// Address is the IP address and port of the upstream.
	Address string
	// Connections bounds the open connections; at least 1.
	Connections int
	// MaxBody bounds an answer's body in bytes.
	MaxBody func() int

	service httpc.Service
	client  *http.Client
}

// Request is a call with what the upstream needs to know besides.
type Request struct {
	Call hornbeamcroft.Call
	// Token identifies the running call; the upstream's own code passes it back with its child calls.
	Token string
	// StartBefore is the end of the permit on the host's monotonic clock in nanoseconds; zero if there is none.
	StartBefore int64
}

// Result is the answer with evidence for the node's own decisions.
type Result struct {
	Answer hornbeamcroft.Answer
	// Broken is true if the connection ended without an answer, which is what a crash looks like.
	Broken bool
}

// Open prepares the HTTP client.
func (d *Dispatcher) Open() {
	breaker.NoBreakerFor(clientName)
	d.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxConnsPerHost:     d.Connections,
			MaxIdleConnsPerHost: d.Connections,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	d.service = httpc.NewServiceWithClient(clientName, d.client)
}

// Probe reports whether the upstream accepts connections.
func (d *Dispatcher) Probe(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", d.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// settleTime is how long Crashed watches a new connection. A process that ends can still complete a connection before
// its listener is closed, but then the connection is reset at once.
const settleTime = 50 * time.Millisecond

// Crashed reports whether the upstream's process has ended: nothing listens, or a new connection is closed without a
// byte sent.
func (d *Dispatcher) Crashed(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", d.Address)
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(settleTime))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// onceBody is a request body that cannot be rewound. The HTTP client resends a request with an Idempotency-Key on its
// own when a kept connection breaks, unless the body is one that it cannot rewind.
type onceBody struct {
	data []byte
	read int
}

func (b *onceBody) Read(p []byte) (int, error) {
	if b.read >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

func (b *onceBody) Close() error { return nil }

// Run sends the request and waits for the answer, the deadline or the end of ctx.
func (d *Dispatcher) Run(ctx context.Context, q Request) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := d.request(httptrace.WithClientTrace(ctx, trace), q)
	if err != nil {
		return refused(hornbeamcroft.CodeMalformed)
	}
	start := time.Now()
	resp, err := d.service.DoRequest(r)
	if err != nil {
		if !connected.Load() {
			return refused(notConnected(ctx))
		}
		code := lost(ctx)
		return Result{Answer: hornbeamcroft.Answer{Code: code}, Broken: code == hornbeamcroft.CodeOutcomeUnknown}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderClaim) == hornbeamcroft.ClaimNotRun.String() {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
		return refused(hornbeamcroft.CodeUpstreamRefused)
	}
	return d.readAnswer(ctx, resp, start)
}

func (d *Dispatcher) request(ctx context.Context, q Request) (*http.Request, error) {
	url := "http://" + d.Address + "/" + q.Call.Service + "/" + q.Call.Type
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &onceBody{data: q.Call.Body})
	if err != nil {
		return nil, errors.Wrap(err, "upstream request")
	}
	r.ContentLength = int64(len(q.Call.Body))
	h := r.Header
	h.Set(HeaderCall, q.Token)
	h.Set(HeaderTimeout, strconv.FormatInt(remaining(ctx, q.Call.Remaining).Milliseconds(), 10))
	setIf(h, HeaderTrace, q.Call.Trace)
	setIf(h, "Content-Type", q.Call.ContentType)
	setIf(h, HeaderIdempotencyKey, q.Call.Key)
	if q.StartBefore != 0 {
		h.Set(HeaderStartBefore, strconv.FormatInt(q.StartBefore, 10))
	}
	return r, nil
}

func remaining(ctx context.Context, preset time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(time.Until(deadline), 0)
	}
	return preset
}

func setIf(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

// readAnswer reads the whole body. A body whose end is not marked by a length or a last chunk cannot be told from a
// truncated one and is not passed on.
func (d *Dispatcher) readAnswer(ctx context.Context, resp *http.Response, start time.Time) Result {
	if resp.StatusCode < http.StatusOK {
		// No final answer by HTTP, which could not be passed on as one.
		return Result{Answer: hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswerTruncated}}
	}
	limit := d.MaxBody()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	unmarked := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	switch {
	case err != nil && ctx.Err() != nil:
		return Result{Answer: hornbeamcroft.Answer{Code: lost(ctx)}}
	case err != nil, unmarked, len(body) > limit:
		return Result{Answer: hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswerTruncated}, Broken: err != nil}
	}
	return Result{Answer: hornbeamcroft.Answer{
		Code:        hornbeamcroft.CodeAnswered,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		ServiceTime: time.Since(start),
	}}
}

func refused(code hornbeamcroft.Code) Result {
	return Result{Answer: hornbeamcroft.Answer{Code: code}}
}

func notConnected(ctx context.Context) hornbeamcroft.Code {
	if ctx.Err() != nil {
		return hornbeamcroft.CodeCancelledBeforeStart
	}
	return hornbeamcroft.CodeUpstreamUnreachable
}

func lost(ctx context.Context) hornbeamcroft.Code {
	if ctx.Err() != nil {
		return hornbeamcroft.EndedCode(ctx)
	}
	return hornbeamcroft.CodeOutcomeUnknown
}
