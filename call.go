package hornbeamcroft

import (
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Call is one call to an upstream. A request that enters the system becomes a call, and the upstream that runs it may make
// further calls.
type Call struct {
	// ID correlates the call with its answer. It is unique for the sending node and its incarnation.
	ID uint64 `cbor:"1,keyasint"`
	// Request is the id of the whole request, which all calls of its call graph share.
	Request string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Type is the request type, or the name of the route if Message is set.
	Type string `cbor:"4,keyasint"`
	// Importance is that of the whole request.
	Importance Importance `cbor:"5,keyasint"`
	// Depth is 1 for the call of an external caller and rises by one for each level of the call graph.
	Depth int `cbor:"6,keyasint"`
	// Remaining is the time left until the deadline, measured when the call was sent.
	Remaining time.Duration `cbor:"7,keyasint"`
	// RetryBudget is the number of the whole request's extra attempts that are allotted to this call and all calls below
	// it; at least 0.
	RetryBudget int `cbor:"8,keyasint"`
	// Key is the idempotency key; empty if there is none.
	Key string `cbor:"9,keyasint,omitempty"`
	// Idempotent is copied from the request type, so that all nodes treat the call in the same way while a changed document
	// spreads.
	Idempotent bool `cbor:"10,keyasint,omitempty"`
	// Trace is the value of the traceparent header; empty if there was none.
	Trace       string `cbor:"11,keyasint,omitempty"`
	ContentType string `cbor:"12,keyasint,omitempty"`
	// Fingerprint is a hash of the request's content: of service, type, key and body for calls made through the node's
	// own call interface; zero if it was not computed. By it, nodes recognise requests that crash upstreams and keys that
	// are reused with different content.
	Fingerprint uint64 `cbor:"13,keyasint,omitempty"`
	// BodyLength is the length of the whole body in bytes. A body that does not fit into the first frame is left out of it
	// and follows in body frames, whose lengths add up to BodyLength.
	BodyLength int    `cbor:"14,keyasint,omitempty"`
	Body       []byte `cbor:"15,keyasint,omitempty"`
	// Epoch is the roster epoch by which the sender chose the home, the node that executes the calls with this idempotency
	// key; zero for idempotent calls.
	Epoch uint64 `cbor:"16,keyasint,omitempty"`
	// FirstSend is true if no earlier send of a call with the key can exist. Only then may a node that is not the home claim
	// "not run" for a non-idempotent call.
	FirstSend bool `cbor:"17,keyasint,omitempty"`
	// ReceivedAt is the wall-clock time at which the ingress node received the request, in Unix milliseconds. The home
	// compares it with the time of an earlier refusal of the key.
	ReceivedAt int64 `cbor:"18,keyasint,omitempty"`
	// Attempt is the id of the caller's attempt, which is sent to the upstream and which the upstream returns in its answer.
	Attempt string `cbor:"19,keyasint,omitempty"`
	// Message is the HTTP request of a call that is passed on unchanged; nil for calls made through the node's own call
	// interface.
	Message *Message `cbor:"20,keyasint,omitempty"`
	// Origin is the service of the node at which the call entered.
	Origin string `cbor:"21,keyasint,omitempty"`
	// Objective is the time left until the latency objective of the whole request, measured when the call was sent. It is
	// negative if the objective has been missed.
	Objective time.Duration `cbor:"22,keyasint,omitempty"`
	// Retry is true if an earlier send of the call, or of a call above it in the graph, may have run. All calls made by a
	// retried run are retries themselves.
	Retry bool `cbor:"23,keyasint,omitempty"`
	// Sends is the number of earlier sends of the call that reached an upstream, whether the upstream ran them or not.
	Sends int `cbor:"24,keyasint,omitempty"`
	// Weight is the number of requests that the call represents in estimates of the demand: the inverse of the probability
	// with which its request was admitted. Zero means 1.
	Weight float32 `cbor:"25,keyasint,omitempty"`
	// Last is true if the sender knows no other upstream for the call, should this one refuse it.
	Last bool `cbor:"26,keyasint,omitempty"`
	// Upstream is what the sender last learned about the upstream to which it sends the call, from an answer that it passed
	// on; nil if that stated nothing. The node beside the upstream may have restarted since.
	Upstream *InstanceStatement `cbor:"27,keyasint,omitempty"`
	// Tenant is the name of the tenant whose caller sent the request; empty if it came without an API key. Calls below the request
	// inherit it.
	Tenant string `cbor:"28,keyasint,omitempty"`
	// Memory is the account of the memory that the bodies of the call and of its answer hold in this process; nil if they are
	// not accounted for.
	Memory Memory `cbor:"-"`
	// OnRetryGranted is called at most once, and from another goroutine, when the run is presumed lost: the sender may retry the call
	// once while the run goes on. The node beside the upstream has already counted the retry against the retry budget. If
	// OnRetryGranted is nil, such a run is aborted, and its answer grants the retry.
	OnRetryGranted func() `cbor:"-"`
	// Streams is true if the sender takes an answer with a Stream. Only an idempotent call gets one.
	Streams bool `cbor:"-"`
}

// maxDepthOnWire is the maximum depth accepted in a frame from another node. The document's max-depth is checked separately.
const maxDepthOnWire = 1000

// MaxRuns is the maximum number of sends of one call that may have run.
const MaxRuns = 3

// Check returns an error if the call is malformed.
func (c Call) Check() error {
	if c.Service == "" || len(c.Service) > maxNameLength || c.Type == "" || len(c.Type) > maxNameLength {
		return errors.New("call: service and type need 1 to 128 bytes")
	}
	if c.Request == "" || len(c.Request) > maxNameLength || len(c.Key) > maxNameLength || len(c.Trace) > maxNameLength {
		return errors.New("call: request, key and trace are bounded to 128 bytes")
	}
	if len(c.Tenant) > maxNameLength {
		return errors.New("call: tenant is bounded to 128 bytes")
	}
	if err := c.Importance.Check(); err != nil {
		return errors.Wrap(err, "call")
	}
	if c.Depth < 1 || c.Depth > maxDepthOnWire {
		return errors.Errorf("call: depth %d: must be 1 to %d", c.Depth, maxDepthOnWire)
	}
	if c.Remaining <= 0 || c.Remaining > time.Hour {
		return errors.Errorf("call: remaining time %s: must be more than 0 and at most 1h", c.Remaining)
	}
	if c.RetryBudget < 0 || c.RetryBudget > 1000 {
		return errors.Errorf("call: retry budget %d: must be 0 to 1000", c.RetryBudget)
	}
	if c.Message != nil {
		if err := c.Message.Check(); err != nil {
			return errors.Wrap(err, "call")
		}
	}
	if c.Upstream != nil {
		if err := c.Upstream.Check(); err != nil {
			return errors.Wrap(err, "call")
		}
	}
	if c.BodyLength < len(c.Body) {
		return errors.Errorf("call: body length %d is less than the %d bytes present", c.BodyLength, len(c.Body))
	}
	return nil
}

// AdmissionLevel is the admission level of a service. Answers carry it to the callers. Requests below Importance are shed; of the
// requests at Importance, those with a survival hash of at least Threshold are shed.
type AdmissionLevel struct {
	Service    string     `cbor:"1,keyasint"`
	Importance Importance `cbor:"2,keyasint"`
	// Threshold is compared with the survival hash, a 16-bit hash of the request id; 65536 admits all requests.
	Threshold uint32 `cbor:"3,keyasint"`
	// Shares names the tenants that demand more than their fair share of the service, at most MaxTenantShares.
	Shares []TenantShare `cbor:"4,keyasint,omitempty"`
}

// ThresholdAll is the Threshold that admits every request at the level's Importance.
const ThresholdAll = 1 << 16

// Answer is the outcome of a call.
type Answer struct {
	// ID is the ID of the call that is answered.
	ID   uint64 `cbor:"1,keyasint"`
	Code Code   `cbor:"2,keyasint"`
	// Status is the upstream's HTTP status, for which FinalStatus holds, if the request ran; zero otherwise.
	Status      int    `cbor:"3,keyasint,omitempty"`
	ContentType string `cbor:"4,keyasint,omitempty"`
	// UnspentRetries is the part of the call's RetryBudget that was not used.
	UnspentRetries int `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the time after which a request that did not run may be sent again.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	// AdmissionLevels holds the admission levels of services that the call reached, at most eight.
	AdmissionLevels []AdmissionLevel `cbor:"7,keyasint,omitempty"`
	// BodyLength is the length of the whole body in bytes. A body that does not fit into the first frame is left out of it
	// and follows in body frames, whose lengths add up to BodyLength.
	BodyLength int    `cbor:"8,keyasint,omitempty"`
	Body       []byte `cbor:"9,keyasint,omitempty"`
	// ServiceTime is the time that the upstream took. The sender estimates from it whether a deadline can be met.
	ServiceTime time.Duration `cbor:"10,keyasint,omitempty"`
	// Home is the name of the node that is the home of the key, if the call was sent to another node.
	Home string `cbor:"11,keyasint,omitempty"`
	// Header holds the end-to-end header fields of the upstream's answer to a call with a Message. Their names are not empty and have no
	// blank or control characters, by which a receiver would take a field for another, or for the end of the head.
	Header []Field `cbor:"12,keyasint,omitempty"`
	// Load is the load of the upstream to which the call was sent; nil if its node does not report it.
	Load *Load `cbor:"13,keyasint,omitempty"`
	// ServiceCalls holds the number of calls that the run caused to each further service, in at most MaxServiceCalls entries.
	ServiceCalls []ServiceCalls `cbor:"14,keyasint,omitempty"`
	// RetryGranted permits the sender to retry the call once. The upstream's node has already counted the retry against the
	// retry budget.
	RetryGranted bool `cbor:"15,keyasint,omitempty"`
	// Upstream is what the upstream last stated about itself; nil if it has stated nothing since its start.
	Upstream *InstanceStatement `cbor:"16,keyasint,omitempty"`
	// StreamLength is zero for an answer whose whole body is in Body. Otherwise the body is streamed: StreamLength is its length in
	// bytes, or UnknownLength.
	StreamLength int64 `cbor:"17,keyasint,omitempty"`
	// Stream is the streamed body; nil if StreamLength is zero. Its Read returns io.EOF only if the body is complete. Whoever receives
	// the answer must close the stream, from the goroutine that reads it; that ends the run unless the body was read to its end. The
	// stream fails when the context ends with which the answer was requested.
	Stream io.ReadCloser `cbor:"-"`
}

// isBlankOrControl reports whether the name of a header field must not have the character.
func isBlankOrControl(c rune) bool { return c <= ' ' || c == '\x7f' }

// FinalStatus reports whether an HTTP answer with the status ends its exchange. HTTP defines no status outside of 100 to 599, and an
// upstream in trouble may send one, such as 000.
func FinalStatus(status int) bool { return status >= 200 && status <= 599 }

// UnknownLength is the StreamLength of an answer whose upstream declared no length.
const UnknownLength = -1

// CloseStream closes the stream, if there is one.
func (a Answer) CloseStream() {
	if a.Stream != nil {
		_ = a.Stream.Close() // nobody waits for the rest of the body
	}
}

// OnStreamEnd returns the answer with a stream that calls fn after it was closed. Without a stream, OnStreamEnd calls fn at once.
func (a Answer) OnStreamEnd(fn func()) Answer {
	if a.Stream == nil {
		fn()
		return a
	}
	a.Stream = &notifyingStream{ReadCloser: a.Stream, fn: fn}
	return a
}

// notifyingStream calls fn after the first Close.
type notifyingStream struct {
	io.ReadCloser
	fn func()
}

// Close implements io.Closer.
func (s *notifyingStream) Close() error {
	err := s.ReadCloser.Close()
	if fn := s.fn; fn != nil {
		s.fn = nil
		fn()
	}
	return err
}

// Check returns an error if the answer is malformed.
func (a Answer) Check() error {
	if a.Code < 100 || a.Code >= 500 {
		return errors.Errorf("answer: code %d: must be 100 to 499", a.Code)
	}
	if a.Code == CodeAnswered && !FinalStatus(a.Status) {
		return errors.Errorf("answer: status %d: must be 200 to 599", a.Status)
	}
	for _, f := range a.Header {
		if f.Name == "" || strings.ContainsFunc(f.Name, isBlankOrControl) {
			return errors.Errorf("answer: field %q: name is empty or has a blank or a control character", f.Name)
		}
	}
	if len(a.Home) > maxNameLength {
		return errors.New("answer: home is bounded to 128 bytes")
	}
	if a.UnspentRetries < 0 || a.RetryAfter < 0 || len(a.AdmissionLevels) > 8 {
		return errors.New("answer: negative unspent retries or retry-after, or more than 8 admission levels")
	}
	for _, level := range a.AdmissionLevels {
		if err := checkShares(level.Shares); err != nil {
			return errors.Wrap(err, "answer")
		}
	}
	if len(a.ServiceCalls) > MaxServiceCalls {
		return errors.Errorf("answer: %d services reached: must be at most %d", len(a.ServiceCalls), MaxServiceCalls)
	}
	if a.Load != nil {
		if err := a.Load.Check(); err != nil {
			return errors.Wrap(err, "answer")
		}
	}
	if a.Upstream != nil {
		if err := a.Upstream.Check(); err != nil {
			return errors.Wrap(err, "answer")
		}
	}
	if a.BodyLength < len(a.Body) {
		return errors.Errorf("answer: body length %d is less than the %d bytes present", a.BodyLength, len(a.Body))
	}
	if a.StreamLength < UnknownLength || a.StreamLength != 0 && a.BodyLength != 0 {
		return errors.Errorf("answer: stream length %d with body length %d", a.StreamLength, a.BodyLength)
	}
	return nil
}
