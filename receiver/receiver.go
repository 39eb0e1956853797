// Package receiver accepts calls over HTTP/1.1 from external callers and child calls from the local upstream. It checks
// them against the document, finds the parents of a child call, and writes the answer with its code and claim.
package receiver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"hornbeamcroft"
	"hornbeamcroft/dispatcher"
	"hornbeamcroft/registrar"
)

// Names of headers of requests and answers, in addition to those of package dispatcher.
const (
	HeaderAttempt      = "Hornbeam-Attempt"
	HeaderCode         = "Hornbeam-Code"
	HeaderRequest      = "Hornbeam-Request"
	HeaderRetryAfterMs = "Hornbeam-Retry-After-Ms"
)

// documentWait is the longest time that a call waits for the first document of a node that has just started. It is long
// enough for several exchanges with the store or a peer. Without the document, the node does not know whether the
// request type is idempotent, and so could not claim "not run" in a refusal of a resend.
const documentWait = time.Second

// Receiver handles POST /call/{service}/{request-type}. The exported fields must be set before the first Serve.
type Receiver struct {
	Clock hornbeamcroft.Clock
	Calls *registrar.Registrar
	// Document returns the document in force, or nil if there is none yet.
	Document func() *hornbeamcroft.Document
	// HasDocument is closed when the first document is in force.
	HasDocument <-chan struct{}
	// Refuses reports whether a call of an external caller must be refused because the node drains. Child calls of
	// running calls are still accepted. A resend is a non-idempotent call that may have been sent before.
	Refuses func(resend bool) bool
	// Forward sends the call as a child call of one of the parents.
	Forward func(ctx context.Context, parents []*registrar.RunningCall, call hornbeamcroft.Call) hornbeamcroft.Answer
	// DeriveKey returns the idempotency key of a child call that was received without one.
	DeriveKey func(parentKey, service, requestType string, body []byte) string
	// OnAnswer is called with the answer to each accepted request of an external caller, and the time that it took; it
	// may be nil.
	OnAnswer func(call hornbeamcroft.Call, a hornbeamcroft.Answer, duration time.Duration)
}

// Serve handles one call.
func (v *Receiver) Serve(w http.ResponseWriter, r *http.Request, service, requestType string) {
	start := v.Clock.Now()
	call, parents, code := v.parse(r, service, requestType)
	if code != 0 {
		v.write(w, call, hornbeamcroft.Answer{Code: v.refusalCode(r, call, code), RetryAfter: time.Second})
		return
	}
	external := call.Depth == 1
	if external {
		defer v.Calls.CloseRequest(parents[0])
	} else {
		v.Calls.ChildStarted(parents)
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.Remaining)
	defer cancel()
	a := v.Forward(ctx, parents, call)
	if !external {
		v.Calls.ChildEnded(parents, a.AdmissionLevels)
	}
	if external && v.OnAnswer != nil {
		v.OnAnswer(call, a, v.Clock.Now()-start)
	}
	v.write(w, call, a)
}

// refusalCode returns the code of a refusal by this node. For a resend that may be non-idempotent, it replaces a code
// that claims "not run", because an earlier send of the key may have run.
func (v *Receiver) refusalCode(r *http.Request, call hornbeamcroft.Call, code hornbeamcroft.Code) hornbeamcroft.Code {
	resend := r.Header.Get(dispatcher.HeaderIdempotencyKey) != "" && r.Header.Get(HeaderAttempt) != "1"
	if resend && !call.Idempotent && code.Claim() == hornbeamcroft.ClaimNotRun {
		return hornbeamcroft.CodeEarlierSendUnknown
	}
	return code
}

// parse reads and checks the request, and returns the call and its parents. A code other than zero refuses the call. Its
// Idempotent is true only if the node knows that the request type is idempotent.
func (v *Receiver) parse(r *http.Request, service, requestType string,
) (hornbeamcroft.Call, []*registrar.RunningCall, hornbeamcroft.Code) {
	call := hornbeamcroft.Call{Service: service, Type: requestType, FirstSend: true}
	doc := v.awaitDocument(r)
	if doc == nil {
		return call, nil, hornbeamcroft.CodeNoDocument
	}
	if _, ok := doc.Services[service]; !ok {
		return call, nil, hornbeamcroft.CodeUnknownService
	}
	t, ok := doc.RequestTypes[service+"/"+requestType]
	if !ok {
		return call, nil, hornbeamcroft.CodeUnknownRequestType
	}
	call.Idempotent = t.Idempotent
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(doc.Platform.MaxBody)+1))
	if err != nil {
		return call, nil, hornbeamcroft.CodeMalformed
	}
	if len(body) > doc.Platform.MaxBody {
		return call, nil, hornbeamcroft.CodeBodyTooLarge
	}
	remaining, ok := requestTimeout(r, t.Timeout)
	if !ok {
		return call, nil, hornbeamcroft.CodeMalformed
	}
	call.Remaining = remaining
	call.Body = body
	call.ContentType = r.Header.Get("Content-Type")
	call.Key = r.Header.Get(dispatcher.HeaderIdempotencyKey)
	call.Fingerprint = fingerprint(service, requestType, call.Key, body)
	token, trace := r.Header.Get(dispatcher.HeaderCall), r.Header.Get(dispatcher.HeaderTrace)
	if parents := v.Calls.Parents(token, trace); len(parents) > 0 {
		return v.acceptChild(call, parents, trace, doc)
	}
	return v.acceptExternal(r, call, t, trace)
}

// awaitDocument returns the document in force. If there is none yet, it waits for one, for documentWait or the
// Request-Timeout of the call if that is shorter, and returns nil after that.
func (v *Receiver) awaitDocument(r *http.Request) *hornbeamcroft.Document {
	limit, ok := requestTimeout(r, documentWait)
	if doc := v.Document(); doc != nil || !ok {
		return doc
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-v.HasDocument:
	case <-t.C:
	case <-r.Context().Done():
	}
	return v.Document()
}

// acceptExternal checks and completes a call of an external caller. It records the request in Calls, as the parent of
// the call.
func (v *Receiver) acceptExternal(r *http.Request, call hornbeamcroft.Call, t hornbeamcroft.RequestType, trace string,
) (hornbeamcroft.Call, []*registrar.RunningCall, hornbeamcroft.Code) {
	call.Depth = 1
	call.Importance = t.Importance
	call.FirstSend = r.Header.Get(HeaderAttempt) == "1"
	if len(call.Key) > 128 || len(trace) > 128 {
		return call, nil, hornbeamcroft.CodeMalformed
	}
	if call.Key == "" && !call.Idempotent {
		return call, nil, hornbeamcroft.CodeKeyMissing
	}
	resend := !call.Idempotent && !call.FirstSend
	if v.Refuses(resend) {
		if resend {
			return call, nil, hornbeamcroft.CodeEarlierSendUnknown
		}
		return call, nil, hornbeamcroft.CodeDraining
	}
	call.ReceivedAt = time.Now().UnixMilli()
	call.Request = requestID(call)
	call.Trace = registrar.Traceparent(trace)
	key := ""
	if call.Key != "" {
		key = call.Service + "/" + call.Type + "/" + call.Key
	}
	root := v.Calls.OpenRequest(registrar.RunningCall{
		Request: call.Request, Key: key, Importance: call.Importance, Deadline: v.Clock.Now() + call.Remaining,
	}, t.ExtraAttempts)
	return call, []*registrar.RunningCall{root}, 0
}

// requestID returns the idempotency key of the call, or a new ID if the call has no key. The resends of a request with
// a key thus have the same ID, so that all services shed the same requests across all resends.
func requestID(call hornbeamcroft.Call) string {
	if call.Key != "" {
		return call.Key
	}
	id, err := uuid.NewV7()
	if err != nil {
		return registrar.NewToken()
	}
	return id.String()
}

// acceptChild checks and completes a child call of the local upstream.
func (v *Receiver) acceptChild(call hornbeamcroft.Call, parents []*registrar.RunningCall, trace string,
	doc *hornbeamcroft.Document,
) (hornbeamcroft.Call, []*registrar.RunningCall, hornbeamcroft.Code) {
	p := parents[0]
	deadline := p.Deadline
	for _, other := range parents[1:] {
		deadline = min(deadline, other.Deadline)
	}
	call.Depth = p.Depth + 1
	if call.Depth > doc.Platform.MaxDepth {
		return call, nil, hornbeamcroft.CodeTooDeep
	}
	call.Request = p.Request
	call.Importance = p.Importance
	call.FirstSend = p.FirstSend
	call.ReceivedAt = p.ReceivedAt
	call.Remaining = min(call.Remaining, deadline-v.Clock.Now())
	if call.Remaining <= 0 {
		return call, nil, hornbeamcroft.CodeDeadlineTooShort
	}
	if trace == "" {
		trace = p.Trace
	}
	call.Trace = registrar.Traceparent(trace)
	if call.Key == "" && !call.Idempotent {
		if p.Key == "" {
			return call, nil, hornbeamcroft.CodeKeyMissing
		}
		call.Key = v.DeriveKey(p.Key, call.Service, call.Type, call.Body)
	}
	return call, parents, 0
}

// requestTimeout returns the value of the header Request-Timeout, which is in milliseconds, but at most the limit. It
// returns the limit if there is no such header, and false if the value is malformed.
func requestTimeout(r *http.Request, limit time.Duration) (time.Duration, bool) {
	text := r.Header.Get(dispatcher.HeaderTimeout)
	if text == "" {
		return limit, true
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n <= 0 {
		return 0, false
	}
	return min(limit, time.Duration(n)*time.Millisecond), true
}

// fingerprint returns a hash of service, request type, key and body. Calls with the same fingerprint count as the same
// call.
func fingerprint(service, requestType, key string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(service)
	_, _ = hash.WriteString("/")
	_, _ = hash.WriteString(requestType)
	_, _ = hash.WriteString("/")
	if key != "" {
		_, _ = hash.WriteString(key)
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}
