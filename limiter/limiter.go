// Package limiter adapts the number of calls that one upstream runs at once. It relies only on the service times and
// overload errors that the node observes itself, never on what a health or load endpoint reports.
package limiter

import (
	"math"
	"time"
)

const (
	// minWindowTime and minWindowSamples are the least that a window must span. The mean of a window with fewer samples
	// would follow noise.
	minWindowTime    = 100 * time.Millisecond
	minWindowSamples = 20
	// maxWindowTime is the age at which a window ends although it has fewer than minWindowSamples samples, so that a slow
	// upstream is noticed too.
	maxWindowTime = time.Second
	// tolerance is the ratio of the service time to its baseline up to which the limit is not lowered.
	tolerance = 2.0
	// minGradient is the smallest factor by which the service times of one window change the limit.
	minGradient = 0.5
	// overloadShare is the share of overload errors in a window above which the limit is lowered. A few calls time out
	// at any limit when service times vary.
	overloadShare = 0.1
	// overloadFactor is the factor by which a window with too many overload errors changes the limit.
	overloadFactor = 0.7
	// clearDecreaseFactor is the ratio of the limit to its value at the start of a series of decreases at or below
	// which the effect on the service time is checked.
	clearDecreaseFactor = 0.8
	// improvedFactor is the ratio of the service time after a clear decrease of the limit to that before it below which
	// the decrease counts as effective. Above it, the calls do not slow one another down, and the baseline moves
	// halfway to the current service time at once.
	improvedFactor = 0.9
	// minLimit is the lower bound of the limit, or the number of slots if that is smaller. At so low a limit, one call
	// more or less changes the throughput by a quarter, and a limit halved by noise wastes half of the upstream.
	// Overload errors can lower the limit further, to 1.
	minLimit = 4
	// minServiceTime is the smallest service time in seconds; it keeps ratios of service times defined.
	minServiceTime = 1e-6
	// baselineRiseTime is the time constant with which the baseline follows a lasting rise of the service time.
	baselineRiseTime = 60 * time.Second
	// medianStep is the relative change of the median estimate for each sample.
	medianStep = 0.05
	// medianHalfLife is the time in which the median estimate halves while no sample arrives. Calls that are refused
	// because of the estimate yield no samples, so without this decay an estimate from a slow phase would refuse all
	// calls for ever.
	medianHalfLife = time.Second
)

// Limiter holds the concurrency limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	// MaxLimit is the upper bound of the limit: the number of slots that the operators configured, at least 1.
	MaxLimit int

	limit float64
	// baseline is the long-term minimum of the smoothed window means, smoothedMean the smoothed window mean and
	// lastMean the mean of the last window, all in seconds.
	baseline, smoothedMean, lastMean float64
	// decreaseStartLimit and decreaseStartMean are the limit and the window mean at the start of the current series of
	// decreases. decreaseStartLimit is zero if there is none.
	decreaseStartLimit, decreaseStartMean float64
	// ignoreUntil is the time until which samples are left out of the windows after a clear decrease of the limit:
	// their calls began before it and do not show its effect.
	ignoreUntil time.Duration
	// median is the estimated median service time in seconds, at the time lastSample.
	median     float64
	lastSample time.Duration
	window     window
}

// window holds the samples since start.
type window struct {
	start time.Duration
	// sum is the sum in seconds of the service times without the calls to further services.
	sum        float64
	samples    int
	overloaded int
	// peakInFlight is the greatest number of calls in flight in the window.
	peakInFlight int
}

// Limit returns the number of calls that may run at once, 1 to MaxLimit.
func (l *Limiter) Limit() int {
	l.init()
	return min(max(int(l.limit), 1), max(l.MaxLimit, 1))
}

// lowerBound returns the lower bound of the limit while there are no overload errors.
func (l *Limiter) lowerBound() float64 { return float64(min(max(l.MaxLimit, 1), minLimit)) }

// init sets the initial limit on the first use.
func (l *Limiter) init() {
	if l.limit == 0 {
		// Starting at MaxLimit would set the baseline to a service time under contention.
		l.limit = math.Max(l.lowerBound(), math.Ceil(math.Sqrt(float64(max(l.MaxLimit, 1)))))
	}
}

// Add records a finished call: its service time, the part of it without calls to further services, and the number of
// calls in flight when it finished, itself included.
func (l *Limiter) Add(now, serviceTime, ownTime time.Duration, inFlight int) {
	l.init()
	l.addMedian(now, max(serviceTime.Seconds(), minServiceTime))
	s := max(ownTime.Seconds(), minServiceTime)
	if now < l.ignoreUntil {
		return
	}
	l.openWindow(now)
	l.window.sum += s
	l.window.samples++
	l.window.peakInFlight = max(l.window.peakInFlight, inFlight)
	l.closeWindowIfDue(now)
}

// AddOverload records an overload error: the upstream refused a call or did not answer it in time.
func (l *Limiter) AddOverload(now time.Duration, inFlight int) {
	l.init()
	l.openWindow(now)
	l.window.overloaded++
	l.window.peakInFlight = max(l.window.peakInFlight, inFlight)
	l.closeWindowIfDue(now)
}

// Median returns the estimated median service time, or zero if there is no sample yet.
func (l *Limiter) Median(now time.Duration) time.Duration {
	m := l.median
	if idle := now - l.lastSample; idle > medianHalfLife {
		m *= math.Exp2(1 - float64(idle)/float64(medianHalfLife))
	}
	return time.Duration(m * float64(time.Second))
}

// addMedian moves the median estimate by one step towards the service time s, in seconds.
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

// openWindow starts a new window at now if the current one is empty.
func (l *Limiter) openWindow(now time.Duration) {
	if l.window.samples+l.window.overloaded == 0 {
		l.window = window{start: now}
	}
}

// closeWindowIfDue adjusts the limit once the window spans enough time and samples, and starts a new window.
func (l *Limiter) closeWindowIfDue(now time.Duration) {
	age := now - l.window.start
	if age < minWindowTime || (l.window.samples+l.window.overloaded < minWindowSamples && age < maxWindowTime) {
		return
	}
	if l.window.samples > 0 {
		l.updateBaseline(l.window.sum/float64(l.window.samples), age)
	}
	l.adjustLimit()
	if l.clearlyDecreased() {
		l.ignoreUntil = now + time.Duration(l.smoothedMean*float64(time.Second))
	}
	l.window = window{start: now}
}

// updateBaseline updates the smoothed window mean and the baseline with the mean of a window that lasted for age.
func (l *Limiter) updateBaseline(mean float64, age time.Duration) {
	l.lastMean = mean
	if l.smoothedMean == 0 {
		l.smoothedMean, l.baseline = mean, mean
		return
	}
	l.smoothedMean += (mean - l.smoothedMean) / 2
	if l.smoothedMean < l.baseline {
		l.baseline = l.smoothedMean
		return
	}
	l.baseline += (l.smoothedMean - l.baseline) * math.Min(1, age.Seconds()/baselineRiseTime.Seconds())
}

// adjustLimit adjusts the limit to the overload errors or the service times of the current window.
func (l *Limiter) adjustLimit() {
	if float64(l.window.overloaded) > overloadShare*float64(l.window.samples+l.window.overloaded) {
		l.limit = math.Max(1, l.limit*overloadFactor)
		return
	}
	l.checkDecrease()
	gradient := 1.0
	if l.smoothedMean > tolerance*l.baseline {
		gradient = math.Max(minGradient, tolerance*l.baseline/l.smoothedMean)
	} else if float64(l.window.peakInFlight) < l.limit/2 {
		// A limit that the calls do not reach gives no evidence for a higher one.
		return
	}
	l.trackDecrease(gradient)
	// The square root lets a small limit grow. It also keeps the limit at 4 or above at minGradient: 0.5 x 4 + 2 = 4.
	l.limit = math.Min(float64(max(l.MaxLimit, 1)), math.Max(l.lowerBound(), l.limit*gradient+math.Sqrt(l.limit)))
}

// trackDecrease records where a series of decreases began, so that steps too small to check add up to a clear
// decrease.
func (l *Limiter) trackDecrease(gradient float64) {
	switch {
	case gradient == 1:
		l.decreaseStartLimit = 0
	case l.decreaseStartLimit == 0:
		l.decreaseStartLimit, l.decreaseStartMean = l.limit, l.lastMean
	}
}

// clearlyDecreased reports whether the current series of decreases has reached clearDecreaseFactor.
func (l *Limiter) clearlyDecreased() bool { return l.limit <= clearDecreaseFactor*l.decreaseStartLimit }

// checkDecrease raises the baseline if a clear decrease of the limit did not shorten the service time.
func (l *Limiter) checkDecrease() {
	if !l.clearlyDecreased() {
		return
	}
	if l.lastMean > improvedFactor*l.decreaseStartMean {
		l.baseline = math.Max(l.baseline, (l.baseline+l.lastMean)/2)
	}
	l.decreaseStartLimit = 0
}
