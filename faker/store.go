// Package faker holds test doubles: an in-memory hornbeamcroft.Store that injects faults, a manual clock and a seeded random
// number generator. The faults resemble those of the platform stand-in in cmd/hornbeam-standin/platform.
package faker

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// ErrNoAnswer is the error of a write whose request or answer was lost. The caller cannot tell whether the write was applied.
var ErrNoAnswer = errors.New("no answer from the store")

// ErrRestored is the error with which a watch ends when a snapshot is restored.
var ErrRestored = errors.New("watch ended because a snapshot was restored")

// Faults are the faults that a Store injects. The zero value injects none.
type Faults struct {
	// Down fails every call with hornbeamcroft.ErrStoreUnreachable and applies nothing.
	Down bool
	// Delay is the time by which the store's Clock advances before each call is applied.
	Delay time.Duration
	// LoseAnswers is the number of further writes, including calls about leases, that are applied but fail with ErrNoAnswer; a
	// negative number means all writes. The store counts it down.
	LoseAnswers int
	// LoseRequests is the number of further transactions that are not applied and fail with ErrNoAnswer; a negative number means
	// all transactions. The store counts it down.
	LoseRequests int
	// StaleSnapshot is the name of the snapshot that reads are answered from. If it is empty or there is no such
	// snapshot, reads are answered from the current data.
	StaleSnapshot string
	// HoldWatches delays the delivery of events to watches until it is unset; no event is dropped.
	HoldWatches bool
}

// lease is a granted lease; expires is a time of Clock.
type lease struct{ ttl, expires time.Duration }

// data is the content of the store at one revision.
type data struct {
	revision int64
	entries  map[string]hornbeamcroft.Entry
	leases   map[hornbeamcroft.LeaseID]lease
}

func (d data) clone() data {
	return data{d.revision, maps.Clone(d.entries), maps.Clone(d.leases)}
}

// Store is an in-memory hornbeamcroft.Store. It is safe for concurrent use.
type Store struct {
	// Clock is the time by which leases expire. Faults.Delay advances it. It must not be nil.
	Clock *Clock

	// mu guards the fields below.
	mu     sync.Mutex
	faults Faults
	data   data
	// lastLease is the lease that was granted last; zero if none was.
	lastLease hornbeamcroft.LeaseID
	// snapshots holds the snapshots by name.
	snapshots map[string]data
	// counts holds the number of calls by method, and their sum under "all".
	counts  map[string]int
	watches watches
}

var _ hornbeamcroft.Store = (*Store)(nil)

// NewStore returns an empty store at revision 1.
func NewStore(clock *Clock) *Store {
	return &Store{
		Clock:     clock,
		data:      data{1, map[string]hornbeamcroft.Entry{}, map[hornbeamcroft.LeaseID]lease{}},
		snapshots: map[string]data{},
		counts:    map[string]int{},
		watches:   watches{changed: make(chan struct{})},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.watches.wake()
}

// Faults returns the injected faults. LoseAnswers and LoseRequests hold the numbers of losses that remain.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls by method, and their sum under "all". A watch counts as one call however long it lasts.
func (s *Store) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Save stores a snapshot of the data under the name.
func (s *Store) Save(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.snapshots[name] = s.data.clone()
}

// Restore replaces the data, including its revision, by the snapshot with the name, and ends all watches with ErrRestored.
func (s *Store) Restore(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot, ok := s.snapshots[name]
	if !ok {
		return errors.Errorf("no snapshot %q", name)
	}
	s.data = snapshot.clone()
	s.watches.endAll()
	return nil
}

// begin counts a call and injects the faults Down and Delay. It acquires mu, and holds it on return unless it returns an
// error.
func (s *Store) begin(ctx context.Context, method string) error {
	s.mu.Lock()
	s.counts[method]++
	s.counts["all"]++
	if err := ctx.Err(); err != nil {
		s.mu.Unlock()
		return errors.Wrap(hornbeamcroft.ErrStoreUnreachable, err.Error())
	}
	if s.faults.Down {
		s.mu.Unlock()
		return errors.Wrap(hornbeamcroft.ErrStoreUnreachable, "the fault Down is set")
	}
	s.Clock.Advance(s.faults.Delay)
	s.expire()
	return nil
}

// takeLoss reports whether the current call is lost, given the number of calls that are still to be lost, and counts that
// number down. A negative number means all calls.
func takeLoss(remaining *int) bool {
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining < 0
}

// Get implements hornbeamcroft.Store.
func (s *Store) Get(ctx context.Context, key string) (hornbeamcroft.Entry, error) {
	if err := s.begin(ctx, "get"); err != nil {
		return hornbeamcroft.Entry{}, err
	}
	defer s.mu.Unlock()
	if e, ok := s.readableData().entries[key]; ok {
		return e, nil
	}
	return hornbeamcroft.Entry{Key: key}, nil
}

// readableData returns the data that reads are answered from: the snapshot StaleSnapshot or the current data. The
// caller holds mu.
func (s *Store) readableData() data {
	if snapshot, ok := s.snapshots[s.faults.StaleSnapshot]; ok && s.faults.StaleSnapshot != "" {
		return snapshot
	}
	return s.data
}

// List implements hornbeamcroft.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	if err := s.begin(ctx, "list"); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var found []hornbeamcroft.Entry
	readable := s.readableData()
	for _, key := range slices.Sorted(maps.Keys(readable.entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, readable.entries[key])
		}
	}
	return found, readable.revision, nil
}

// Txn implements hornbeamcroft.Store.
func (s *Store) Txn(ctx context.Context, conditions []hornbeamcroft.Compare, puts []hornbeamcroft.Put) (hornbeamcroft.TxnResult, error) {
	if err := s.begin(ctx, "txn"); err != nil {
		return hornbeamcroft.TxnResult{}, err
	}
	defer s.mu.Unlock()
	if takeLoss(&s.faults.LoseRequests) {
		return hornbeamcroft.TxnResult{}, ErrNoAnswer
	}
	for _, p := range puts {
		if _, ok := s.data.leases[p.Lease]; p.Lease != 0 && !ok {
			return hornbeamcroft.TxnResult{}, hornbeamcroft.ErrLeaseNotFound
		}
	}
	result := hornbeamcroft.TxnResult{Succeeded: s.conditionsHold(conditions)}
	if result.Succeeded && len(puts) > 0 {
		s.data.revision++
		for _, p := range puts {
			s.apply(p)
		}
		s.watches.wake()
	}
	result.Revision = s.data.revision
	if takeLoss(&s.faults.LoseAnswers) {
		return hornbeamcroft.TxnResult{}, ErrNoAnswer
	}
	return result, nil
}

// conditionsHold reports whether all conditions of a transaction hold. The caller holds mu.
func (s *Store) conditionsHold(conditions []hornbeamcroft.Compare) bool {
	for _, c := range conditions {
		if s.data.entries[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// apply performs one write at the current revision and records its event. The caller holds mu.
func (s *Store) apply(p hornbeamcroft.Put) {
	e := hornbeamcroft.Entry{Key: p.Key, Value: slices.Clone(p.Value), ModRevision: s.data.revision, Lease: p.Lease}
	if p.Delete {
		if _, ok := s.data.entries[p.Key]; !ok {
			return
		}
		e.Value, e.Lease = nil, 0
		delete(s.data.entries, p.Key)
	} else {
		s.data.entries[p.Key] = e
	}
	s.watches.events = append(s.watches.events, hornbeamcroft.Event{Entry: e, Deleted: p.Delete})
}
