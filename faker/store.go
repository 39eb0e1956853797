// Package faker holds an in-memory hornbeamcroft.Store with fault switches, a manual clock and seeded randomness for
// tests. The fault switches are those of the platform stand-in.
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

// ErrLost is the error of a call whose answer was lost.
var ErrLost = errors.New("answer lost")

// ErrRestored ends the watches when a copy is restored.
var ErrRestored = errors.New("watch ended by a restore")

// Faults are the fault switches.
type Faults struct {
	// Down fails every call with hornbeamcroft.ErrStoreUnreachable and applies nothing.
	Down bool
	// Delay passes on Clock before a call is applied.
	Delay time.Duration
	// LoseAnswers is the number of writes that are applied but fail with ErrLost; -1 loses all.
	LoseAnswers int
	// LoseRequests is the number of writes that fail with ErrLost and are not applied.
	LoseRequests int
	// StaleCopy names a saved copy from which reads are answered; empty means the current data.
	StaleCopy string
	// HoldWatches stops the delivery of events while it is set; the events are not lost.
	HoldWatches bool
}

type lease struct{ ttl, expires time.Duration }

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
	// Clock drives the leases and is moved by Faults.Delay; not nil.
	Clock *Clock

	mu        sync.Mutex
	faults    Faults
	data      data
	nextLease hornbeamcroft.LeaseID
	copies    map[string]data
	counts    map[string]int
	watches   watches
}

var _ hornbeamcroft.Store = (*Store)(nil)

// NewStore returns an empty store at revision 1.
func NewStore(clock *Clock) *Store {
	return &Store{
		Clock:   clock,
		data:    data{1, map[string]hornbeamcroft.Entry{}, map[hornbeamcroft.LeaseID]lease{}},
		copies:  map[string]data{},
		counts:  map[string]int{},
		watches: watches{changed: make(chan struct{})},
	}
}

// SetFaults replaces the fault switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.watches.wake()
}

// Faults returns the fault switches; the counts of losses are those that remain.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls by method; "all" is their sum. A waiting watch counts as one call.
func (s *Store) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Save keeps a copy of the data under a name.
func (s *Store) Save(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.copies[name] = s.data.clone()
}

// Restore replaces the data and the revision by a saved copy and ends all watches.
func (s *Store) Restore(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[name]
	if !ok {
		return errors.Errorf("no copy %q", name)
	}
	s.data = c.clone()
	s.watches.restart()
	return nil
}

// begin counts a call and applies the switches that act before it. It returns with mu held unless it fails.
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
		return errors.Wrap(hornbeamcroft.ErrStoreUnreachable, "switched down")
	}
	s.Clock.Advance(s.faults.Delay)
	s.expire()
	return nil
}

// lose counts down a switch and reports whether this call is hit.
func lose(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Get implements hornbeamcroft.Store.
func (s *Store) Get(ctx context.Context, key string) (hornbeamcroft.Entry, error) {
	if err := s.begin(ctx, "get"); err != nil {
		return hornbeamcroft.Entry{}, err
	}
	defer s.mu.Unlock()
	if e, ok := s.view().entries[key]; ok {
		return e, nil
	}
	return hornbeamcroft.Entry{Key: key}, nil
}

// view returns the data that reads are answered from.
func (s *Store) view() data {
	if c, ok := s.copies[s.faults.StaleCopy]; ok && s.faults.StaleCopy != "" {
		return c
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
	view := s.view()
	for _, key := range slices.Sorted(maps.Keys(view.entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, view.entries[key])
		}
	}
	return found, view.revision, nil
}

// Txn implements hornbeamcroft.Store.
func (s *Store) Txn(ctx context.Context, conditions []hornbeamcroft.Compare, puts []hornbeamcroft.Put) (hornbeamcroft.TxnResult, error) {
	if err := s.begin(ctx, "txn"); err != nil {
		return hornbeamcroft.TxnResult{}, err
	}
	defer s.mu.Unlock()
	if lose(&s.faults.LoseRequests) {
		return hornbeamcroft.TxnResult{}, ErrLost
	}
	for _, p := range puts {
		if _, ok := s.data.leases[p.Lease]; p.Lease != 0 && !ok {
			return hornbeamcroft.TxnResult{}, hornbeamcroft.ErrLeaseNotFound
		}
	}
	result := hornbeamcroft.TxnResult{Succeeded: s.holds(conditions)}
	if result.Succeeded && len(puts) > 0 {
		s.data.revision++
		for _, p := range puts {
			s.apply(p)
		}
		s.watches.wake()
	}
	result.Revision = s.data.revision
	if lose(&s.faults.LoseAnswers) {
		return hornbeamcroft.TxnResult{}, ErrLost
	}
	return result, nil
}

func (s *Store) holds(conditions []hornbeamcroft.Compare) bool {
	for _, c := range conditions {
		if s.data.entries[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// apply performs one write at the current revision.
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
