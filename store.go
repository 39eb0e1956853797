package hornbeamcroft

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store. A write that fails with any other error may have taken effect.
var (
	// ErrStoreUnreachable means that the request was not sent, so a write did not take effect.
	ErrStoreUnreachable = errors.New("store unreachable")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrHistoryGone means that a watch asked for changes that the store no longer keeps; the keys must be listed again.
	ErrHistoryGone = errors.New("store no longer keeps these changes")
)

// LeaseID identifies a lease of the store. Zero means no lease.
type LeaseID int64

// Entry is one key of the store.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision of the last write of the key; zero if the key does not exist.
	ModRevision int64
	Lease       LeaseID
}

// Event is a change seen by a watch.
type Event struct {
	Entry Entry
	// Deleted is set if the key was deleted; then Entry.Value is empty.
	Deleted bool
}

// Compare is a condition of a transaction: the key's ModRevision must be equal to the given one. Zero means that the
// key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put is a write in a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
	// Delete removes the key in place of writing it.
	Delete bool
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	// Succeeded is false if a condition did not hold; then nothing was written.
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
}

// Store is the platform's key-value service. Reads are linearizable. Every call counts against the store's rate; a
// waiting watch counts as one call.
type Store interface {
	// Get returns the entry of key, or an Entry with ModRevision zero if it does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries with the prefix, ordered by key, and the store's revision at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Txn applies all puts if all conditions hold.
	Txn(ctx context.Context, conditions []Compare, puts []Put) (TxnResult, error)
	// Grant makes a lease; keys attached to it are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for each change of keys with the prefix from the given revision on. It returns when ctx ends or
	// the watch breaks.
	Watch(ctx context.Context, prefix string, fromRevision int64, fn func(Event)) error
}

// StaleLister is a Store that can list keys from a copy that is seconds old, at a lower price.
type StaleLister interface {
	// ListStale returns all entries with the prefix, ordered by key, and the store's revision of the copy.
	ListStale(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// Clock is the source of monotonic time. The zero of Now is arbitrary; values of different processes do not compare.
type Clock interface {
	Now() time.Duration
}

// Rand is the source of randomness of the cores. *math/rand/v2.Rand implements it.
type Rand interface {
	Uint64() uint64
	IntN(n int) int
	Float64() float64
}
