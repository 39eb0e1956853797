// Package suspecter identifies requests that crash the upstreams which run them. When an upstream crashes, every
// request that was running there becomes a suspect. A request that was running in maxCrashes crashes is refused,
// whichever node it enters at.
package suspecter

import (
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
	crashes   []uint64
	lastCrash time.Duration
}

// RecordCrash processes a crash report of this node or of another one.
func (s *Suspecter) RecordCrash(now time.Duration, r Report) {
	for _, fingerprint := range r.Fingerprints {
		s.add(now, fingerprint, r.Crash)
	}
	for _, fingerprint := range r.Cleared {
		s.RecordCompletion(fingerprint)
	}
}

// add records that a request was running in a crash.
func (s *Suspecter) add(now time.Duration, fingerprint, crash uint64) {
	if s.suspects == nil {
		s.suspects = make(map[uint64]*suspicion)
	}
	e := s.suspects[fingerprint]
	if e == nil {
		if len(s.insertionOrder) >= maxSuspects {
			delete(s.suspects, s.insertionOrder[0])
			s.insertionOrder = s.insertionOrder[1:]
		}
		e = &suspicion{}
		s.suspects[fingerprint] = e
		s.insertionOrder = append(s.insertionOrder, fingerprint)
	}
	for _, known := range e.crashes {
		if known == crash {
			return
		}
	}
	e.crashes = append(e.crashes, crash)
	e.lastCrash = now
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
	e.crashes = e.crashes[:0]
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
	if e == nil || now-e.lastCrash >= suspicionTTL {
		return 0
	}
	return len(e.crashes)
}
