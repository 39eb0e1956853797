package agent

import "time"

// untilTimeSlot returns the time until the next time slot of the node with the given rank, 0 to n-1, that is at least
// minWait away. Each of the n nodes has one slot in a period, and the slots are spread evenly over it. The slots are
// computed from the wall clock, on which the nodes roughly agree, so that they stay apart whenever the nodes call this
// function.
func untilTimeSlot(wallTime, period, minWait time.Duration, rank, n int) time.Duration {
	offset := period * time.Duration(rank) / time.Duration(n)
	wait := (offset - wallTime%period + period) % period
	if missing := minWait - wait; missing > 0 {
		wait += (missing + period - 1) / period * period
	}
	return wait
}
