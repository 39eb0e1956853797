package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestTurns guards against times in which no node looks for a configuration that its watch has missed, after all watches
// began at the same moment.
func TestTurns(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{1, 2, 13, 16, 60} {
		period := routesPeriod(n)
		for range 200 {
			start := time.Duration(rnd.Int64N(int64(time.Hour)))
			var ends []time.Duration
			for rank := range n {
				skew := time.Duration(rnd.Int64N(int64(100 * time.Millisecond)))
				for at := start; at < start+3*period; {
					wait := untilTurn(at+skew, period, minWatch, rank, n)
					if wait < minWatch || wait > period+minWatch+period {
						t.Fatalf("%d nodes: a watch of %s", n, wait)
					}
					at += wait
					ends = append(ends, at)
				}
			}
			slices.Sort(ends)
			last := start + minWatch
			for _, end := range ends {
				if gap := end - last; gap > 2*routesCheck+100*time.Millisecond && end < start+2*period {
					t.Fatalf("%d nodes: none looks for %s", n, gap)
				}
				last = end
			}
		}
	}
}
