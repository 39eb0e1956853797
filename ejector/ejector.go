// Package ejector takes failing upstreams out of load balancing for a time (outlier ejection). It uses only the
// outcomes of the node's own calls, because health endpoints lag behind or report the wrong state.
package ejector

import (
	"math"
	"time"
)

const (
	// DefaultMaxShare is the maximum share of a service's upstreams that may be ejected at once.
	DefaultMaxShare = 1.0 / 3
	// ejectAfterFailures is the number of failures in a row after which an upstream is ejected.
	ejectAfterFailures = 5
	// minRateCalls is the minimum number of recent calls, weighted by age, from which an error rate is computed.
	minRateCalls = 20
	// An upstream is ejected if its error rate is above rateFactor times the rate of all other upstreams plus
	// rateMargin.
	rateFactor = 2
	rateMargin = 0.2
	// rateTimeConstant is the time constant of the exponential decay of old outcomes.
	rateTimeConstant = 10 * time.Second
	// baseEjectionTime is the duration of the first ejection. The duration doubles with each further ejection, up to
	// maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// levelDecayTime is the time, from the end of the last ejection, after which the duration of the next ejection halves. It
	// halves again each time levelDecayTime passes.
	levelDecayTime = time.Minute
)

// Ejector decides which upstreams of one service are ejected. It is not safe for concurrent use.
type Ejector struct {
	// MaxShare is the maximum share of ejected upstreams, from 0 to 1. Zero means DefaultMaxShare, a negative value
	// that no upstream is ejected.
	MaxShare float64

	upstreams map[string]*upstream
	ejected   int
}

// upstream holds the recent outcomes of calls to one upstream and the state of its ejection.
type upstream struct {
	failuresInRow int
	// calls and failed are the numbers of calls and of failures, weighted by age, at the time lastCall.
	calls, failed float64
	lastCall      time.Duration
	ejected       bool
	ejectedUntil  time.Duration
	// level is the number of ejections, less those that have decayed; it determines the duration of the next ejection.
	level int
}

// Update sets the names of the service's upstreams. It drops what is known about upstreams that are gone.
func (e *Ejector) Update(names []string) {
	if e.upstreams == nil {
		e.upstreams = make(map[string]*upstream, len(names))
	}
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
		if e.upstreams[name] == nil {
			e.upstreams[name] = &upstream{}
		}
	}
	for name := range e.upstreams {
		if !keep[name] {
			e.Reset(name)
			delete(e.upstreams, name)
		}
	}
	for e.ejected > e.maxEjected() {
		e.readmitNext()
	}
}

// readmitNext readmits the upstream whose ejection ends first. Update calls it when the service has lost upstreams and
// more than the maximum share of the rest are ejected.
func (e *Ejector) readmitNext() {
	var next *upstream
	for _, u := range e.upstreams {
		if u.ejected && (next == nil || u.ejectedUntil < next.ejectedUntil) {
			next = u
		}
	}
	e.ejected--
	next.readmit()
}

// Reset drops what is known about an upstream and readmits it, for example because it was restarted.
func (e *Ejector) Reset(name string) {
	u := e.upstreams[name]
	if u == nil {
		return
	}
	if u.ejected {
		e.ejected--
	}
	*u = upstream{}
}

// Record adds the outcome of a call to an upstream. Unknown names are ignored.
func (e *Ejector) Record(now time.Duration, name string, failed bool) {
	u := e.upstreams[name]
	if u == nil {
		return
	}
	u.add(now, failed)
	if u.ejected {
		e.recordTrial(now, u, failed)
		return
	}
	if failed && e.isOutlier(now, u) && e.ejected < e.maxEjected() {
		e.ejected++
		u.eject(now)
	}
}

// recordTrial handles the outcome of a call to an ejected upstream. Calls that began before the ejection may end during
// it; their outcomes do not change the ejection.
func (e *Ejector) recordTrial(now time.Duration, u *upstream, failed bool) {
	switch {
	case now < u.ejectedUntil:
	case failed:
		u.eject(now)
	default:
		e.ejected--
		u.readmit()
	}
}

// Ejected reports whether the ejection of the upstream lasts at now, so that it gets no calls.
func (e *Ejector) Ejected(now time.Duration, name string) bool {
	u := e.upstreams[name]
	return u != nil && u.ejected && now < u.ejectedUntil
}

// TrialDue reports whether the ejection time of the upstream has passed and one trial call should be sent to it.
func (e *Ejector) TrialDue(now time.Duration, name string) bool {
	u := e.upstreams[name]
	return u != nil && u.ejected && now >= u.ejectedUntil
}

// Count returns the number of ejected upstreams, including those for which a trial call is due or running.
func (e *Ejector) Count() int { return e.ejected }

// maxEjected returns the maximum number of upstreams that may be ejected at once.
func (e *Ejector) maxEjected() int {
	share := e.MaxShare
	if share == 0 {
		share = DefaultMaxShare
	}
	// Without the small addend, rounding could turn a third of 3 upstreams into 0.
	return int(math.Max(0, share)*float64(len(e.upstreams)) + 1e-9)
}

// isOutlier reports whether the upstream has failed ejectAfterFailures times in a row, or has an error rate far above that
// of the others.
func (e *Ejector) isOutlier(now time.Duration, u *upstream) bool {
	if u.failuresInRow >= ejectAfterFailures {
		return true
	}
	if u.calls < minRateCalls {
		return false
	}
	calls, failed := 0.0, 0.0
	for _, other := range e.upstreams {
		if other != u {
			f := other.decay(now)
			calls += other.calls * f
			failed += other.failed * f
		}
	}
	rate := 0.0
	if calls > 0 {
		rate = failed / calls
	}
	return u.failed/u.calls > rate*rateFactor+rateMargin
}

// decay returns the factor, 0 to 1, that the counts are multiplied by for the time since the last call.
func (u *upstream) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-u.lastCall) / float64(rateTimeConstant))
}

func (u *upstream) add(now time.Duration, failed bool) {
	f := u.decay(now)
	u.calls, u.failed, u.lastCall = u.calls*f+1, u.failed*f, now
	if !failed {
		u.failuresInRow = 0
		return
	}
	u.failed++
	u.failuresInRow++
}

// readmit ends an ejection and clears the counts, so that the failures before it do not count again.
func (u *upstream) readmit() {
	u.ejected, u.failuresInRow, u.calls, u.failed = false, 0, 0, 0
}

// eject starts an ejection, whose duration doubles with each level.
func (u *upstream) eject(now time.Duration) {
	if u.level > 0 {
		u.level = max(0, u.level-int(max(now-u.ejectedUntil, 0)/levelDecayTime))
	}
	d := baseEjectionTime
	for i := 0; i < u.level && d < maxEjectionTime; i++ {
		d *= 2
	}
	u.ejected, u.ejectedUntil = true, now+min(d, maxEjectionTime)
	u.level++
}
