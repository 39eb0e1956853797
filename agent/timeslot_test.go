package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestTimeSlots guards against gaps of more than two intervals, plus 100 ms of clock skew, in which no node restarts its
// watch. All watches start at the same moment, as they do after a change, and a configuration that they miss stays
// unnoticed until a watch is restarted.
func TestTimeSlots(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 2, 13, 16, 60} {
		period := routesPeriod(n)
		for range 200 {
			start := time.Duration(rnd.Int64N(int64(time.Hour)))
			var restarts []time.Duration
			for rank := range n {
				skew := time.Duration(rnd.Int64N(int64(100 * time.Millisecond)))
				for at := start; at < start+3*period; {
					wait := untilTimeSlot(at+skew, period, minWatch, rank, n)
					if wait < minWatch || wait > period+minWatch+period {
						t.Fatalf("%d nodes: a watch lasts %s", n, wait)
					}
					at += wait
					restarts = append(restarts, at)
				}
			}
			slices.Sort(restarts)
			last := start + minWatch
			for _, restart := range restarts {
				if gap := restart - last; gap > 2*routesRestartInterval+100*time.Millisecond && restart < start+2*period {
					t.Fatalf("%d nodes: no watch is restarted for %s", n, gap)
				}
				last = restart
			}
		}
	}
}

// TestClockStep guards against a node whose time of day jumps by 5 s, forward or backward, whose watch lasts longer than two
// periods, or that leaves a gap of more than two intervals in which no node restarts its watch.
func TestClockStep(t *testing.T) {
	const step = 5 * time.Second
	rnd := rand.New(rand.NewPCG(2, 2))
	for _, n := range []int{2, 13, 60} {
		period := routesPeriod(n)
		for range 200 {
			start := time.Duration(rnd.Int64N(int64(time.Hour))) + time.Minute
			stepped, steppedAt := rnd.IntN(n), start+time.Duration(rnd.Int64N(int64(period)))
			skew := step
			if rnd.IntN(2) == 0 {
				skew = -step
			}
			var restarts []time.Duration
			for rank := range n {
				for at := start; at < start+3*period; {
					wall := at
					if rank == stepped && at >= steppedAt {
						wall += skew
					}
					wait := untilTimeSlot(wall, period, minWatch, rank, n)
					if wait < minWatch || wait > period+minWatch+period {
						t.Fatalf("%d nodes: a watch lasts %s", n, wait)
					}
					at += wait
					restarts = append(restarts, at)
				}
			}
			slices.Sort(restarts)
			last := start + minWatch
			for _, restart := range restarts {
				if gap := restart - last; gap > 2*routesRestartInterval && restart < start+2*period {
					t.Fatalf("%d nodes: no watch is restarted for %s", n, gap)
				}
				last = restart
			}
		}
	}
}
