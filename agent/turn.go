package agent

import "time"

// untilTurn returns the time until the turn of one of n nodes, at least least. Each node has one turn in a period, and turns
// are spread evenly over it. The time of day, on which nodes agree roughly, keeps them apart whenever they ask.
func untilTurn(timeOfDay, period, least time.Duration, rank, n int) time.Duration {
	turn := period * time.Duration(rank) / time.Duration(n)
	wait := (turn - timeOfDay%period + period) % period
	if missing := least - wait; missing > 0 {
		wait += (missing + period - 1) / period * period
	}
	return wait
}
