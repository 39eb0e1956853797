package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// runSaturated adds the calls of an upstream that is used up to the limit, one every 2 ms, and returns the end of the
// time. The service time depends on the limit.
func runSaturated(l *Limiter, from, length time.Duration, serviceTime func(limit int) time.Duration) time.Duration {
	end := from + length
	for from < end {
		from += 2 * ms
		s := serviceTime(l.Limit())
		l.Add(from, s, s, l.Limit())
	}
	return end
}

// TestLimit guards against a limit that exceeds the slots, that ignores contention, or that stays low although a
// lower limit does not shorten the service time.
func TestLimit(t *testing.T) {
	constant := func(int) time.Duration { return 10 * ms }
	shared := func(limit int) time.Duration { return max(10*ms, time.Duration(limit)*ms) }
	slow := func(int) time.Duration { return 100 * ms }
	for _, c := range []struct {
		name               string
		then               func(int) time.Duration
		length             time.Duration
		minLimit, maxLimit int
	}{
		{"grows to the slots and not beyond", constant, 10 * time.Second, 100, 100},
		{"stays near the concurrency without contention", shared, 10 * time.Second, 10, 40},
		{"falls at first", slow, 250 * ms, 1, 60},
		{"rises again when the service time does not depend on it", slow, 20 * time.Second, 90, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := Limiter{MaxLimit: 100}
			is.Equal(l.Limit(), 10) // the square root of the slots
			now := runSaturated(&l, 0, 5*time.Second, constant)
			runSaturated(&l, now, c.length, c.then)
			is.True(l.Limit() >= c.minLimit && l.Limit() <= c.maxLimit)
		})
	}
}

// TestOverload guards against a limit that ignores refusals and timeouts, or that falls after a single one.
func TestOverload(t *testing.T) {
	is := is.New(t)
	l := Limiter{MaxLimit: 100}
	now := runSaturated(&l, 0, 5*time.Second, func(int) time.Duration { return 10 * ms })
	l.AddOverload(now, 100)
	now = runSaturated(&l, now, time.Second, func(int) time.Duration { return 10 * ms })
	is.Equal(l.Limit(), 100)
	for range 100 {
		now += 10 * ms
		l.AddOverload(now, 100)
	}
	is.True(l.Limit() < 50)
}

// TestMedian guards against calls that are refused for ever because of the median service time of a slow phase.
func TestMedian(t *testing.T) {
	is := is.New(t)
	l := Limiter{MaxLimit: 10}
	now := runSaturated(&l, 0, time.Second, func(int) time.Duration { return 800 * ms })
	is.True(l.Median(now) > 700*ms)
	is.True(l.Median(now+5*time.Second) < 60*ms)
}

func ExampleLimiter() {
	l := Limiter{MaxLimit: 100}
	for i := range 2000 {
		now := time.Duration(i) * ms
		l.Add(now, 15*ms, 10*ms, l.Limit())
	}
	fmt.Println(l.Limit())
	// Output: 100
}

func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	l := Limiter{MaxLimit: 170}
	now := time.Duration(0)
	for b.Loop() {
		now += ms
		l.Add(now, 10*ms, 10*ms, 100)
	}
}
