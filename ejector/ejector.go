// Package ejector keeps upstreams that fail out of the choice. It judges by the outcomes of the node's own calls only;
// health endpoints lag or mislead.
package ejector

import (
	"math"
	"time"
)

const (
	// DefaultMaxShare is the greatest share of a service's upstreams that may be ejected at once.
	DefaultMaxShare = 1.0 / 3
	// consecutiveFailures in a row eject an upstream.
	consecutiveFailures = 5
	// rateSamples is the least number of recent calls by which an error rate is judged.
	rateSamples = 20
	// An upstream is ejected if its error rate exceeds rateFactor times that of the others by rateMargin.
	rateFactor = 2
	rateMargin = 0.2
	// rateTime is the time constant with which old outcomes lose weight.
	rateTime = 10 * time.Second
	// baseTime is the first ejection time; it doubles with each further ejection up to maxTime.
	baseTime = 5 * time.Second
	maxTime  = 5 * time.Minute
	// forgiveTime without an ejection halves the next ejection time.
	forgiveTime = time.Minute
)

// Ejector watches the upstreams of one service. It is not safe for concurrent use.
type Ejector struct {
	// MaxShare bounds the share of ejected upstreams, 0 to 1; DefaultMaxShare if zero, negative for none.
	MaxShare float64

	entries map[string]*entry
	ejected int
}

type entry struct {
	consecutive    int
	calls, failed  float64
	last           time.Duration
	ejected        bool
	until, started time.Duration
	// level is the number of ejections that are not yet forgiven.
	level int
}

// Update sets the names of the service's upstreams.
func (e *Ejector) Update(names []string) {
	if e.entries == nil {
		e.entries = make(map[string]*entry, len(names))
	}
	keep := make(map[string]bool, len(names))
	for _, name := range names {
		keep[name] = true
		if e.entries[name] == nil {
			e.entries[name] = &entry{}
		}
	}
	for name := range e.entries {
		if !keep[name] {
			e.Reset(name)
			delete(e.entries, name)
		}
	}
	for e.ejected > e.limit() {
		e.readmit()
	}
}

// readmit ends the ejection that ends next, when the service has lost upstreams and more than the cap are ejected.
func (e *Ejector) readmit() {
	var next *entry
	for _, u := range e.entries {
		if u.ejected && (next == nil || u.until < next.until) {
			next = u
		}
	}
	e.ejected--
	next.serve()
}

// Reset forgets what is known about an upstream, for example because it was restarted.
func (e *Ejector) Reset(name string) {
	u := e.entries[name]
	if u == nil {
		return
	}
	if u.ejected {
		e.ejected--
	}
	*u = entry{}
}

// Record adds the outcome of a call to an upstream.
func (e *Ejector) Record(now time.Duration, name string, failed bool) {
	u := e.entries[name]
	if u == nil {
		return
	}
	u.add(now, failed)
	if u.ejected {
		e.judgeTrial(now, u, failed)
		return
	}
	if failed && e.outlier(now, u) && e.ejected < e.limit() {
		e.ejected++
		u.eject(now)
	}
}

// judgeTrial handles an outcome of an ejected upstream. Calls that began before the ejection may end during it; they
// do not count.
func (e *Ejector) judgeTrial(now time.Duration, u *entry, failed bool) {
	switch {
	case now < u.until:
	case failed:
		u.eject(now)
	default:
		e.ejected--
		u.serve()
	}
}

// Ejected reports whether the upstream is kept out of the choice at now.
func (e *Ejector) Ejected(now time.Duration, name string) bool {
	u := e.entries[name]
	return u != nil && u.ejected && now < u.until
}

// Trial reports whether the upstream's ejection time has passed and one call should try it.
func (e *Ejector) Trial(now time.Duration, name string) bool {
	u := e.entries[name]
	return u != nil && u.ejected && now >= u.until
}

// Count returns the number of ejected upstreams, those on trial included.
func (e *Ejector) Count() int { return e.ejected }

func (e *Ejector) limit() int {
	share := e.MaxShare
	if share == 0 {
		share = DefaultMaxShare
	}
	// The small addend keeps a third of 3 at 1 in floating point.
	return int(math.Max(0, share)*float64(len(e.entries)) + 1e-9)
}

// outlier reports whether the upstream fails in a row or far more often than the others.
func (e *Ejector) outlier(now time.Duration, u *entry) bool {
	if u.consecutive >= consecutiveFailures {
		return true
	}
	if u.calls < rateSamples {
		return false
	}
	calls, failed := 0.0, 0.0
	for _, other := range e.entries {
		if other != u {
			f := other.fade(now)
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

// fade returns the weight that the counts have left at now.
func (u *entry) fade(now time.Duration) float64 {
	return math.Exp(-float64(now-u.last) / float64(rateTime))
}

func (u *entry) add(now time.Duration, failed bool) {
	f := u.fade(now)
	u.calls, u.failed, u.last = u.calls*f+1, u.failed*f, now
	if !failed {
		u.consecutive = 0
		return
	}
	u.failed++
	u.consecutive++
}

// serve ends an ejection; the failures before it do not count again.
func (u *entry) serve() {
	u.ejected, u.consecutive, u.calls, u.failed = false, 0, 0, 0
}

func (u *entry) eject(now time.Duration) {
	if u.level > 0 {
		u.level = max(0, u.level-int((now-u.started)/forgiveTime))
	}
	d := baseTime
	for i := 0; i < u.level && d < maxTime; i++ {
		d *= 2
	}
	u.ejected, u.started, u.until = true, now, now+min(d, maxTime)
	u.level++
}
