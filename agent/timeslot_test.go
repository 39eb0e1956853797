package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartGap simulates the watches of n nodes over two periods, from a start at which all begin a watch. The skew of a node's time of
// day may change with time. It returns the longest time without the restart of any watch, and fails the test if a watch
// lasts longer than the period and the least duration allow.
func restartGap(t *testing.T, n int, start time.Duration, skew func(rank int, at time.Duration) time.Duration) time.Duration {
	t.Helper()
	period := routesPeriod(n)
	var restarts []time.Duration
	for rank := range n {
		for at := start; at < start+3*period; {
			wait := untilTimeSlot(at+skew(rank, at), period, minWatch, rank, n)
			if wait < minWatch || wait > period+minWatch+period {
				t.Fatalf("%d nodes: a watch lasts %s", n, wait)
			}
			at += wait
			restarts = append(restarts, at)
		}
	}
	slices.Sort(restarts)
	longest, last := time.Duration(0), start+minWatch
	for _, restart := range restarts {
		if restart >= start+2*period {
			break
		}
		longest = max(longest, restart-last)
		last = restart
	}
	return longest
}

// TestTimeSlots guards against gaps of more than two intervals, plus 100 ms of clock skew, in which no node restarts its
// watch. All watches start at the same moment, as they do after a change, and a configuration that they miss stays
// unnoticed until a watch is restarted.
func TestTimeSlots(t *testing.T) {
	const maxSkew = 100 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 2, 13, 16, 60} {
		for range 200 {
			start := time.Duration(rnd.Int64N(int64(time.Hour)))
			gap := restartGap(t, n, start, func(int, time.Duration) time.Duration {
				return time.Duration(rnd.Int64N(int64(maxSkew)))
			})
			if gap > 2*routesRestartInterval+maxSkew {
				t.Fatalf("%d nodes: no watch is restarted for %s", n, gap)
			}
		}
	}
}

// TestClockStep guards against a node whose time of day jumps by 5 s, forward or backward, that leaves a gap of more than two
// intervals in which no node restarts its watch, or whose own watch lasts too long.
func TestClockStep(t *testing.T) {
	const step = 5 * time.Second
	rnd := rand.New(rand.NewPCG(2, 2))
	for _, n := range []int{2, 13, 60} {
		for range 200 {
			start := time.Duration(rnd.Int64N(int64(time.Hour))) + time.Minute
			stepped, steppedAt := rnd.IntN(n), start+time.Duration(rnd.Int64N(int64(routesPeriod(n))))
			jump := step
			if rnd.IntN(2) == 0 {
				jump = -step
			}
			gap := restartGap(t, n, start, func(rank int, at time.Duration) time.Duration {
				if rank == stepped && at >= steppedAt {
					return jump
				}
				return 0
			})
			if gap > 2*routesRestartInterval {
				t.Fatalf("%d nodes: no watch is restarted for %s", n, gap)
			}
		}
	}
}
