// Package framer encodes and decodes the frames that nodes exchange over links. A frame is one WebSocket message: one
// byte for the type, followed by a CBOR value with integer keys. Decode validates the value, so that malformed input
// from the network is rejected before it changes the state of a node.
package framer

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Type is the first byte of a frame.
type Type uint8

// The frame types. Their numbers are sent over the network, so the order of the constants is part of the protocol.
const (
	TypeHello              Type = iota + 1 // handshake: identity and proof of the sender
	TypeCall                               // a call, with its body if that fits into one chunk
	TypeBody                               // a chunk of the body of a call or an answer
	TypeAnswer                             // the answer to a call or an outcome query
	TypeCancel                             // the sender no longer waits for a call
	TypePing                               // requests TypePong
	TypePong                               // answers TypePing
	TypeOutcomeQuery                       // asks for the outcome of a call after its link was lost
	TypeNonce                              // handshake: random value that the peer's proof must cover
	TypeHeartbeat                          // package tracker: liveness of the sender
	TypeMemberSuspect                      // package tracker: a member is suspected to have failed
	TypeRosterChange                       // package tracker: changed member records
	TypeRosterDigest                       // package tracker: summary for comparing rosters
	TypeRosterQuery                        // not in use
	TypeDocumentDigest                     // package distributor: revision of the sender's document
	TypeDocumentDelta                      // package distributor: changed sections of a document
	TypeDocumentWhole                      // package distributor: part of a whole document
	TypeEpochOffer                         // package owner: an epoch that is in the store
	TypeEpochAck                           // package owner: acknowledges an offered epoch
	TypePermitQuery                        // package owner: asks whether a newer epoch is known
	TypePermitReply                        // package owner: answers TypePermitQuery
	TypeHandover                           // package deduper: records of keys for their new home
	TypeEpochQuery                         // asks a node to read an epoch from the store
	TypeEpochReply                         // answers TypeEpochQuery
	TypeCrashSuspects                      // package quarantiner: requests that were running when an upstream crashed
	TypeCleared                            // package quarantiner: a suspect request ran isolated without a crash
	TypeIsolatedRun                        // package quarantiner: passes the right to run a suspect request isolated
	TypeSLOCounts                          // request counts that a stopping node hands over
	TypeNodeState                          // member record, load and configuration version of the sender
	TypeRoutes                             // routing configuration, and members that the sender knows
	TypeRoutesQuery                        // asks for TypeRoutes
	TypeCrash                              // package suspecter: a report of an upstream crash
	TypeChildCalls                         // observed child calls per route, for a node that has just started
	TypeRecordHeld                         // acknowledges a TypeNodeState whose upstream leaves
	TypeEarlierRecord                      // what an earlier process of the receiver announced of an upstream that leaves
	TypeConfigurationProof                 // package attester: how recently the configuration was known to be the newest
	TypeQuotaRequest                       // package borrower: asks the home of tenants for permits of their quotas
	TypeQuotaGrant                         // package lender: permits of a tenant's quota
	TypeSuspects                           // package suspecter: the suspects that the sender holds
	TypeRetryGranted                       // a call is presumed lost and may be retried while its run goes on
	TypeBodyCredit                         // flow control: bytes of a streamed body that its receiver has passed on

	typeEnd
)

const (
	// NewestType is the last of the types above.
	NewestType = typeEnd - 1
	// newestUnannounced is the newest type known to nodes of versions whose hello does not name their newest type. Such a node
	// closes a link on which a frame of a later type arrives.
	newestUnannounced = TypeQuotaGrant
)

// Maximum sizes of frames and chunks in bytes.
const (
	// MaxFrame is the maximum size of all frames except TypeDocumentWhole and TypeRoutes.
	MaxFrame = 64 << 10
	// MaxDocumentFrame is the maximum size of frames that carry a document or routes. Both are kept in the store, whose
	// values have at most 1 MB.
	MaxDocumentFrame = 1 << 20
	// ChunkSize is the maximum size of a body chunk. It leaves half of MaxFrame for the other fields of a frame that
	// carries a body.
	ChunkSize = 32 << 10
)

// Nonce is the first frame of each end of a new link. The proof in the peer's Hello covers its value.
type Nonce struct {
	Value []byte `cbor:"1,keyasint"`
}

// NonceSize is the size of a nonce in bytes.
const NonceSize = 16

// Check returns an error if the frame is malformed.
func (n Nonce) Check() error {
	if len(n.Value) != NonceSize {
		return errors.Errorf("nonce has %d bytes: exactly %d are required", len(n.Value), NonceSize)
	}
	return nil
}

// Hello is the second frame of each end of a new link. It identifies the sender.
type Hello struct {
	// Version is the version of the protocol that the sender uses.
	Version int    `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	// Incarnation differs for every start of the sender.
	Incarnation uint64 `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
	Service     string `cbor:"5,keyasint"`
	// Credit is the number of calls and outcome queries, from 1 to 65535, that the receiver of the hello may have
	// outstanding on the link.
	Credit int `cbor:"6,keyasint"`
	// Address is the address on which the sender accepts links.
	Address string `cbor:"7,keyasint"`
	// Proof is the HMAC under the cluster key of both nonces, the sender's role and its identity.
	Proof []byte `cbor:"8,keyasint"`
	// NewestType is the newest frame type that the sender knows; zero from senders that know none after newestUnannounced.
	NewestType Type `cbor:"9,keyasint,omitempty"`
}

// Knows reports whether the sender of the hello knows the frame type. Frames of other types must not be sent to it.
func (h Hello) Knows(t Type) bool { return t <= max(h.NewestType, newestUnannounced) }

// Check returns an error if the frame is malformed.
func (h Hello) Check() error {
	if h.Name == "" || len(h.Name) > 128 || len(h.Zone) > 128 || len(h.Service) > 128 || len(h.Address) > 128 {
		return errors.New("hello: name must have 1 to 128 bytes; zone, service and address at most 128")
	}
	if h.Credit < 1 || h.Credit > 65535 {
		return errors.Errorf("hello: invalid credit %d: must be 1 to 65535", h.Credit)
	}
	return nil
}

// Cancel tells the receiver that the sender no longer waits for the answer to the call with the id.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Check returns an error if the frame is malformed.
func (Cancel) Check() error { return nil }

// RetryGranted tells the sender of the call with the id that the run is presumed lost and goes on, and that the sender may retry the
// call once.
type RetryGranted struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Check returns an error if the frame is malformed.
func (RetryGranted) Check() error { return nil }

// Ping requests a frame of type TypePong with the same number. It is also the value of that frame.
type Ping struct {
	N uint64 `cbor:"1,keyasint"`
}

// Check returns an error if the frame is malformed.
func (Ping) Check() error { return nil }

// OutcomeQuery asks for the outcome of a call that was in flight on a lost link. The reply is an Answer with the ID of
// the call: the call's own answer once it is known, or CodeConfirmedNotRun if the call did not arrive and is now
// fenced.
type OutcomeQuery struct {
	Sender      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	ID          uint64 `cbor:"3,keyasint"`
	// Remaining is the time for which the sender waits for the reply if the call is still running.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// Check returns an error if the frame is malformed.
func (q OutcomeQuery) Check() error {
	if q.Sender == "" || len(q.Sender) > 128 {
		return errors.New("outcome-query: sender must have 1 to 128 bytes")
	}
	return nil
}

// Checker is implemented by all values that are received in frames. Check returns an error if the value is malformed.
type Checker interface {
	Check() error
}

// ErrTooLarge means that a frame exceeds the maximum size of its type.
var ErrTooLarge = errors.New("frame is too large")

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortNone, IndefLength: cbor.IndefLengthForbidden}.UserBufferEncMode())
	decMode = must(decOptions(cbor.UTF8RejectInvalid).DecMode())
	rawMode = must(decOptions(cbor.UTF8DecodeInvalid).DecMode())
)

func decOptions(text cbor.UTF8Mode) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 16384,
		MaxMapPairs:      4096,
		UTF8:             text,
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// maxSize returns the maximum size of frames of the type.
func maxSize(t Type) int {
	if t == TypeDocumentWhole || t == TypeRoutes {
		return MaxDocumentFrame
	}
	return MaxFrame
}

// checkSize returns ErrTooLarge, with the sizes, if a frame of the type must not have n bytes.
func checkSize(t Type, n int) error {
	if limit := maxSize(t); n > limit {
		return errors.Wrapf(ErrTooLarge, "type %d: %d bytes, at most %d", t, n, limit)
	}
	return nil
}

// Encode writes a frame of type t that carries the value v to buf, which must be empty. It returns ErrTooLarge if the receiver would
// reject the frame for its size.
func Encode(buf *bytes.Buffer, t Type, v any) error {
	buf.WriteByte(byte(t))
	if err := encMode.MarshalToBuffer(v, buf); err != nil {
		return errors.Wrap(err, "encode frame")
	}
	return checkSize(t, buf.Len())
}

// Split returns the type and the encoded value of a frame. The type may be one that a later version has added; such a frame is to be
// ignored. If the frame exceeds the maximum size of its type, Split returns both with ErrTooLarge.
func Split(frame []byte) (Type, []byte, error) {
	if len(frame) < 2 {
		return 0, nil, errors.New("frame has less than 2 bytes")
	}
	t := Type(frame[0])
	if t == 0 {
		return 0, nil, errors.New("frame has no type")
	}
	return t, frame[1:], checkSize(t, len(frame))
}

// Decode decodes the payload that Split returned into v and validates v. The value does not refer to the payload afterwards.
func Decode(payload []byte, v Checker) error { return decode(decMode, payload, v) }

// DecodeRaw is Decode for calls and answers. Their strings may hold any bytes, because the targets and the header fields of HTTP
// messages need not be UTF-8.
func DecodeRaw(payload []byte, v Checker) error { return decode(rawMode, payload, v) }

func decode(mode cbor.DecMode, payload []byte, v Checker) error {
	if err := mode.Unmarshal(payload, v); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	return v.Check()
}

// DecodeID returns the ID of a call or an answer whose other fields may not be decodable.
func DecodeID(payload []byte) (uint64, error) {
	var v struct {
		ID uint64 `cbor:"1,keyasint"`
	}
	if err := rawMode.Unmarshal(payload, &v); err != nil {
		return 0, errors.Wrap(err, "decode id")
	}
	return v.ID, nil
}
