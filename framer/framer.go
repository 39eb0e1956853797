// Package framer encodes and decodes the frames between nodes. A frame is one WebSocket message: one byte for the type
// and a CBOR value with integer keys. Decoding checks every field, so a malformed frame never reaches a core.
package framer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Type is the first byte of a frame.
type Type uint8

// The frame types.
const (
	TypeHello Type = iota + 1
	TypeCall
	TypeBody
	TypeAnswer
	TypeCancel
	TypePing
	TypePong
	TypeOutcomeQuery
	TypeNonce
	TypeHeartbeat
	TypeSuspicion
	TypeRosterChange
	TypeRosterDigest
	TypeRosterQuery
	TypeDocumentDigest
	TypeDocumentDelta
	TypeDocumentWhole
	TypeEpochOffer
	TypeEpochAck
	TypePermitQuery
	TypePermitReply
	TypeHandover
	TypeEpochQuery
	TypeEpochReply
	TypeSuspect
	TypeCleared
	TypeTurn
	TypeSLOCounts
	TypeNotice
	TypeRoutes
	TypeRoutesQuery
	TypeCrash
	TypeLearned

	typeEnd
)

// Sizes of frames in bytes.
const (
	// MaxFrame bounds all frames but documents.
	MaxFrame = 64 << 10
	// MaxDocumentFrame bounds frames that carry a whole document; the store's values are at most 1 MB.
	MaxDocumentFrame = 1 << 20
	// ChunkSize is the size of body chunks; the rest of MaxFrame is for the header.
	ChunkSize = 32 << 10
)

// Nonce opens the handshake of a link in each direction.
type Nonce struct {
	Value []byte `cbor:"1,keyasint"`
}

// NonceSize is the size of a nonce in bytes.
const NonceSize = 16

// Check reports whether the frame is well formed.
func (n Nonce) Check() error {
	if len(n.Value) != NonceSize {
		return errors.Errorf("nonce: %d bytes: allowed are %d", len(n.Value), NonceSize)
	}
	return nil
}

// Hello is the second frame in each direction of a link.
type Hello struct {
	Version     int    `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
	Service     string `cbor:"5,keyasint"`
	// Credit is the number of calls that the peer may have outstanding on this link; 1 to 65535.
	Credit int `cbor:"6,keyasint"`
	// Address is where the sender accepts links.
	Address string `cbor:"7,keyasint"`
	// Proof is the HMAC of both nonces and this frame's identity under the cluster key.
	Proof []byte `cbor:"8,keyasint"`
}

// Check reports whether the frame is well formed.
func (h Hello) Check() error {
	if h.Name == "" || len(h.Name) > 128 || len(h.Zone) > 128 || len(h.Service) > 128 || len(h.Address) > 128 {
		return errors.New("hello: name needs 1 to 128 bytes; zone, service and address at most 128")
	}
	if h.Credit < 1 || h.Credit > 65535 {
		return errors.Errorf("hello: credit %d: allowed are 1 to 65535", h.Credit)
	}
	return nil
}

// Body is a chunk of the body of a call or an answer that does not fit into its first frame.
type Body struct {
	ID uint64 `cbor:"1,keyasint"`
	// Answer is true for the body of an answer, false for that of a call.
	Answer bool `cbor:"2,keyasint,omitempty"`
	// Offset is the position of Data; chunks arrive in order and without gaps.
	Offset int    `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
	// Last marks the end; the body must then have the length that its first frame announced.
	Last bool `cbor:"5,keyasint,omitempty"`
}

// Check reports whether the frame is well formed.
func (b Body) Check() error {
	if b.Offset < 0 || len(b.Data) > ChunkSize {
		return errors.Errorf("body: offset %d with %d bytes: allowed are at least 0 and at most %d", b.Offset, len(b.Data),
			ChunkSize)
	}
	return nil
}

// Cancel tells that the caller no longer waits for the call.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Check reports whether the frame is well formed.
func (Cancel) Check() error { return nil }

// Ping asks for a Pong with the same number.
type Ping struct {
	N uint64 `cbor:"1,keyasint"`
}

// Check reports whether the frame is well formed.
func (Ping) Check() error { return nil }

// OutcomeQuery asks what became of a call that was in flight on a lost link. The reply is an Answer with the call's ID:
// the call's own answer once it is known, or CodeConfirmedNotRun if the call never arrived and is now fenced.
type OutcomeQuery struct {
	Sender      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	ID          uint64 `cbor:"3,keyasint"`
	// Remaining is the time for which the sender waits if the call is still running.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// Check reports whether the frame is well formed.
func (q OutcomeQuery) Check() error {
	if q.Sender == "" || len(q.Sender) > 128 {
		return errors.New("outcome-query: sender needs 1 to 128 bytes")
	}
	return nil
}

// Checker is implemented by all values that come in frames.
type Checker interface {
	Check() error
}

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortNone, IndefLength: cbor.IndefLengthForbidden}.EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 16384,
		MaxMapPairs:      4096,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the frame of type t with the value v.
func Encode(t Type, v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	frame := make([]byte, 0, len(b)+1)
	frame = append(frame, byte(t))
	return append(frame, b...), nil
}

// Split returns type and payload of a frame.
func Split(frame []byte) (Type, []byte, error) {
	if len(frame) < 2 {
		return 0, nil, errors.New("frame shorter than 2 bytes")
	}
	t := Type(frame[0])
	if t == 0 || t >= typeEnd {
		return 0, nil, errors.Errorf("frame type %d is unknown", frame[0])
	}
	limit := MaxFrame
	if t == TypeDocumentWhole || t == TypeRoutes {
		limit = MaxDocumentFrame
	}
	if len(frame) > limit {
		return 0, nil, errors.Errorf("frame of type %d has %d bytes: allowed are %d", t, len(frame), limit)
	}
	return t, frame[1:], nil
}

// Decode parses the payload into v and checks it.
func Decode(payload []byte, v Checker) error {
	if err := decMode.Unmarshal(payload, v); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	return v.Check()
}
