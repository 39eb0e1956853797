package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the maximum size of a value, the limit of the platform.
const maxValueBytes = 1 << 20

// maxHistoryEvents is the maximum number of past events that are kept for watches that start at an older revision.
const maxHistoryEvents = 10_000

// record is a key with its value.
type record struct {
	key   string
	value []byte
	// createRevision is the revision at which the key was created, modRevision that of its last write.
	createRevision int64
	modRevision    int64
	// version is the number of writes of the key since it was created, including the first.
	version int64
	// lease is the lease that the key is attached to; zero if none.
	lease int64
}

// lease is a granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// event is a change of a key. The record of a deleted key holds only the key and the revision of the deletion.
type event struct {
	record  record
	deleted bool
}

// state is the content of the store: the records, the leases and the events for watches.
type state struct {
	// mu guards the fields below, except for the functions.
	mu       sync.Mutex
	revision int64
	records  map[string]record
	leases   map[int64]lease
	// lastLease is the lease that was granted last.
	lastLease int64
	// events holds the events after the revision compacted, ordered by revision.
	events []event
	// compacted is the revision up to which events are no longer kept.
	compacted int64
	// changed is closed and replaced when the records change or a snapshot is restored.
	changed chan struct{}
	// generation counts the restores. A watch ends when it changes.
	generation int
	// snapshots holds the snapshots by name.
	snapshots map[string]snapshot
	now       func() time.Time
	// staleSnapshot returns the name of the snapshot that reads are answered from; empty for the current data.
	staleSnapshot func() string
}

// snapshot is the content of the store at the time when the snapshot was saved.
type snapshot struct {
	revision int64
	records  map[string]record
	leases   map[int64]lease
}

func newState(now func() time.Time) *state {
	return &state{
		revision: 1, records: map[string]record{}, leases: map[int64]lease{}, lastLease: 1000,
		changed: make(chan struct{}), snapshots: map[string]snapshot{}, now: now, staleSnapshot: func() string { return "" },
	}
}

// expire ends the leases whose TTL has passed since they were granted or last renewed. The caller holds mu.
func (s *state) expire() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and the keys attached to it, all keys in one revision. It reports whether the lease existed. The
// caller holds mu.
func (s *state) endLease(id int64) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		if s.records[key].lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, key := range keys {
			s.remove(key)
		}
		s.notify()
	}
	return true
}

// put writes a key at the current revision and records the event. The caller holds mu.
func (s *state) put(key string, value []byte, leaseID int64) {
	r := s.records[key]
	if r.version == 0 {
		r.createRevision = s.revision
	}
	r.key, r.value, r.lease, r.modRevision = key, value, leaseID, s.revision
	r.version++
	s.records[key] = r
	s.events = append(s.events, event{record: r})
}

// remove deletes a key, if it exists, at the current revision and records the event. The caller holds mu.
func (s *state) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.events = append(s.events, event{record{key: key, modRevision: s.revision}, true})
}

// notify drops the oldest events beyond maxHistoryEvents and wakes the watches. The caller holds mu.
func (s *state) notify() {
	if excess := len(s.events) - maxHistoryEvents; excess > 0 {
		s.compacted = s.events[excess-1].record.modRevision
		s.events = slices.Clone(s.events[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// findRange returns the records in the range from key to end, exclusive, ordered by key. If end is empty, the range is the key
// alone; if it is one zero byte, the range is key and all keys after it. The caller holds mu.
func (s *state) findRange(key, end string) []record {
	if end == "" {
		if r, ok := s.records[key]; ok {
			return []record{r}
		}
		return nil
	}
	var found []record
	for _, k := range slices.Sorted(maps.Keys(s.records)) {
		if inRange(k, key, end) {
			found = append(found, s.records[k])
		}
	}
	return found
}

// inRange reports whether k is in the range from key to end, as described at findRange.
func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || strings.Compare(k, end) < 0)
}

// saveSnapshot stores a snapshot of the data under the name.
func (s *state) saveSnapshot(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.snapshots[name] = snapshot{s.revision, maps.Clone(s.records), maps.Clone(s.leases)}
}

// restoreSnapshot replaces the data, including its revision, by the snapshot with the name, and ends all watches. It reports
// whether the snapshot exists.
func (s *state) restoreSnapshot(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, ok := s.snapshots[name]
	if !ok {
		return false
	}
	s.revision, s.records, s.leases = saved.revision, maps.Clone(saved.records), maps.Clone(saved.leases)
	s.events, s.compacted = nil, saved.revision
	s.generation++
	s.notify()
	return true
}

// eventsSince returns the events from the revision from on, the store's revision, and the channel that is closed at the next
// change. It reports false if some of the events are no longer kept or the generation has changed.
func (s *state) eventsSince(from int64, generation int) ([]event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, _ := slices.BinarySearchFunc(s.events, from, func(e event, from int64) int { return int(e.record.modRevision - from) })
	ok := from > s.compacted && generation == s.generation
	return slices.Clone(s.events[i:]), s.revision, s.changed, ok
}
