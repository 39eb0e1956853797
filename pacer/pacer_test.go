package pacer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// window is the time over which the tests count calls.
const window = 4 * time.Second

// mostInWindow returns the largest number of the times within any window.
func mostInWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRateExceededByBursts guards against more calls in a window than the rate allows after idle times and new rates.
func TestRateExceededByBursts(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(seed, 0))
		var p Pacer
		highest := 1 + rnd.Float64()*60
		p.SetRate(0, highest)
		var taken []time.Duration
		for now := time.Duration(0); now < time.Minute; now += time.Duration(rnd.IntN(int(20 * time.Millisecond))) {
			switch rnd.IntN(400) {
			case 0:
				now += time.Duration(rnd.IntN(int(3 * time.Second)))
			case 1:
				p.SetRate(now, rnd.Float64()*highest)
			}
			if p.Take(now) {
				taken = append(taken, now)
			}
		}
		is.True(float64(mostInWindow(taken)) <= highest*window.Seconds()*1.5+5)
	}
}

// TestLimitOfZero guards against a limit of zero whose end is never noticed, and against one that is not kept.
func TestLimitOfZero(t *testing.T) {
	is := is.New(t)
	var p Pacer
	p.SetRate(0, 0)
	var taken []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		if p.Take(now) {
			taken = append(taken, now)
		}
	}
	is.True(len(taken) >= 10)
	is.True(mostInWindow(taken) <= 5)
	p.Clear()
	for range 100 {
		is.True(p.Take(time.Minute))
	}
}

// TestWait guards against a wait that does not lead to the token it promises.
func TestWait(t *testing.T) {
	is := is.New(t)
	var p Pacer
	is.Equal(p.Wait(0, 5), time.Duration(0))
	p.SetRate(0, 10)
	is.Equal(p.Wait(0, 0), 100*time.Millisecond)
	is.Equal(p.Wait(0, 2), 300*time.Millisecond)
	is.True(!p.Take(50 * time.Millisecond))
	is.True(p.Take(100 * time.Millisecond))
}
