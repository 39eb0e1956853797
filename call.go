package hornbeamcroft

import (
	"time"

	"github.com/go-faster/errors"
)

// Call is one call of a request on its way to an upstream.
type Call struct {
	// ID correlates the call with its answer; unique for the sending node and its incarnation.
	ID uint64 `cbor:"1,keyasint"`
	// Request identifies the whole request; all calls of its graph share it.
	Request string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Type    string `cbor:"4,keyasint"`
	// Importance is inherited from the request.
	Importance Importance `cbor:"5,keyasint"`
	// Depth is 1 for the call of an outside caller and rises by one for each level.
	Depth int `cbor:"6,keyasint"`
	// Remaining is the time left until the deadline, measured when the call was sent.
	Remaining time.Duration `cbor:"7,keyasint"`
	// RetryBudget is the share of extra attempts that this call and all calls below it may spend; at least 0.
	RetryBudget int `cbor:"8,keyasint"`
	// Key is the idempotency key; empty if there is none.
	Key string `cbor:"9,keyasint,omitempty"`
	// Idempotent is copied from the request type, so that all nodes judge one call alike during a document change.
	Idempotent bool `cbor:"10,keyasint,omitempty"`
	// Trace is the traceparent header.
	Trace       string `cbor:"11,keyasint,omitempty"`
	ContentType string `cbor:"12,keyasint,omitempty"`
	// Fingerprint is a hash of service, type and body; zero if it was not computed.
	Fingerprint uint64 `cbor:"13,keyasint,omitempty"`
	// BodyLength is the whole length of the body in bytes; the body frames that follow add up to it.
	BodyLength int    `cbor:"14,keyasint,omitempty"`
	Body       []byte `cbor:"15,keyasint,omitempty"`
	// Epoch is the roster epoch by which the sender chose the home; zero for idempotent calls.
	Epoch uint64 `cbor:"16,keyasint,omitempty"`
	// FirstSend is true if no earlier send of the key can exist; only then may a node that is not the home claim
	// "not run" for a non-idempotent call.
	FirstSend bool `cbor:"17,keyasint,omitempty"`
	// ReceivedAt is the ingress node's wall-clock time of receipt in Unix milliseconds. The home compares it with the
	// time of an earlier refusal of the key.
	ReceivedAt int64 `cbor:"18,keyasint,omitempty"`
	// Attempt is the id of the caller's attempt, which the upstream gets and repeats in its answer.
	Attempt string `cbor:"19,keyasint,omitempty"`
	// Message is the HTTP request of a call that is passed on as it came; nil for calls of the own interface.
	Message *Message `cbor:"20,keyasint,omitempty"`
	// Origin is the service beside whose upstream the call began.
	Origin string `cbor:"21,keyasint,omitempty"`
	// Objective is the time left, when the call was sent, in which the answer to the whole request has its full value.
	// It is negative if that time has passed.
	Objective time.Duration `cbor:"22,keyasint,omitempty"`
	// Repeat is true if an earlier send of the call, or of one above it, may have run. The calls of a repeated run are
	// repeats themselves.
	Repeat bool `cbor:"23,keyasint,omitempty"`
	// Sends is the number of earlier sends of the call that reached an upstream, whether it ran them or not.
	Sends int `cbor:"24,keyasint,omitempty"`
	// Weight is the number of requests that this one stands for where the demand is estimated: the inverse of the
	// probability with which its request was admitted. Zero means 1.
	Weight float32 `cbor:"25,keyasint,omitempty"`
}

// maxDepthOnWire bounds the depth field of frames from outside; the document's max-depth is checked separately.
const maxDepthOnWire = 1000

// MaxRuns bounds the sends of a call that may have run.
const MaxRuns = 3

// Check reports whether the call is well formed.
func (c Call) Check() error {
	if c.Service == "" || len(c.Service) > maxNameLength || c.Type == "" || len(c.Type) > maxNameLength {
		return errors.New("call: service and type need 1 to 128 bytes")
	}
	if c.Request == "" || len(c.Request) > maxNameLength || len(c.Key) > maxNameLength || len(c.Trace) > maxNameLength {
		return errors.New("call: request, key and trace are bounded to 128 bytes")
	}
	if err := c.Importance.Check(); err != nil {
		return errors.Wrap(err, "call")
	}
	if c.Depth < 1 || c.Depth > maxDepthOnWire {
		return errors.Errorf("call: depth %d: allowed are 1 to %d", c.Depth, maxDepthOnWire)
	}
	if c.Remaining <= 0 || c.Remaining > time.Hour {
		return errors.Errorf("call: remaining time %s: allowed is more than 0 and at most 1h", c.Remaining)
	}
	if c.RetryBudget < 0 || c.RetryBudget > 1000 {
		return errors.Errorf("call: retry budget %d: allowed are 0 to 1000", c.RetryBudget)
	}
	if c.Message != nil {
		if err := c.Message.Check(); err != nil {
			return errors.Wrap(err, "call")
		}
	}
	if c.BodyLength < len(c.Body) {
		return errors.Errorf("call: body length %d is less than the %d bytes present", c.BodyLength, len(c.Body))
	}
	return nil
}

// Pressure is the admission level of a service as answers carry it upwards. Requests below Importance are shed; of the
// requests at Importance, those with a survival hash of at least Threshold are shed.
type Pressure struct {
	Service    string     `cbor:"1,keyasint"`
	Importance Importance `cbor:"2,keyasint"`
	// Threshold is compared with the 16-bit survival hash of the request id; 65536 admits all.
	Threshold uint32 `cbor:"3,keyasint"`
}

// ThresholdAll is the Pressure threshold that admits every request of the importance.
const ThresholdAll = 1 << 16

// Answer is the outcome of a call.
type Answer struct {
	// ID is the ID of the call.
	ID   uint64 `cbor:"1,keyasint"`
	Code Code   `cbor:"2,keyasint"`
	// Status is the upstream's HTTP status if the request ran.
	Status      int    `cbor:"3,keyasint,omitempty"`
	ContentType string `cbor:"4,keyasint,omitempty"`
	// Unspent is the part of the retry budget that was not used.
	Unspent int `cbor:"5,keyasint,omitempty"`
	// RetryAfter is when a request that did not run may be sent again.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	// Pressure holds the pressed services seen on the path, at most eight.
	Pressure []Pressure `cbor:"7,keyasint,omitempty"`
	// BodyLength is the whole length of the body in bytes; the body frames that follow add up to it.
	BodyLength int    `cbor:"8,keyasint,omitempty"`
	Body       []byte `cbor:"9,keyasint,omitempty"`
	// ServiceTime is the time the upstream took, for the sender's estimate of what suffices.
	ServiceTime time.Duration `cbor:"10,keyasint,omitempty"`
	// Home names the home of the key if the call was sent to another node.
	Home string `cbor:"11,keyasint,omitempty"`
	// Header holds the end-to-end header fields of the upstream's answer to a Message.
	Header []Field `cbor:"12,keyasint,omitempty"`
	// Load is that of the upstream that the call was sent to; nil if its node does not report it.
	Load *Load `cbor:"13,keyasint,omitempty"`
	// Reach counts the calls that the run made to further services, at most MaxReach entries.
	Reach []Reach `cbor:"14,keyasint,omitempty"`
	// Again grants one repeat of the call: the node beside the upstream has taken it from the allowance of repeats.
	Again bool `cbor:"15,keyasint,omitempty"`
}

// Check reports whether the answer is well formed.
func (a Answer) Check() error {
	if a.Code < 100 || a.Code >= 500 {
		return errors.Errorf("answer: code %d: allowed are 100 to 499", a.Code)
	}
	if len(a.Home) > maxNameLength {
		return errors.New("answer: home is bounded to 128 bytes")
	}
	if a.Unspent < 0 || a.RetryAfter < 0 || len(a.Pressure) > 8 {
		return errors.New("answer: negative unspent or retry-after, or more than 8 pressure entries")
	}
	if len(a.Reach) > MaxReach {
		return errors.Errorf("answer: %d services reached: allowed are %d", len(a.Reach), MaxReach)
	}
	if a.Load != nil {
		if err := a.Load.Check(); err != nil {
			return errors.Wrap(err, "answer")
		}
	}
	if a.BodyLength < len(a.Body) {
		return errors.Errorf("answer: body length %d is less than the %d bytes present", a.BodyLength, len(a.Body))
	}
	return nil
}
