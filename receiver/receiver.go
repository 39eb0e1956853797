// Package receiver takes calls over HTTP/1.1 from outside callers and from the upstream's own code. It checks them
// against the document, finds the parent of a child call, and writes the answer with code and claim.
package receiver

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"hornbeamcroft"
	"hornbeamcroft/dispatcher"
	"hornbeamcroft/registrar"
)

// Headers of requests and answers besides those of package dispatcher.
const (
	HeaderAttempt      = "Hornbeam-Attempt"
	HeaderCode         = "Hornbeam-Code"
	HeaderRequest      = "Hornbeam-Request"
	HeaderRetryAfterMs = "Hornbeam-Retry-After-Ms"
)

// documentWait is how long a call waits for the first document of a node that has just started. It covers some exchanges
// with the store or a peer. A refusal could not say of a repeat that it did not run, as the node does not know the type.
const documentWait = time.Second

// Receiver handles POST /call/{service}/{request-type}. Set the exported fields before the first Serve.
type Receiver struct {
	Clock hornbeamcroft.Clock
	Calls *registrar.Registrar
	// Document returns the accepted document, or nil.
	Document func() *hornbeamcroft.Document
	// HasDocument is closed when the first document is in force.
	HasDocument <-chan struct{}
	// Draining is true if calls of outside callers are refused; child calls of running work are still taken. A resend is
	// a non-idempotent call that may have been sent before.
	Draining func(resend bool) bool
	// Forward sends the call under its parents.
	Forward func(ctx context.Context, parents []*registrar.Running, call hornbeamcroft.Call) hornbeamcroft.Answer
	// DeriveKey returns the idempotency key of a child call that brings none.
	DeriveKey func(parentKey, service, requestType string, body []byte) string
	// OnAnswer counts a finished request of an outside caller; it may be nil.
	OnAnswer func(call hornbeamcroft.Call, a hornbeamcroft.Answer, took time.Duration)
}

// Serve handles one call.
func (v *Receiver) Serve(w http.ResponseWriter, r *http.Request, service, requestType string) {
	start := v.Clock.Now()
	call, parents, code := v.parse(r, service, requestType)
	if code != 0 {
		v.write(w, call, hornbeamcroft.Answer{Code: v.refusal(r, call, code), RetryAfter: time.Second})
		return
	}
	outside := call.Depth == 1
	if outside {
		defer v.Calls.Leave(parents[0])
	} else {
		v.Calls.ChildStarted(parents)
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.Remaining)
	defer cancel()
	a := v.Forward(ctx, parents, call)
	if !outside {
		v.Calls.ChildEnded(parents, a.AdmissionLevels)
	}
	if outside && v.OnAnswer != nil {
		v.OnAnswer(call, a, v.Clock.Now()-start)
	}
	v.write(w, call, a)
}

// refusal corrects the claim of a refusal by this node: for a resend that may be non-idempotent, "not run" cannot be said
// of its key. Without a document the node does not know the request type.
func (v *Receiver) refusal(r *http.Request, call hornbeamcroft.Call, code hornbeamcroft.Code) hornbeamcroft.Code {
	resend := r.Header.Get(dispatcher.HeaderIdempotencyKey) != "" && r.Header.Get(HeaderAttempt) != "1"
	repeatable := call.Idempotent && code != hornbeamcroft.CodeNoDocument
	if resend && !repeatable && code < hornbeamcroft.CodeOutcomeUnknown {
		return hornbeamcroft.CodeEarlierSendUnknown
	}
	return code
}

// parse builds the call. A code other than zero refuses it.
func (v *Receiver) parse(r *http.Request, service, requestType string,
) (hornbeamcroft.Call, []*registrar.Running, hornbeamcroft.Code) {
	call := hornbeamcroft.Call{Service: service, Type: requestType, Idempotent: true, FirstSend: true}
	doc := v.waitDocument(r)
	if doc == nil {
		return call, nil, hornbeamcroft.CodeNoDocument
	}
	if _, ok := doc.Services[service]; !ok {
		return call, nil, hornbeamcroft.CodeUnknownService
	}
	t, ok := doc.Requests[service+"/"+requestType]
	if !ok {
		return call, nil, hornbeamcroft.CodeUnknownRequestType
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(doc.Platform.MaxBody)+1))
	if err != nil {
		return call, nil, hornbeamcroft.CodeMalformed
	}
	if len(body) > doc.Platform.MaxBody {
		return call, nil, hornbeamcroft.CodeBodyTooLarge
	}
	remaining, ok := timeout(r, t.Timeout)
	if !ok {
		return call, nil, hornbeamcroft.CodeMalformed
	}
	call.Idempotent = t.Idempotent
	call.Remaining = remaining
	call.Body = body
	call.ContentType = r.Header.Get("Content-Type")
	call.Key = r.Header.Get(dispatcher.HeaderIdempotencyKey)
	call.Fingerprint = fingerprint(service, requestType, call.Key, body)
	token, trace := r.Header.Get(dispatcher.HeaderCall), r.Header.Get(dispatcher.HeaderTrace)
	if parents := v.Calls.Parent(token, trace); len(parents) > 0 {
		return v.child(call, parents, trace, doc)
	}
	return v.outside(r, call, t, trace)
}

// waitDocument returns the accepted document, or nil if none is accepted while the call may wait.
func (v *Receiver) waitDocument(r *http.Request) *hornbeamcroft.Document {
	limit, ok := timeout(r, documentWait)
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

// outside completes the call of an outside caller.
func (v *Receiver) outside(r *http.Request, call hornbeamcroft.Call, t hornbeamcroft.RequestType, trace string,
) (hornbeamcroft.Call, []*registrar.Running, hornbeamcroft.Code) {
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
	if v.Draining(resend) {
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
	root := v.Calls.Enter(registrar.Running{
		Request: call.Request, Key: key, Importance: call.Importance, Deadline: v.Clock.Now() + call.Remaining,
	}, t.ExtraAttempts)
	return call, []*registrar.Running{root}, 0
}

// requestID returns a new id, or for a keyed request one that its resends share, so that all services shed the same
// requests for as long as the caller tries.
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

// child completes a call of the upstream's own code.
func (v *Receiver) child(call hornbeamcroft.Call, parents []*registrar.Running, trace string,
	doc *hornbeamcroft.Document,
) (hornbeamcroft.Call, []*registrar.Running, hornbeamcroft.Code) {
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

// timeout reads the Request-Timeout header in milliseconds; the request type's timeout is the upper bound.
func timeout(r *http.Request, limit time.Duration) (time.Duration, bool) {
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

// fingerprint is a hash of what makes two calls the same call: service, type, and the key or else the content.
func fingerprint(service, requestType, key string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(service)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(requestType)
	_, _ = d.WriteString("/")
	if key != "" {
		_, _ = d.WriteString(key)
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// refusal is the body of an answer that does not come from an upstream.
type refusal struct {
	Code    hornbeamcroft.Code `json:"code"`
	Name    string             `json:"name"`
	Claim   string             `json:"claim"`
	Meaning string             `json:"meaning"`
}

func (v *Receiver) write(w http.ResponseWriter, call hornbeamcroft.Call, a hornbeamcroft.Answer) {
	info := a.Code.Info()
	h := w.Header()
	h.Set(HeaderCode, strconv.Itoa(int(a.Code)))
	h.Set(dispatcher.HeaderClaim, a.Code.Claim().String())
	if call.Request != "" {
		h.Set(HeaderRequest, call.Request)
	}
	body := a.Body
	status := info.Status
	if a.Code.Claim() == hornbeamcroft.ClaimRan {
		status = a.Status
		setContentType(h, a.ContentType)
	} else {
		setContentType(h, "application/json")
		body, _ = json.Marshal(refusal{a.Code, info.Name, a.Code.Claim().String(), info.Meaning})
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
			h.Set(HeaderRetryAfterMs, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func setContentType(h http.Header, value string) {
	if value != "" {
		h.Set("Content-Type", value)
	}
}
