// Package suspecter identifies requests that crash the upstreams which run them. When an upstream crashes, every
// request that was running there becomes a suspect. A request that was running in maxCrashes crashes is refused,
// whichever node it enters at. Nodes exchange what they know when a link opens, so that a node that has started knows
// the suspects too.
package suspecter

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxCrashes is the number of crashes at which a suspect is refused.
	maxCrashes = 3
	// suspicionTTL is how long a suspicion lasts after the last crash.
	suspicionTTL = 5 * time.Minute
	// maxSuspects bounds the number of suspects; the earliest added are dropped first.
	maxSuspects = 8192
	// maxReportEntries bounds each list of fingerprints in a report.
	maxReportEntries = 2048
	// maxCrashIDs bounds the crash ids that are kept of one suspect, in each of the two lists. A request that runs often
	// may be present in many crashes that it did not cause.
	maxCrashIDs = 8
)

// Report tells other nodes which requests were running in an upstream that crashed, and which suspects are cleared.
type Report struct {
	// Crash identifies the crash, so that a report that arrives over several paths counts once.
	Crash uint64 `cbor:"1,keyasint"`
	// Fingerprints are those of the requests that were running in the crashed upstream.
	Fingerprints []uint64 `cbor:"2,keyasint"`
	// Cleared are the fingerprints of suspects that have run to their end at the sender of the report.
	Cleared []uint64 `cbor:"3,keyasint,omitempty"`
}

// Check reports whether the report is well formed.
func (r Report) Check() error {
	if n := max(len(r.Fingerprints), len(r.Cleared)); n > maxReportEntries {
		return errors.Errorf("crash report: %d requests exceed the limit of %d", n, maxReportEntries)
	}
	return nil
}

// Suspecter holds the suspects by fingerprint. It is not safe for concurrent use.
type Suspecter struct {
	suspects map[uint64]*suspicion
	// insertionOrder holds the fingerprints of the suspects, the earliest added first.
	insertionOrder []uint64
}

// suspicion holds the ids of the crashes in which a request was running, and the time of the last one.
type suspicion struct {
	// crashes are the crashes that count. No id of cleared is among them.
	crashes []uint64
	// cleared are the crashes that the request did not cause: it has run to its end since. They are kept so that a
	// message sent by a node that does not know this yet does not make them count again.
	cleared   []uint64
	lastCrash time.Duration
}

// RecordCrash processes a crash report of this node or of another one.
func (s *Suspecter) RecordCrash(now time.Duration, r Report) {
	for _, fingerprint := range r.Fingerprints {
		s.entry(now, fingerprint).add(now, r.Crash)
	}
	for _, fingerprint := range r.Cleared {
		s.RecordCompletion(fingerprint)
	}
}

// entry returns the suspicion about a request. It is empty if there was none or the last crash is too long ago.
func (s *Suspecter) entry(now time.Duration, fingerprint uint64) *suspicion {
	if s.suspects == nil {
		s.suspects = make(map[uint64]*suspicion)
	}
	e := s.suspects[fingerprint]
	if e != nil {
		if e.expired(now) {
			*e = suspicion{lastCrash: e.lastCrash}
		}
		return e
	}
	if len(s.insertionOrder) >= maxSuspects {
		delete(s.suspects, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
	e = &suspicion{lastCrash: now - suspicionTTL}
	s.suspects[fingerprint] = e
	s.insertionOrder = append(s.insertionOrder, fingerprint)
	return e
}

func (e *suspicion) expired(now time.Duration) bool { return now-e.lastCrash >= suspicionTTL }

// learn updates the time of the last crash if the crash is not known yet, and reports whether that is so. A known crash does not change
// the time: the age in a message lacks the time of its transfer, so that each exchange would make the suspicion last longer.
func (e *suspicion) learn(at time.Duration, crash uint64) bool {
	if slices.Contains(e.crashes, crash) || slices.Contains(e.cleared, crash) {
		return false
	}
	e.lastCrash = max(e.lastCrash, at)
	return true
}

// add records a crash that happened at the given time. A known crash changes nothing.
func (e *suspicion) add(at time.Duration, crash uint64) {
	if e.learn(at, crash) {
		e.crashes = appendBounded(e.crashes, crash)
	}
}

// clear records that the request did not cause a crash that happened at the given time.
func (e *suspicion) clear(at time.Duration, crash uint64) {
	e.learn(at, crash)
	e.crashes = slices.DeleteFunc(e.crashes, func(id uint64) bool { return id == crash })
	if !slices.Contains(e.cleared, crash) {
		e.cleared = appendBounded(e.cleared, crash)
	}
}

// appendBounded appends a crash id and drops the first one if there are more than maxCrashIDs.
func appendBounded(ids []uint64, id uint64) []uint64 {
	if len(ids) >= maxCrashIDs {
		ids = slices.Delete(ids, 0, 1)
	}
	return append(ids, id)
}

// RecordCompletion records that a request has run to its end and thus does not crash its upstream. It reports whether other nodes
// should be told, because the request has reached maxCrashes or is one crash short of it, so that they refuse it or
// soon would. Clearing is needed because several upstreams that end together for another reason make a suspect of every
// request that is sent often.
func (s *Suspecter) RecordCompletion(fingerprint uint64) bool {
	e := s.suspects[fingerprint]
	if e == nil {
		return false
	}
	worthReporting := len(e.crashes) >= maxCrashes-1
	for _, crash := range slices.Clone(e.crashes) {
		e.clear(e.lastCrash, crash)
	}
	return worthReporting
}

// Refuses reports whether a request is refused.
func (s *Suspecter) Refuses(now time.Duration, fingerprint uint64) bool {
	return s.Crashes(now, fingerprint) >= maxCrashes
}

// Crashes returns the number of crashes in which a request was running; zero once suspicionTTL has passed since the
// last one.
func (s *Suspecter) Crashes(now time.Duration, fingerprint uint64) int {
	e := s.suspects[fingerprint]
	if e == nil || e.expired(now) {
		return 0
	}
	return len(e.crashes)
}
