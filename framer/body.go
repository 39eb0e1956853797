package framer

import "github.com/go-faster/errors"

// Body is one chunk of the body of a call or an answer whose body is longer than ChunkSize.
type Body struct {
	ID uint64 `cbor:"1,keyasint"`
	// Answer is true for the body of an answer, false for that of a call.
	Answer bool `cbor:"2,keyasint,omitempty"`
	// Offset is the position of Data in the body, in bytes. Chunks are sent in order and without gaps.
	Offset int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
	// Last is true for the last chunk. The body must then have the length that the frame of the call or answer
	// announced.
	Last bool `cbor:"5,keyasint,omitempty"`
	// Broken is true if a streamed body ends here without being complete.
	Broken bool `cbor:"6,keyasint,omitempty"`
}

// Check returns an error if the frame is malformed.
func (b Body) Check() error {
	if b.Offset < 0 || len(b.Data) > ChunkSize {
		return errors.Errorf("body: invalid chunk with offset %d and %d bytes: offset must be at least 0, bytes at most %d",
			b.Offset, len(b.Data), ChunkSize)
	}
	return nil
}

// BodyCredit tells the sender of a streamed body that its receiver has passed on bytes since the last credit, so that as many more may
// be sent.
type BodyCredit struct {
	// ID is that of the call.
	ID    uint64 `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
}

// Check returns an error if the frame is malformed.
func (c BodyCredit) Check() error {
	if c.Bytes < 1 {
		return errors.Errorf("body-credit: %d bytes: must be at least 1", c.Bytes)
	}
	return nil
}
