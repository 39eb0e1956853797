package hornbeamcroft

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store. A write that fails with an error other than these may have taken effect.
var (
	// ErrStoreUnreachable means that the store did not carry out the call, because it could not be reached or refused the
	// call, so that a write did not take effect.
	ErrStoreUnreachable = errors.New("store unreachable")
	// ErrLeaseNotFound means that the lease expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrHistoryGone means that a watch requested changes that the store no longer keeps. The keys must be listed again.
	ErrHistoryGone = errors.New("store no longer keeps these changes")
)

// LeaseID identifies a lease of the store. Zero means no lease.
type LeaseID int64

// Entry is one key of the store and its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision of the last write of the key; zero if the key does not exist. Revisions rise also when
	// the store comes back from an older copy, see NewRevision.
	ModRevision int64
	Lease       LeaseID
}

// Event is a change seen by a watch.
type Event struct {
	Entry Entry
	// Deleted is true if the key was deleted. Entry.Value is empty then.
	Deleted bool
}

// Compare is a condition of a transaction: the ModRevision of the key must equal the given one. Zero means that the key must
// not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put is a write in a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
	// Delete is true if the key is to be deleted instead of written.
	Delete bool
}

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	// Succeeded is false if a condition did not hold. Nothing was written then.
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
}

// Store is the platform's key-value service. Reads are linearizable. Every call counts against the store's rate limit; a
// watch counts as one call while it waits.
type Store interface {
	// Get returns the entry of key, or an Entry with ModRevision zero if it does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries with the prefix, ordered by key, and the store's revision at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Txn applies all puts atomically if all conditions hold.
	Txn(ctx context.Context, conditions []Compare, puts []Put) (TxnResult, error)
	// Grant creates a lease. Keys attached to the lease are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch calls fn for each change of keys with the prefix, from the given revision on. It returns when ctx ends or the
	// watch fails.
	Watch(ctx context.Context, prefix string, fromRevision int64, fn func(Event)) error
}

// StaleLister lists keys from a copy of the store that may be seconds old, which costs the store less than a linearizable
// list.
type StaleLister interface {
	// ListStale returns all entries with the prefix, ordered by key, and the store revision of the copy.
	ListStale(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// ChangeLister lists the changes of keys without waiting for any.
type ChangeLister interface {
	// ListChanges returns the changes of keys with the prefix after the revision, and the store's revision up to which these are
	// all. It is linearizable. It fails with ErrHistoryGone if the changes are no longer kept.
	ListChanges(ctx context.Context, prefix string, after int64) ([]Event, int64, error)
}

// Clock is the source of monotonic time.
type Clock interface {
	// Now returns the time since an arbitrary origin. Values of different processes cannot be compared.
	Now() time.Duration
}

// Rand is the source of randomness for the cores. *math/rand/v2.Rand implements it.
type Rand interface {
	Uint64() uint64
	IntN(n int) int
	Float64() float64
}
