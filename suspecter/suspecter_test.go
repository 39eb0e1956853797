package suspecter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspects guards against a request that keeps crashing upstreams, and against refusing one that does not.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	var s Suspecter
	for crash := range uint64(maxCrashes) {
		is.True(!s.Refuses(0, 7))
		s.RecordCrash(0, Report{Crash: crash + 1, Fingerprints: []uint64{7, 8 + crash}})
		s.RecordCrash(0, Report{Crash: crash + 1, Fingerprints: []uint64{7}}) // the same crash, reported over another path
	}
	is.True(s.Refuses(0, 7))
	is.True(!s.Refuses(0, 8))
	is.True(!s.Refuses(suspicionTTL, 7))
	is.True(s.RecordCompletion(7))
	is.True(!s.Refuses(0, 7))
}

// TestTogether guards against refusing harmless requests everywhere because several upstreams ended at the same time: a
// node at which such a request runs to its end clears it for all nodes.
func TestTogether(t *testing.T) {
	is := is.New(t)
	var running, idle Suspecter
	for crash := range uint64(maxCrashes) {
		r := Report{Crash: crash + 1, Fingerprints: []uint64{7}}
		running.RecordCrash(0, r)
		idle.RecordCrash(0, r)
	}
	is.True(idle.Refuses(0, 7))
	is.True(running.RecordCompletion(7))
	idle.RecordCrash(0, Report{Cleared: []uint64{7}})
	is.True(!idle.Refuses(0, 7))
	is.True(!running.RecordCompletion(7)) // other nodes need to be told only once
}

// TestBound guards against an unbounded number of suspects.
func TestBound(t *testing.T) {
	is := is.New(t)
	var s Suspecter
	for f := range uint64(2 * maxSuspects) {
		s.RecordCrash(time.Second, Report{Crash: 1, Fingerprints: []uint64{f}})
	}
	is.Equal(len(s.suspects), maxSuspects)
}
