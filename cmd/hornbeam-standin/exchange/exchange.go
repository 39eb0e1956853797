// Package exchange defines the headers and bodies that the stand-ins of callers and upstreams exchange. An answer contains the
// marker of its request at its start and at its end, so that the caller detects a truncated answer and one to another request.
package exchange

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
)

// Headers of a call and of its answer.
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

// Request is the body of a call. Upstreams pass it unchanged to their child calls, so that all executions for one user
// action have the same marker.
type Request struct {
	// Marker identifies the user action; it must not be empty.
	Marker string `json:"marker"`
	// Crash names a service whose upstream exits when it starts to run this request; empty for none.
	Crash string `json:"crash,omitempty"`
	// AnswerBytes is the length of the filler of the answer in bytes; 0 to maxAnswerBytes.
	AnswerBytes int `json:"answer-bytes,omitempty"`
}

// maxAnswerBytes is the maximum length of the filler of an answer in bytes.
const maxAnswerBytes = 16 << 20

// Check returns an error if the marker is empty or AnswerBytes is out of range.
func (r Request) Check() error {
	if r.Marker == "" {
		return errors.New("request: marker is empty")
	}
	if r.AnswerBytes < 0 || r.AnswerBytes > maxAnswerBytes {
		return errors.Errorf("request: answer-bytes is %d, want 0 to %d", r.AnswerBytes, maxAnswerBytes)
	}
	return nil
}

// Reply is the body of an upstream's answer. The encoded form starts with Marker and ends with End; both are the marker of the
// request.
type Reply struct {
	Marker  string `json:"marker"`
	Service string `json:"service"`
	Type    string `json:"type"`
	// Length is the length of Filler in bytes.
	Length int    `json:"length"`
	Filler string `json:"filler"`
	// Fault says why the request failed; empty if it succeeded.
	Fault string `json:"fault,omitempty"`
	End   string `json:"end"`
}

// NewReply returns the whole answer of the service to r.
func NewReply(r Request, service, requestType, fault string) Reply {
	return Reply{
		Marker: r.Marker, Service: service, Type: requestType,
		Length: r.AnswerBytes, Filler: strings.Repeat("x", r.AnswerBytes), Fault: fault, End: r.Marker,
	}
}

// Verify returns an error that says why body is not the whole answer to r; nil if it is.
func Verify(r Request, body []byte) error {
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return errors.Wrap(err, "answer is not a whole JSON body")
	}
	if reply.Marker != r.Marker || reply.End != r.Marker {
		return errors.Errorf("answer has marker %q and end marker %q, want %q for both", reply.Marker, reply.End, r.Marker)
	}
	if reply.Length != r.AnswerBytes || len(reply.Filler) != r.AnswerBytes {
		return errors.Errorf("answer has %d bytes of filler, want %d", len(reply.Filler), r.AnswerBytes)
	}
	return nil
}
