package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxValue is the greatest size of a value in bytes.
const maxValue = 1 << 20

// historyEvents is the number of past events kept for watches that start at an older revision.
const historyEvents = 10_000

type record struct {
	key     string
	value   []byte
	created int64
	mod     int64
	version int64
	lease   int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	record  record
	deleted bool
}

// state is the key-value data with revisions, leases and the events for watches.
type state struct {
	mu        sync.Mutex
	revision  int64
	records   map[string]record
	leases    map[int64]lease
	nextLease int64
	events    []event
	compacted int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// generation rises when a copy is restored; watches of an earlier one end.
	generation int
	copies     map[string]snapshot
	now        func() time.Time
}

// snapshot is a saved copy of the data.
type snapshot struct {
	revision int64
	records  map[string]record
	leases   map[int64]lease
}

func newState(now func() time.Time) *state {
	return &state{
		revision: 1, records: map[string]record{}, leases: map[int64]lease{}, nextLease: 1000,
		changed: make(chan struct{}), copies: map[string]snapshot{}, now: now,
	}
}

// expire deletes the keys of leases that ended. The caller holds mu.
func (s *state) expire() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.revoke(id)
		}
	}
}

// revoke ends a lease. All its keys are deleted in one revision. The caller holds mu.
func (s *state) revoke(id int64) bool {
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

// put writes a key at the current revision. The caller holds mu.
func (s *state) put(key string, value []byte, leaseID int64) {
	r := s.records[key]
	if r.version == 0 {
		r.created = s.revision
	}
	r.key, r.value, r.lease, r.mod = key, value, leaseID, s.revision
	r.version++
	s.records[key] = r
	s.events = append(s.events, event{record: r})
}

// remove deletes a key at the current revision. The caller holds mu.
func (s *state) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.events = append(s.events, event{record{key: key, mod: s.revision}, true})
}

// notify wakes the watches. The caller holds mu.
func (s *state) notify() {
	if excess := len(s.events) - historyEvents; excess > 0 {
		s.compacted = s.events[excess-1].record.mod
		s.events = slices.Clone(s.events[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// find returns the records in the range from key to end, ordered by key. Without an end it is the single key; an end of
// one zero byte means all keys from key on.
func (s *state) find(key, end string) []record {
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

func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || strings.Compare(k, end) < 0)
}

// save keeps a copy of the data under a name.
func (s *state) save(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.copies[name] = snapshot{s.revision, maps.Clone(s.records), maps.Clone(s.leases)}
}

// restore replaces the data by a copy, with the copy's revision. All watches end.
func (s *state) restore(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.copies[name]
	if !ok {
		return false
	}
	s.revision, s.records, s.leases = c.revision, maps.Clone(c.records), maps.Clone(c.leases)
	s.events, s.compacted = nil, c.revision
	s.generation++
	s.notify()
	return true
}

// since returns the events from a revision on, with the channel that announces the next change. It reports false if the
// events were dropped or the data was replaced.
func (s *state) since(from int64, generation int) ([]event, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, _ := slices.BinarySearchFunc(s.events, from, func(e event, from int64) int { return int(e.record.mod - from) })
	ok := from > s.compacted && generation == s.generation
	return slices.Clone(s.events[i:]), s.revision, s.changed, ok
}
