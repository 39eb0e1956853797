package limiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// feed runs a full upstream for a time in which the service time depends on the limit.
func feed(l *Limiter, from, length time.Duration, service func(limit int) time.Duration) time.Duration {
	end := from + length
	for from < end {
		from += 2 * ms
		s := service(l.Limit())
		l.Add(from, s, s, l.Limit())
	}
	return end
}

// TestLimit guards against a limit that exceeds the slots, ignores contention, or stays low for a slowness that a lower
// limit does not cure.
func TestLimit(t *testing.T) {
	constant := func(int) time.Duration { return 10 * ms }
	shared := func(limit int) time.Duration { return max(10*ms, time.Duration(limit)*ms) }
	slow := func(int) time.Duration { return 100 * ms }
	for _, c := range []struct {
		name        string
		then        func(int) time.Duration
		length      time.Duration
		least, most int
	}{
		{"grows to the slots and not beyond", constant, 10 * time.Second, 100, 100},
		{"stays near the cores", shared, 10 * time.Second, 10, 40},
		{"falls at first", slow, 250 * ms, 1, 60},
		{"returns when the slowness does not depend on it", slow, 20 * time.Second, 90, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := Limiter{Ceiling: 100}
			is.Equal(l.Limit(), 10) // the square root of the slots
			now := feed(&l, 0, 5*time.Second, constant)
			feed(&l, now, c.length, c.then)
			is.True(l.Limit() >= c.least && l.Limit() <= c.most)
		})
	}
}

// TestOverload guards against a limit that ignores refusals and timeouts, or falls for a single one.
func TestOverload(t *testing.T) {
	is := is.New(t)
	l := Limiter{Ceiling: 100}
	now := feed(&l, 0, 5*time.Second, func(int) time.Duration { return 10 * ms })
	l.Overload(now, 100)
	now = feed(&l, now, time.Second, func(int) time.Duration { return 10 * ms })
	is.Equal(l.Limit(), 100)
	for range 100 {
		now += 10 * ms
		l.Overload(now, 100)
	}
	is.True(l.Limit() < 50)
}

// TestMedian guards against calls that are refused for ever because of the p50 of a slow phase.
func TestMedian(t *testing.T) {
	is := is.New(t)
	l := Limiter{Ceiling: 10}
	now := feed(&l, 0, time.Second, func(int) time.Duration { return 800 * ms })
	is.True(l.Median(now) > 700*ms)
	is.True(l.Median(now+5*time.Second) < 60*ms)
}

func ExampleLimiter() {
	l := Limiter{Ceiling: 100}
	for i := range 2000 {
		now := time.Duration(i) * ms
		l.Add(now, 15*ms, 10*ms, l.Limit())
	}
	fmt.Println(l.Limit())
	// Output: 100
}

func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	l := Limiter{Ceiling: 170}
	now := time.Duration(0)
	for b.Loop() {
		now += ms
		l.Add(now, 10*ms, 10*ms, 100)
	}
}
