package deduper

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// uuidTextLength is the length, in bytes, of the hyphenated text form of a UUID. Keys in the other forms that uuid.Parse
// accepts have no issue time.
const uuidTextLength = 36

// IssueTime returns the timestamp of a key that is a UUIDv7, in Unix milliseconds; zero for all other keys.
func IssueTime(key string) int64 {
	if len(key) != uuidTextLength {
		return 0
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0
	}
	var b [8]byte
	copy(b[2:], id[:6])
	return int64(binary.BigEndian.Uint64(b[:]))
}

// DeriveKey returns the idempotency key for a child call that has no key of its own. Equal arguments give equal keys,
// so a repeated run of the parent does not repeat its child calls. Two child calls with the same content that must both
// run need explicit keys. The derived key has the issue time of the parent key.
func DeriveKey(parent, service, requestType string, content []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(parent), []byte(service), []byte(requestType), content} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // writing to a hash never fails
		_, _ = h.Write(part)
	}
	var id uuid.UUID
	copy(id[:], h.Sum(nil))
	version := byte(8) // RFC 9562: a UUID with a custom format
	if issuedAt := IssueTime(parent); issuedAt != 0 {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], uint64(issuedAt))
		copy(id[:6], b[2:])
		version = 7
	}
	id[6] = id[6]&0x0f | version<<4
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// Fingerprint returns the hash of a request's service, type and body. It is never zero, since zero means not computed.
func Fingerprint(service, requestType string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(requestType), body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // writing to a hash never fails
		_, _ = h.Write(part)
	}
	return max(h.Sum64(), 1)
}
