// Package dispatcher sends one call to the local upstream, the one beside the node, over HTTP/1.1 and states what is
// known about its execution. It sends each call at most once. Go's HTTP client can resend a request on its own, which
// would run a non-idempotent request a second time; the package prevents that.
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
	"golang.org/x/net/http/httpguts"

	"hornbeamcroft"
)

// Headers of the calls to upstreams.
const (
	// HeaderCall identifies the call. Upstreams should send it back in their answers.
	HeaderCall           = "Hornbeam-Call"
	HeaderTimeout        = "Request-Timeout"
	HeaderStartBefore    = "Hornbeam-Start-Before"
	HeaderClaim          = "Hornbeam-Claim"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTrace          = "Traceparent"
)

// clientName is the name of the HTTP client. Its circuit breaker is off, because admission has already decided that the
// call may run.
const clientName = "hornbeamcroft-upstream"

// connectTimeout bounds the time to open a connection to the upstream, which is on the same host.
const connectTimeout = time.Second

// maxHeadBytes bounds the head of an answer, which an upstream in trouble may send without end.
const maxHeadBytes = 128 << 10

// Dispatcher sends calls to one upstream. Connections must be set before Open, the other exported fields before the
// first Run.
type Dispatcher struct {
	// Address is the IP address and port of the upstream.
	Address string
	// Connections is the maximum number of open connections; at least 1.
	Connections int
	// MaxBody returns the maximum length of an answer's body in bytes.
	MaxBody func() int

	service httpc.Service
	client  *http.Client
}

// Request is a call with the further data that the upstream gets.
type Request struct {
	Call hornbeamcroft.Call
	// Token identifies the running call. The upstream's code sends it with its child calls, so that the node knows
	// their parent.
	Token string
	// StartBefore is the time at which the permit ends, in nanoseconds on the host's monotonic clock; zero if there is
	// no permit.
	StartBefore int64
}

// Result is the answer with details for the node's own decisions.
type Result struct {
	Answer hornbeamcroft.Answer
	// ConnectionLost is true if the connection ended without a complete answer, as it does when the upstream crashes.
	ConnectionLost bool
}

// Open creates the HTTP client. It must be called before Run.
func (d *Dispatcher) Open() {
	breaker.NoBreakerFor(clientName)
	d.client = &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        d.Connections,
			MaxIdleConnsPerHost:    d.Connections,
			IdleConnTimeout:        90 * time.Second,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
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

// resetWait is the time for which Crashed watches a new connection. The listener of a process that is exiting can still
// accept a connection, but the connection is then reset at once.
const resetWait = 50 * time.Millisecond

// Crashed reports whether the upstream's process has ended: its port refuses connections, or a new connection is closed
// before a byte arrives.
func (d *Dispatcher) Crashed(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", d.Address)
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(resetWait))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// unrewindableBody is a request body that the HTTP client cannot rewind. The client resends a request with an
// Idempotency-Key header on its own when a reused connection breaks, but only if it can rewind the body.
type unrewindableBody struct {
	data []byte
	read int
}

func (b *unrewindableBody) Read(p []byte) (int, error) {
	if b.read >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

func (b *unrewindableBody) Close() error { return nil }

// Run sends the request and waits until the answer arrives or ctx ends.
func (d *Dispatcher) Run(ctx context.Context, q Request) Result {
	for {
		if res, sent := d.send(ctx, q); sent || ctx.Err() != nil {
			return res
		}
	}
}

// send sends the request over one connection. It returns false if the HTTP client chose a discarded connection, which it drops then.
func (d *Dispatcher) send(ctx context.Context, q Request) (res Result, sent bool) {
	var used atomic.Pointer[connUse]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*upstreamConn)
		used.Store(&connUse{upstreamConn: conn, reused: info.Reused, unusable: conn.discarded.Load()})
	}}
	r, err := d.request(httptrace.WithClientTrace(ctx, trace), q)
	if err != nil {
		return notRun(hornbeamcroft.CodeMalformed), true
	}
	start := time.Now()
	resp, err := d.service.DoRequest(r)
	conn := used.Load()
	switch {
	case err == nil:
		defer func() { _ = resp.Body.Close() }()
		return d.readResponse(ctx, resp, q.Token, conn, start), true
	case conn == nil:
		return notRun(codeNotSent(ctx)), true
	case conn.unusable:
		return notRun(hornbeamcroft.CodeCancelledBeforeStart), false
	}
	code := codeMayHaveRun(ctx)
	return Result{Answer: hornbeamcroft.Answer{Code: code}, ConnectionLost: code == hornbeamcroft.CodeOutcomeUnknown}, true
}

// readResponse returns the result of a call with the token that was answered on the connection.
func (d *Dispatcher) readResponse(ctx context.Context, resp *http.Response, token string, conn *connUse, start time.Time) Result {
	refused := resp.Header.Get(HeaderClaim) == hornbeamcroft.ClaimNotRun.String()
	if malformed(resp) || mayBeEarlier(resp.Header.Get(HeaderCall), token, refused && conn.reused) {
		// The answers on this connection may no longer be in step with the calls.
		conn.discard()
		return Result{Answer: hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswerTruncated}}
	}
	if refused {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
		return notRun(hornbeamcroft.CodeUpstreamRefused)
	}
	return d.readAnswer(ctx, resp, start)
}

// malformed reports whether the head of an answer breaks a rule of HTTP that net/http does not check.
func malformed(resp *http.Response) bool {
	if !hornbeamcroft.FinalStatus(resp.StatusCode) {
		return true
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return true
		}
	}
	return false
}

// mayBeEarlier reports whether an answer may be a second copy of the answer to an earlier call on its connection. It is if it
// names another call than the one with the token. A refusal that names no call counts only on a new connection: if it were taken
// for the answer to a call that runs, the call would run twice.
func mayBeEarlier(named, token string, refusalOnKeptConn bool) bool {
	if named == "" {
		return refusalOnKeptConn
	}
	return named != token
}

func (d *Dispatcher) request(ctx context.Context, q Request) (*http.Request, error) {
	url := "http://" + d.Address + "/" + q.Call.Service + "/" + q.Call.Type
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &unrewindableBody{data: q.Call.Body})
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

// remaining returns the time until the deadline of ctx, or fallback if ctx has none.
func remaining(ctx context.Context, fallback time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(time.Until(deadline), 0)
	}
	return fallback
}

// setIf sets the header unless the value is empty.
func setIf(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

// readAnswer reads the whole body of the answer. A body whose end is marked neither by a content length nor by a last
// chunk cannot be told from a truncated one, so it is not passed on.
func (d *Dispatcher) readAnswer(ctx context.Context, resp *http.Response, start time.Time) Result {
	limit := d.MaxBody()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	unmarked := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	switch {
	case err != nil && ctx.Err() != nil:
		return Result{Answer: hornbeamcroft.Answer{Code: codeMayHaveRun(ctx)}}
	case err != nil, unmarked, len(body) > limit:
		return Result{Answer: hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswerTruncated}, ConnectionLost: err != nil}
	}
	return Result{Answer: hornbeamcroft.Answer{
		Code:        hornbeamcroft.CodeAnswered,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		ServiceTime: time.Since(start),
	}}
}

// notRun returns the result of a call that did not run.
func notRun(code hornbeamcroft.Code) Result {
	return Result{Answer: hornbeamcroft.Answer{Code: code}}
}

// codeNotSent returns the code of a call for which no connection to the upstream was obtained.
func codeNotSent(ctx context.Context) hornbeamcroft.Code {
	if ctx.Err() != nil {
		return hornbeamcroft.CodeCancelledBeforeStart
	}
	return hornbeamcroft.CodeUpstreamUnreachable
}

// codeMayHaveRun returns the code of a call that may have reached the upstream and got no answer.
func codeMayHaveRun(ctx context.Context) hornbeamcroft.Code {
	if ctx.Err() != nil {
		return hornbeamcroft.EndedCode(ctx)
	}
	return hornbeamcroft.CodeOutcomeUnknown
}
