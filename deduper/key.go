package deduper

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// uuidTextLength is the length of the only accepted spelling of a key with an issue time.
const uuidTextLength = 36

// IssueTime returns the issue time of a key in UUIDv7 form, in Unix milliseconds; zero for all other keys.
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

// DeriveKey returns the key of a child call that brings none. Equal arguments give an equal key, so a repeated run of
// the parent does not repeat its child calls; two intended child calls with the same content need keys of their own.
// The issue time is the parent's.
func DeriveKey(parent, service, requestType string, content []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(parent), []byte(service), []byte(requestType), content} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // a hash does not fail
		_, _ = h.Write(part)
	}
	var id uuid.UUID
	copy(id[:], h.Sum(nil))
	version := byte(8) // RFC 9562: a UUID with a format of its own
	if issued := IssueTime(parent); issued != 0 {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], uint64(issued))
		copy(id[:6], b[2:])
		version = 7
	}
	id[6] = id[6]&0x0f | version<<4
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// Fingerprint returns the hash of a request's content; it is never zero.
func Fingerprint(service, requestType string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(requestType), body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // a hash does not fail
		_, _ = h.Write(part)
	}
	return max(h.Sum64(), 1)
}
