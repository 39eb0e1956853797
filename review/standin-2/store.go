package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one entry of the store. Value is base64 text, as it came.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"createdAt"`
	Lease     int64  `json:"lease"`
}

// event is one change: an item as it was written, or a tombstone.
type event struct {
	item
	tombstone bool
}

// MarshalJSON writes an event as PROTOCOL.md shows it.
func (e event) MarshalJSON() ([]byte, error) {
	if e.tombstone {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "tombstone": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	// down is true while the store refuses all calls (503).
	down atomic.Bool

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	nextID   int64
	items    map[string]item
	leases   map[int64]*lease
	history  []event
}

// startStore serves the store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), changed: make(chan struct{}), revision: 1, nextID: 1,
		items: make(map[string]item), leases: make(map[int64]*lease),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hornbeamcroft/kv-key", s.getKey)
	mux.HandleFunc("GET /hornbeamcroft/kv-range", s.getRange)
	mux.HandleFunc("GET /hornbeamcroft/kv-watch", s.watch)
	mux.HandleFunc("POST /hornbeamcroft/kv-txn", s.txn)
	mux.HandleFunc("POST /hornbeamcroft/kv-lease", s.grant)
	mux.HandleFunc("POST /hornbeamcroft/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /hornbeamcroft/kv-lease-end/{id}", s.endLease)
	handler := func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }()
	go s.expire()
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item. The caller holds s.mu and has raised the revision.
func (s *store) put(key, value string, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, Lease: leaseID}
	s.items[key] = it
	s.history = append(s.history, event{item: it})
}

// remove deletes an item. The caller holds s.mu and has raised the revision.
func (s *store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, tombstone: true})
}

// Put writes an item as the operator does.
func (s *store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"asOf": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": list, "hasMore": false, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
			if s.down.Load() {
				reply(w, http.StatusServiceUnavailable, map[string]any{})
				return
			}
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, p := range t.Precondition {
		holds = holds && s.items[p.Key].Revision == p.Revision
		if it, ok := s.items[p.Key]; ok {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "asOf": s.revision})
		return
	}
	for _, wr := range t.Writes {
		if wr.Lease != 0 && s.leases[wr.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, wr := range t.Writes {
		s.put(wr.Key, wr.Value, wr.Lease)
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&g)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(g.TTLMs) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": g.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
	reply(w, http.StatusOK, map[string]any{})
}

// end ends a lease and removes its keys. The caller holds s.mu.
func (s *store) end(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	for now := range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}
