package timekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspended guards against a clock that leaves out the time for which the machine was suspended: the time since boot has
// advanced by a minute more than the monotonic clock.
func TestSuspended(t *testing.T) {
	is := is.New(t)
	k := New()
	before := k.Now()
	if _, ok := sinceBoot(); !ok {
		t.Skip("no clock that counts suspended time")
	}
	k.bootAtStart -= time.Minute
	is.True(k.Now()-before >= time.Minute)
}

// TestNeverSlower guards against a clock that runs behind the monotonic clock or goes back.
func TestNeverSlower(t *testing.T) {
	is := is.New(t)
	k, begin, last := New(), time.Now(), time.Duration(0)
	for range 1000 {
		elapsed := time.Since(begin)
		now := k.Now()
		is.True(now >= last)
		is.True(now >= elapsed)
		last = now
	}
}
