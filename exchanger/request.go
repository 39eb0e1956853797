package exchanger

import (
	"io"

	"hornbeamcroft"
)

// Request is a request to the upstream.
type Request struct {
	Message hornbeamcroft.Message
	Body    []byte
	// Attempt is the attempt id that the answer must carry in the field HeaderNames.Attempt.
	Attempt string
	// Memory is the account from which the body of the answer is reserved; nil if it is not accounted for.
	Memory hornbeamcroft.Memory
	// Stream is true if the body of an answer that is longer than streamBytes is returned as Result.Stream.
	Stream bool
}

// Result is an answer and what is known about the execution of its request.
type Result struct {
	Outcome Outcome
	Status  int
	Header  []hornbeamcroft.Field
	Body    []byte
	// Stream is the body of an answer that is not read yet, and StreamLength its length or hornbeamcroft.UnknownLength; nil and zero if
	// Body is the whole body. The exchange ends when the stream is read to its end, fails, or is closed.
	Stream       io.ReadCloser
	StreamLength int64
	// Instance is the id of the instance that answered; empty if the answer does not name it.
	Instance string
	// Statement is what the upstream states about itself. It is nil unless Outcome is OutcomeAnswered, OutcomeUnprovenRefusal or
	// OutcomeNotRun and the statement can be read.
	Statement *hornbeamcroft.Statement
	// Err is the reason why there is no complete answer.
	Err error
}
