//go:build !linux

package timekeeper

import "time"

// sinceBoot reports that the system has no such clock; the monotonic clock is used alone.
func sinceBoot() (time.Duration, bool) { return 0, false }
