package suspecter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspects guards against a request that goes on crashing upstreams, and against refusing one that is sound.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	var s Suspecter
	for crash := range uint64(maxCrashes) {
		is.True(!s.Refuses(0, 7))
		s.Crash(0, Report{Crash: crash + 1, Fingerprints: []uint64{7, 8 + crash}})
		s.Crash(0, Report{Crash: crash + 1, Fingerprints: []uint64{7}}) // the same crash over another way
	}
	is.True(s.Refuses(0, 7))
	is.True(!s.Refuses(0, 8))
	is.True(!s.Refuses(keepTime, 7))
	is.True(s.Clear(7))
	is.True(!s.Refuses(0, 7))
}

// TestTogether guards against sound requests that are refused everywhere because several upstreams ended at the same time:
// a node at which one runs to its end clears it for all.
func TestTogether(t *testing.T) {
	is := is.New(t)
	var runs, idle Suspecter
	for crash := range uint64(maxCrashes) {
		r := Report{Crash: crash + 1, Fingerprints: []uint64{7}}
		runs.Crash(0, r)
		idle.Crash(0, r)
	}
	is.True(idle.Refuses(0, 7))
	is.True(runs.Clear(7))
	idle.Crash(0, Report{Cleared: []uint64{7}})
	is.True(!idle.Refuses(0, 7))
	is.True(!runs.Clear(7)) // nobody needs to hear it twice
}

// TestBound guards against suspects that grow without a bound.
func TestBound(t *testing.T) {
	is := is.New(t)
	var s Suspecter
	for f := range uint64(2 * maxSuspects) {
		s.Crash(time.Second, Report{Crash: 1, Fingerprints: []uint64{f}})
	}
	is.Equal(len(s.suspects), maxSuspects)
}
