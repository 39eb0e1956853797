package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the boot of the machine, suspended time included.
func sinceBoot() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
