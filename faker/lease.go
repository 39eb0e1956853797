package faker

import (
	"context"
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

// Grant implements hornbeamcroft.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (hornbeamcroft.LeaseID, error) {
	if err := s.begin(ctx, "grant"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextLease++
	s.data.leases[s.nextLease] = lease{ttl, s.Clock.Now() + ttl}
	if lose(&s.faults.LoseAnswers) {
		return 0, ErrLost
	}
	return s.nextLease, nil
}

// KeepAlive implements hornbeamcroft.Store.
func (s *Store) KeepAlive(ctx context.Context, id hornbeamcroft.LeaseID) error {
	if err := s.begin(ctx, "keep-alive"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.data.leases[id]
	if !ok {
		return hornbeamcroft.ErrLeaseNotFound
	}
	l.expires = s.Clock.Now() + l.ttl
	s.data.leases[id] = l
	if lose(&s.faults.LoseAnswers) {
		return ErrLost
	}
	return nil
}

// Revoke implements hornbeamcroft.Store.
func (s *Store) Revoke(ctx context.Context, id hornbeamcroft.LeaseID) error {
	if err := s.begin(ctx, "revoke"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.data.leases[id]; !ok {
		return hornbeamcroft.ErrLeaseNotFound
	}
	s.end(id)
	if lose(&s.faults.LoseAnswers) {
		return ErrLost
	}
	return nil
}

// expire ends the leases whose time has passed. The caller holds mu.
func (s *Store) expire() {
	for _, id := range slices.Sorted(maps.Keys(s.data.leases)) {
		if s.Clock.Now() >= s.data.leases[id].expires {
			s.end(id)
		}
	}
}

// end deletes a lease and its keys in one revision. The caller holds mu.
func (s *Store) end(id hornbeamcroft.LeaseID) {
	delete(s.data.leases, id)
	first := true
	for _, key := range slices.Sorted(maps.Keys(s.data.entries)) {
		if s.data.entries[key].Lease != id {
			continue
		}
		if first {
			s.data.revision++
			first = false
		}
		s.apply(hornbeamcroft.Put{Key: key, Delete: true})
	}
	s.watches.wake()
}
