package admitter

import (
	"math"
	"time"

	"hornbeamcroft"
)

const (
	// windowTime is the time between two changes of the admission level.
	windowTime = 100 * time.Millisecond
	// relaxFactor and relaxStep raise the admitted share after a window without overload: the share is multiplied by
	// relaxFactor, and relaxStep is added.
	relaxFactor = 1.4
	relaxStep   = 0.01
	// drainMargin is the margin, as a share of the started calls, by which the level admits fewer calls than were
	// started, so that the queue drains.
	drainMargin = 0.05
	// minShare is the admitted share below which the level moves on to the next higher importance.
	minShare = 0.01
	// arrivalsDecay is the factor by which each window reduces the decayed number of arrivals; it halves the number
	// within 7 s.
	arrivalsDecay = 0.99
	// minArrivals is the decayed number of arrivals below which an importance counts as unused; one arrival counts for
	// 30 s.
	minArrivals = 0.05
	// maxIdleWindows bounds the number of windows processed after a long time without calls; by then the level admits
	// everything.
	maxIdleWindows = 300
)

// level is the admission level: requests below importance are shed, and of those at importance a share is admitted.
type level struct {
	importance hornbeamcroft.Importance
	// share is the admitted share of the requests at importance, 0 to 1.
	share float64
	// arrivals is the decayed number of arrivals by importance, including shed ones.
	arrivals [hornbeamcroft.ImportanceCount]float64
	// window counts the events of the current window.
	window      windowCounts
	initialized bool
}

// windowCounts counts the events of one window.
type windowCounts struct {
	startedAt time.Duration
	// arrived counts all arrivals by importance.
	arrived [hornbeamcroft.ImportanceCount]int
	// offered counts by importance the arrivals that the level admitted and whose deadline was long enough.
	offered [hornbeamcroft.ImportanceCount]int
	// started counts the calls that began to run.
	started int
	// dropped counts the calls that the level admitted and the queue displaced or expired.
	dropped int
}

// admissionLevel returns the admission level in the form that answers carry.
func (l *level) admissionLevel(service string) hornbeamcroft.AdmissionLevel {
	return hornbeamcroft.AdmissionLevel{
		Service: service, Importance: l.importance,
		Threshold: uint32(math.Round(l.share * hornbeamcroft.ThresholdAll)),
	}
}

// advance closes the windows that ended by now.
func (l *level) advance(now time.Duration) {
	if !l.initialized {
		l.initialized, l.share, l.window.startedAt = true, 1, now
	}
	for n := 0; now-l.window.startedAt >= windowTime; n++ {
		if n == maxIdleWindows {
			l.window = windowCounts{startedAt: now}
			return
		}
		l.closeWindow()
		l.window = windowCounts{startedAt: l.window.startedAt + windowTime}
	}
}

// closeWindow adjusts the admission level to the counts of the current window.
func (l *level) closeWindow() {
	for i, n := range l.window.arrived {
		l.arrivals[i] = l.arrivals[i]*arrivalsDecay + float64(n)
	}
	if l.window.dropped == 0 {
		l.relax()
		return
	}
	offered := 0
	for _, n := range l.window.offered {
		offered += n
	}
	l.tighten(float64(offered) - float64(l.window.started)*(1-drainMargin))
}

// relax admits more requests. After all requests at an importance are admitted, it continues with the next lower one.
// It skips an importance without recent arrivals at once, since a higher share there admits nothing.
func (l *level) relax() {
	for l.importance > 0 && l.arrivals[l.importance] < minArrivals {
		l.importance--
		l.share = 0
	}
	if l.share >= 1 && l.importance > 0 {
		l.importance--
		l.share = 0
	}
	l.share = math.Min(1, l.share*relaxFactor+relaxStep)
}

// tighten sheds the excess, a number of calls per window, beginning with the lowest importance. One window sheds at
// most one whole importance: the queue already prefers the important calls, and the counts of one window may contain
// a burst. Critical requests are never shed by the level, only by the queue.
func (l *level) tighten(excess float64) {
	if excess <= 0 || l.importance >= hornbeamcroft.ImportanceCritical {
		return
	}
	n := float64(l.window.offered[l.importance])
	if remaining := n - excess; n > 0 && remaining/n*l.share >= minShare {
		l.share *= remaining / n
		return
	}
	l.importance++
	l.share = 1
}
