// Package suspecter finds requests that crash the upstreams which run them. When an upstream crashes, every request that
// ran there is a suspect; one that ran in too many crashes is refused, wherever it comes in.
package suspecter

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxCrashes is the number of crashes from which on a suspect is refused.
	maxCrashes = 3
	// keepTime is how long a suspicion lasts after the last crash.
	keepTime = 5 * time.Minute
	// maxSuspects bounds the suspects; the oldest are dropped first.
	maxSuspects = 8192
	// maxReported bounds the suspects of one report.
	maxReported = 2048
)

// Report tells other nodes which requests ran in an upstream that crashed.
type Report struct {
	// Crash identifies the crash, so that a report which comes over several ways counts once.
	Crash uint64 `cbor:"1,keyasint"`
	// Fingerprints are those of the requests.
	Fingerprints []uint64 `cbor:"2,keyasint"`
	// Cleared are those of requests that ran to their end at the sender, though they ran in crashes.
	Cleared []uint64 `cbor:"3,keyasint,omitempty"`
}

// Check reports whether the report is well formed.
func (r Report) Check() error {
	if n := max(len(r.Fingerprints), len(r.Cleared)); n > maxReported {
		return errors.Errorf("crash report: %d requests: allowed are %d", n, maxReported)
	}
	return nil
}

// Suspecter holds the suspects. It is not safe for concurrent use.
type Suspecter struct {
	suspects map[uint64]*suspect
	order    []uint64
}

type suspect struct {
	crashes []uint64
	last    time.Duration
}

// Crash takes a report, the own ones included.
func (s *Suspecter) Crash(now time.Duration, r Report) {
	for _, f := range r.Fingerprints {
		s.add(now, f, r.Crash)
	}
	for _, f := range r.Cleared {
		s.Clear(f)
	}
}

func (s *Suspecter) add(now time.Duration, f, crash uint64) {
	if s.suspects == nil {
		s.suspects = make(map[uint64]*suspect)
	}
	e := s.suspects[f]
	if e == nil {
		if len(s.order) >= maxSuspects {
			delete(s.suspects, s.order[0])
			s.order = s.order[1:]
		}
		e = &suspect{}
		s.suspects[f] = e
		s.order = append(s.order, f)
	}
	for _, known := range e.crashes {
		if known == crash {
			return
		}
	}
	e.crashes = append(e.crashes, crash)
	e.last = now
}

// Clear takes the news that a request has run to its end: it does not crash its upstream. It reports whether other nodes
// should hear of it, because one more crash beside it, or none, would make them refuse the request. Several upstreams that
// end together for another reason make a suspect of every request that is sent often.
func (s *Suspecter) Clear(f uint64) bool {
	e := s.suspects[f]
	if e == nil {
		return false
	}
	near := len(e.crashes) >= maxCrashes-1
	e.crashes = e.crashes[:0]
	return near
}

// Refuses reports whether a request is refused.
func (s *Suspecter) Refuses(now time.Duration, f uint64) bool {
	return s.Crashes(now, f) >= maxCrashes
}

// Crashes returns the number of crashes in which a request ran.
func (s *Suspecter) Crashes(now time.Duration, f uint64) int {
	e := s.suspects[f]
	if e == nil || now-e.last >= keepTime {
		return 0
	}
	return len(e.crashes)
}
