package hornbeamcroft

import (
	"crypto/sha256"

	"github.com/go-faster/errors"
)

// KeyHash is the SHA-256 hash of an API key. The key itself is not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Tenant is a customer whose callers share API keys, a quota and a priority.
type Tenant struct {
	// Name is at most 128 bytes long.
	Name string
	// Keys holds the hashes of the API keys.
	Keys []KeyHash
	// Band is the band of importance of the tenant's requests, from 0 to ImportanceBands-1.
	Band int
	// Quota bounds the tenant's requests over all nodes.
	Quota Quota
}

// Quota bounds the requests of a tenant over all nodes: Rate a second, and Burst at once. Both are at least 0; a Rate of 0 means no
// limit.
type Quota struct {
	Rate, Burst float64
}

// Check returns an error if a field is out of range.
func (t Tenant) Check() error {
	if t.Name == "" || len(t.Name) > maxNameLength {
		return errors.Errorf("tenant name of %d bytes: must be 1 to %d", len(t.Name), maxNameLength)
	}
	if t.Band < 0 || t.Band >= ImportanceBands {
		return errors.Errorf("band %d: must be 0 to %d", t.Band, ImportanceBands-1)
	}
	return t.Quota.Check()
}

// Check returns an error if a field is negative.
func (q Quota) Check() error {
	if !(q.Rate >= 0) || !(q.Burst >= 0) {
		return errors.Errorf("rate %g and burst %g: must be at least 0", q.Rate, q.Burst)
	}
	return nil
}
