package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"createdAt"`
	Lease     int64  `json:"lease"`
}

// event is a change of a key.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"createdAt,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with its lifetime and its end.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. It answers at once, keeps its whole history and loses nothing.
type store struct {
	address string

	mu     sync.Mutex
	items  map[string]item
	events []event
	leases map[int64]lease
	// revision and lastLease are the revision counter and the number of the last lease.
	revision, lastLease int64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// startStore serves a store on a free loopback port.
func startStore() *store {
	l := listen()
	s := &store{
		address: l.Addr().String(), items: map[string]item{}, leases: map[int64]lease{}, revision: 1,
		changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended. The caller must hold s.mu.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller must hold s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// remove deletes a key. The caller must hold s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(event{Key: key, Revision: s.revision, Tombstone: true})
}

// write sets a key. The caller must hold s.mu.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease}
	s.publish(event{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: lease})
}

// publish appends an event and wakes the watches. The caller must hold s.mu.
func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const base = "/hornbeamcroft/"
	path := strings.TrimPrefix(r.URL.Path, base)
	switch {
	case path == "kv-key":
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("key")]
		s.mu.Unlock()
		if !ok {
			respond(w, http.StatusNotFound, nil)
			return
		}
		respond(w, http.StatusOK, i)
	case path == "kv-range":
		s.list(w, r)
	case path == "kv-watch":
		s.watch(w, r)
	case path == "kv-txn":
		s.txn(w, r)
	case path == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		respond(w, http.StatusOK, struct{}{})
	default:
		respond(w, http.StatusNotFound, nil)
	}
}

// respond sends a status with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// list answers with all keys of a prefix in one page.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": asOf})
}

// watch answers with the changes after a revision as soon as there is one, or when the time that the client gives is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txn applies writes and deletes if all conditions hold.
func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []item{}
	for _, c := range in.Precondition {
		if i := s.items[c.Key]; i.Revision != c.Revision {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, e := range in.Writes {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			respond(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, e := range in.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// grant grants a lease.
func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TTLMs})
}

// keep renews a lease.
func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, nil)
		return
	}
	respond(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
