package quarantiner

import (
	"slices"
	"time"
)

// maxSuspects bounds the table: a crash of all 24 upstreams of a large service at 170 slots each.
const maxSuspects = 4096

type record struct {
	key         string
	fingerprint uint64
	crashes     []uint64
	until       time.Duration
	// lasts is the time that was set when until was set last.
	lasts time.Duration
}

// table finds records by key and by fingerprint.
type table struct {
	byKey         map[string]*record
	byFingerprint map[uint64]*record
	// oldest holds all records in the order of their arrival, for expiry and for the bound.
	oldest []*record
}

func newTable() table {
	return table{byKey: map[string]*record{}, byFingerprint: map[uint64]*record{}}
}

// find returns the record that matches the request, the one with more crashes first.
func (t *table) find(now time.Duration, key string, fingerprint uint64) *record {
	var found *record
	if key != "" {
		found = t.byKey[key]
	}
	if fingerprint != 0 {
		if r := t.byFingerprint[fingerprint]; r != nil && (found == nil || len(r.crashes) > len(found.crashes)) {
			found = r
		}
	}
	if found == nil || !found.current(now) {
		return nil
	}
	return found
}

// current reports whether the record still counts. At the end of a refusal the request becomes a suspect once more for
// as long, so that its next crash is an isolated one.
func (r *record) current(now time.Duration) bool {
	if now >= r.until && len(r.crashes) > 1 {
		r.crashes = r.crashes[:1]
		r.until += r.lasts
	}
	return now < r.until
}

// add merges a suspect into the table.
func (t *table) add(now time.Duration, s Suspect) {
	r := t.find(now, s.Key, s.Fingerprint)
	if r == nil {
		r = &record{key: s.Key, fingerprint: s.Fingerprint}
		t.oldest = append(t.oldest, r)
	}
	if s.Key != "" {
		t.byKey[s.Key] = r
	}
	if s.Fingerprint != 0 {
		t.byFingerprint[s.Fingerprint] = r
	}
	for _, c := range s.Crashes {
		if len(r.crashes) < maxCrashes && !slices.Contains(r.crashes, c) {
			r.crashes = append(r.crashes, c)
		}
	}
	r.until, r.lasts = max(r.until, now+s.Remaining), max(r.lasts, s.Remaining)
	t.bound()
}

// bound drops the oldest record with one crash, or the oldest of all.
func (t *table) bound() {
	if len(t.oldest) <= maxSuspects {
		return
	}
	i := slices.IndexFunc(t.oldest, func(r *record) bool { return len(r.crashes) < maxCrashes })
	r := t.oldest[max(i, 0)]
	t.drop(r)
}

func (t *table) drop(r *record) {
	t.oldest = slices.DeleteFunc(t.oldest, func(o *record) bool { return o == r })
	t.forget(r)
}

// forget removes the record under every key and fingerprint that leads to it.
func (t *table) forget(r *record) {
	for k, o := range t.byKey {
		if o == r {
			delete(t.byKey, k)
		}
	}
	for f, o := range t.byFingerprint {
		if o == r {
			delete(t.byFingerprint, f)
		}
	}
}

func (t *table) expire(now time.Duration) {
	t.oldest = slices.DeleteFunc(t.oldest, func(r *record) bool {
		if r.current(now) {
			return false
		}
		t.forget(r)
		return true
	})
}
