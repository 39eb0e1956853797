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
	s.lastLease++
	s.data.leases[s.lastLease] = lease{ttl, s.Clock.Now() + ttl}
	if takeLoss(&s.faults.LoseAnswers) {
		return 0, ErrNoAnswer
	}
	return s.lastLease, nil
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
	if takeLoss(&s.faults.LoseAnswers) {
		return ErrNoAnswer
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
	s.endLease(id)
	if takeLoss(&s.faults.LoseAnswers) {
		return ErrNoAnswer
	}
	return nil
}

// expire ends the leases whose TTL has passed since they were granted or last renewed. The caller holds mu.
func (s *Store) expire() {
	for _, id := range slices.Sorted(maps.Keys(s.data.leases)) {
		if s.Clock.Now() >= s.data.leases[id].expires {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys attached to it, all keys in one revision. The caller holds mu.
func (s *Store) endLease(id hornbeamcroft.LeaseID) {
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
