package server

import "time"

// clock is the process's monotonic clock.
type clock struct {
	start time.Time
}

func newClock() clock { return clock{start: time.Now()} }

// Now returns the time since the process started.
func (c clock) Now() time.Duration { return time.Since(c.start) }
