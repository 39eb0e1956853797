package quarantiner

import (
	"slices"
	"time"
)

// maxSuspects bounds the table. It holds the suspects of a crash of all 24 upstreams of a large service with 170 slots
// each.
const maxSuspects = 4096

// entry is a request in the table. It is refused if it ran in at least Config.Crashes crashes, and a suspect otherwise.
type entry struct {
	key         string
	fingerprint uint64
	// crashIDs holds the ids of the crashes in which the request ran; at least one, at most maxCrashes.
	crashIDs []uint64
	// until is the time at which the refusal or the suspicion ends.
	until time.Duration
	// term is the longest time for which the entry was set to be valid. A request whose refusal has ended is a suspect
	// for that time.
	term time.Duration
}

// table holds the suspects and the refused requests, found by key and by fingerprint.
type table struct {
	byKey         map[string]*entry
	byFingerprint map[uint64]*entry
	// byAge holds all entries in the order in which they were added, for expiry and for the bound on the table.
	byAge []*entry
}

func newTable() table {
	return table{byKey: map[string]*entry{}, byFingerprint: map[uint64]*entry{}}
}

// find returns the entry that matches the request by key or by fingerprint, or nil. If two entries match, it returns
// the one with more crashes, or the match by key if both have the same number.
func (t *table) find(now time.Duration, key string, fingerprint uint64) *entry {
	var found *entry
	if key != "" {
		found = t.byKey[key]
	}
	if fingerprint != 0 {
		if e := t.byFingerprint[fingerprint]; e != nil && (found == nil || len(e.crashIDs) > len(found.crashIDs)) {
			found = e
		}
	}
	if found == nil || !found.updateValidity(now) {
		return nil
	}
	return found
}

// updateValidity turns an entry whose refusal has ended into a suspect for the time term, so that the next crash by the
// request happens in an isolated run. It reports whether the entry is valid afterwards, as a suspect or refused.
func (e *entry) updateValidity(now time.Duration) bool {
	if now >= e.until && len(e.crashIDs) > 1 {
		e.crashIDs = e.crashIDs[:1]
		e.until += e.term
	}
	return now < e.until
}

// add merges a suspect into the table.
func (t *table) add(now time.Duration, s Suspect) {
	e := t.find(now, s.Key, s.Fingerprint)
	if e == nil {
		e = &entry{key: s.Key, fingerprint: s.Fingerprint}
		t.byAge = append(t.byAge, e)
	}
	if s.Key != "" {
		t.byKey[s.Key] = e
	}
	if s.Fingerprint != 0 {
		t.byFingerprint[s.Fingerprint] = e
	}
	for _, c := range s.Crashes {
		if len(e.crashIDs) < maxCrashes && !slices.Contains(e.crashIDs, c) {
			e.crashIDs = append(e.crashIDs, c)
		}
	}
	e.until, e.term = max(e.until, now+s.Remaining), max(e.term, s.Remaining)
	t.dropExcess()
}

// dropExcess removes an entry if the table has more than maxSuspects: the oldest one with fewer than maxCrashes
// crashes, or the oldest one if there is none.
func (t *table) dropExcess() {
	if len(t.byAge) <= maxSuspects {
		return
	}
	i := slices.IndexFunc(t.byAge, func(e *entry) bool { return len(e.crashIDs) < maxCrashes })
	e := t.byAge[max(i, 0)]
	t.remove(e)
}

func (t *table) remove(e *entry) {
	t.byAge = slices.DeleteFunc(t.byAge, func(o *entry) bool { return o == e })
	t.unindex(e)
}

// unindex removes the entry under every key and fingerprint.
func (t *table) unindex(e *entry) {
	for k, o := range t.byKey {
		if o == e {
			delete(t.byKey, k)
		}
	}
	for f, o := range t.byFingerprint {
		if o == e {
			delete(t.byFingerprint, f)
		}
	}
}

func (t *table) expire(now time.Duration) {
	t.byAge = slices.DeleteFunc(t.byAge, func(e *entry) bool {
		if e.updateValidity(now) {
			return false
		}
		t.unindex(e)
		return true
	})
}
