package faker

import (
	"context"
	"slices"
	"strings"

	"hornbeamcroft"
)

// watches holds what the watches of a Store share. It is guarded by Store.mu.
type watches struct {
	// events holds all events since the store was created or last restored.
	events []hornbeamcroft.Event
	// changed is closed and replaced when events were added, faults were replaced or a snapshot was restored.
	changed chan struct{}
	// generation counts the restores. A watch ends when it changes.
	generation int
}

// wake makes all waiting watches check for events, faults and restores.
func (w *watches) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// endAll drops the events and ends all watches.
func (w *watches) endAll() {
	w.events = nil
	w.generation++
	w.wake()
}

// Watch implements hornbeamcroft.Store. It calls fn in the goroutine of the caller.
func (s *Store) Watch(ctx context.Context, prefix string, fromRevision int64, fn func(hornbeamcroft.Event)) error {
	if err := s.begin(ctx, "watch"); err != nil {
		return err
	}
	generation, next := s.watches.generation, 0
	s.mu.Unlock()
	for {
		events, changed, err := s.pending(generation, next)
		if err != nil {
			return err
		}
		next += len(events)
		for _, e := range events {
			if strings.HasPrefix(e.Entry.Key, prefix) && e.Entry.ModRevision >= fromRevision {
				fn(e)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// pending returns the events from the index next on, and the channel that is closed at the next change.
func (s *Store) pending(generation, next int) ([]hornbeamcroft.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case generation != s.watches.generation:
		return nil, nil, ErrRestored
	case s.faults.Down:
		return nil, nil, hornbeamcroft.ErrStoreUnreachable
	case s.faults.HoldWatches:
		return nil, s.watches.changed, nil
	}
	return slices.Clone(s.watches.events[next:]), s.watches.changed, nil
}
