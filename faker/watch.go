package faker

import (
	"context"
	"slices"
	"strings"

	"hornbeamcroft"
)

// watches holds the events since the start or the last restore.
type watches struct {
	events     []hornbeamcroft.Event
	changed    chan struct{}
	generation int
}

// wake lets all watches look for events.
func (w *watches) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// restart drops the events and ends all watches.
func (w *watches) restart() {
	w.events = nil
	w.generation++
	w.wake()
}

// Watch implements hornbeamcroft.Store. It calls fn from the calling goroutine.
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

// pending returns the events from index next on and the channel that announces more.
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
