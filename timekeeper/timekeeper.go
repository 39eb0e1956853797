// Package timekeeper provides a clock that also counts the time for which the machine was suspended. The monotonic clock of Go
// stands still then, so that what is seconds old would count as young after the machine resumes.
package timekeeper

import (
	"time"

	"hornbeamcroft"
)

// Timekeeper is a Clock. Its time never runs slower than the monotonic clock. Create it with New.
type Timekeeper struct {
	start time.Time
	// bootAtStart is the time since the boot of the machine, with suspended time, at start.
	bootAtStart time.Duration
}

var _ hornbeamcroft.Clock = Timekeeper{}

// New returns a clock that counts from now.
func New() Timekeeper {
	boot, _ := sinceBoot()
	return Timekeeper{start: time.Now(), bootAtStart: boot}
}

// Now implements hornbeamcroft.Clock. It returns the later of the monotonic clock and the time since boot.
func (t Timekeeper) Now() time.Duration {
	now := time.Since(t.start)
	if boot, ok := sinceBoot(); ok {
		now = max(now, boot-t.bootAtStart)
	}
	return now
}
