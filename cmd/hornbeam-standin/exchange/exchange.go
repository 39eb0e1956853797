// Package exchange defines the bodies and headers that the stand-ins of callers and upstreams exchange. Bodies carry
// the request's own marker at both ends, so that a truncated or mixed-up answer is noticed.
package exchange

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// Headers of a call.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderTimeout     = "Request-Timeout"
	HeaderTrace       = "Traceparent"
	HeaderCall        = "Hornbeam-Call"
	HeaderStartBefore = "Hornbeam-Start-Before"
	HeaderAttempt     = "Hornbeam-Attempt"
	HeaderCode        = "Hornbeam-Code"
	HeaderClaim       = "Hornbeam-Claim"
)

// Request is the body of a call. It is passed unchanged to child calls, so that the executions of a whole request
// share one marker.
type Request struct {
	// Marker identifies the user action; not empty.
	Marker string `json:"marker"`
	// Crash names a service that exits when it starts to run this request; empty if none does.
	Crash string `json:"crash,omitempty"`
	// AnswerBytes is the length of the filler of the answer.
	AnswerBytes int `json:"answer-bytes,omitempty"`
}

// maxAnswerBytes bounds the filler of an answer.
const maxAnswerBytes = 16 << 20

// Check reports whether the request is well formed.
func (r Request) Check() error {
	if r.Marker == "" {
		return errors.New("request: marker is empty")
	}
	if r.AnswerBytes < 0 || r.AnswerBytes > maxAnswerBytes {
		return errors.Errorf("request: answer-bytes %d: allowed are 0 to %d", r.AnswerBytes, maxAnswerBytes)
	}
	return nil
}

// Reply is the body of an upstream's answer. Marker comes first and End last in the encoded form.
type Reply struct {
	Marker  string `json:"marker"`
	Service string `json:"service"`
	Type    string `json:"type"`
	// Length is the length of Filler.
	Length int    `json:"length"`
	Filler string `json:"filler"`
	// Fault says why the request failed; empty if it succeeded.
	Fault string `json:"fault,omitempty"`
	End   string `json:"end"`
}

// NewReply returns the whole answer to r.
func NewReply(r Request, service, requestType, fault string) Reply {
	return Reply{
		Marker: r.Marker, Service: service, Type: requestType,
		Length: r.AnswerBytes, Filler: strings.Repeat("x", r.AnswerBytes), Fault: fault, End: r.Marker,
	}
}

// Verify reports why body is not the whole answer to r.
func Verify(r Request, body []byte) error {
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return errors.Wrap(err, "answer is not whole")
	}
	if reply.Marker != r.Marker || reply.End != r.Marker {
		return errors.Errorf("answer belongs to %q, end %q, want %q", reply.Marker, reply.End, r.Marker)
	}
	if reply.Length != r.AnswerBytes || len(reply.Filler) != r.AnswerBytes {
		return errors.Errorf("answer has %d bytes of filler, want %d", len(reply.Filler), r.AnswerBytes)
	}
	return nil
}
