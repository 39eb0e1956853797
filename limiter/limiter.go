// Package limiter adapts the number of calls that one upstream runs at once. It uses the service times and overload
// errors that the node observes itself, never what a health or load endpoint reports.
package limiter

import (
	"math"
	"time"
)

const (
	// windowTime and windowSamples are the least a window spans; a window of few samples follows noise.
	windowTime    = 100 * time.Millisecond
	windowSamples = 20
	// windowCap ends a window with fewer samples, so that a slow upstream is noticed too.
	windowCap = time.Second
	// tolerance is the rise of the service time over its long-term minimum that does not lower the limit.
	tolerance = 2.0
	// leastGradient bounds the decrease by one window.
	leastGradient = 0.5
	// overloadShare is the share of overload errors in a window from which the limit is lowered; a few calls time out
	// at any limit when service times vary.
	overloadShare = 0.1
	// overloadFactor is the decrease by one window of overload errors.
	overloadFactor = 0.7
	// clearDecrease is the least decrease of the limit by which its effect on the service time is judged.
	clearDecrease = 0.8
	// helpedFactor is the decrease of the service time that a lowered limit must bring. If it brings less, the calls are
	// not slowed by one another, and the long-term minimum moves to the present service time at once by half.
	helpedFactor = 0.9
	// leastTime is the least service time in seconds, so that ratios are defined.
	leastTime = 1e-6
	// riseTime is the time constant with which the long-term minimum follows a lasting rise of the service time.
	riseTime = 60 * time.Second
	// medianStep is the relative step of the median estimate for each sample.
	medianStep = 0.05
	// medianHalfLife halves the median when no sample arrives. Calls refused for it give no samples, so without decay an
	// estimate from a slow phase would refuse all calls for ever.
	medianHalfLife = time.Second
)

// Limiter holds the concurrency limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	// Ceiling is the number of slots that the operators configured; at least 1. The limit never exceeds it.
	Ceiling int

	limit float64
	// base is the long-term minimum of the window means, short the smoothed mean and mean that of the last window, all
	// in seconds.
	base, short, mean float64
	// markLimit and markMean are the limit and the window mean where the present series of decreases began; zero if there
	// is none.
	markLimit, markMean float64
	// settled is when the calls that began before that decrease have ended; samples before it do not show its effect.
	settled    time.Duration
	median     float64
	lastSample time.Duration
	w          window
}

type window struct {
	start      time.Duration
	sum        float64
	n          int
	overloaded int
	// peak is the greatest number of calls in flight seen in the window.
	peak int
}

// Limit returns the number of calls that may run at once, 1 to Ceiling.
func (l *Limiter) Limit() int {
	l.init()
	return min(max(int(l.limit), 1), max(l.Ceiling, 1))
}

func (l *Limiter) init() {
	if l.limit == 0 {
		// A start at the slots would take the service time under contention for the long-term minimum.
		l.limit = math.Ceil(math.Sqrt(float64(max(l.Ceiling, 1))))
	}
}

// Add records a finished call: its whole service time, the part of it without calls to further services, and the number
// of calls that were in flight with it.
func (l *Limiter) Add(now, whole, own time.Duration, inFlight int) {
	l.init()
	l.addMedian(now, max(whole.Seconds(), leastTime))
	s := max(own.Seconds(), leastTime)
	if now < l.settled {
		return
	}
	l.open(now)
	l.w.sum += s
	l.w.n++
	l.w.peak = max(l.w.peak, inFlight)
	l.closeWindow(now)
}

// Overload records an overload error: the upstream refused a call or did not answer it in time.
func (l *Limiter) Overload(now time.Duration, inFlight int) {
	l.init()
	l.open(now)
	l.w.overloaded++
	l.w.peak = max(l.w.peak, inFlight)
	l.closeWindow(now)
}

// Median returns the estimated p50 of the service time, zero if none is known.
func (l *Limiter) Median(now time.Duration) time.Duration {
	m := l.median
	if idle := now - l.lastSample; idle > medianHalfLife {
		m *= math.Exp2(1 - float64(idle)/float64(medianHalfLife))
	}
	return time.Duration(m * float64(time.Second))
}

func (l *Limiter) addMedian(now time.Duration, s float64) {
	m := l.Median(now).Seconds()
	switch {
	case m == 0:
		m = s
	case s > m:
		m *= 1 + medianStep
	case s < m:
		m /= 1 + medianStep
	}
	l.median, l.lastSample = m, now
}

func (l *Limiter) open(now time.Duration) {
	if l.w.n+l.w.overloaded == 0 {
		l.w = window{start: now}
	}
}

func (l *Limiter) closeWindow(now time.Duration) {
	age := now - l.w.start
	if age < windowTime || (l.w.n+l.w.overloaded < windowSamples && age < windowCap) {
		return
	}
	if l.w.n > 0 {
		l.learn(l.w.sum/float64(l.w.n), age)
	}
	l.adapt()
	if l.lowered() {
		l.settled = now + time.Duration(l.short*float64(time.Second))
	}
	l.w = window{start: now}
}

// learn updates the smoothed service time and its long-term minimum.
func (l *Limiter) learn(mean float64, age time.Duration) {
	l.mean = mean
	if l.short == 0 {
		l.short, l.base = mean, mean
		return
	}
	l.short += (mean - l.short) / 2
	if l.short < l.base {
		l.base = l.short
		return
	}
	l.base += (l.short - l.base) * math.Min(1, age.Seconds()/riseTime.Seconds())
}

func (l *Limiter) adapt() {
	if float64(l.w.overloaded) > overloadShare*float64(l.w.n+l.w.overloaded) {
		l.limit = math.Max(1, l.limit*overloadFactor)
		return
	}
	l.judge()
	gradient := 1.0
	if l.short > tolerance*l.base {
		gradient = math.Max(leastGradient, tolerance*l.base/l.short)
	} else if float64(l.w.peak) < l.limit/2 {
		// A limit that is not used says nothing about a higher one.
		return
	}
	l.mark(gradient)
	// The square root lets a small limit grow and keeps at least 4 calls in flight at the least gradient.
	l.limit = math.Min(float64(max(l.Ceiling, 1)), math.Max(1, l.limit*gradient+math.Sqrt(l.limit)))
}

// mark remembers where a series of decreases began. Steps of less than clearDecrease add up to a clear one.
func (l *Limiter) mark(gradient float64) {
	switch {
	case gradient == 1:
		l.markLimit = 0
	case l.markLimit == 0:
		l.markLimit, l.markMean = l.limit, l.mean
	}
}

// lowered reports whether the limit has clearly fallen in the present series of decreases.
func (l *Limiter) lowered() bool { return l.limit <= clearDecrease*l.markLimit }

// judge raises the long-term minimum if a clear decrease of the limit did not shorten the service time.
func (l *Limiter) judge() {
	if !l.lowered() {
		return
	}
	if l.mean > helpedFactor*l.markMean {
		l.base = math.Max(l.base, (l.base+l.mean)/2)
	}
	l.markLimit = 0
}
