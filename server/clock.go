package server

import "time"

// clock is the node's monotonic clock. It reads zero when Server.Run begins.
type clock struct {
	start time.Time
}

func newClock() clock { return clock{start: time.Now()} }

// Now returns the time since newClock was called.
func (c clock) Now() time.Duration { return time.Since(c.start) }
