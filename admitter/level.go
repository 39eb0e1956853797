package admitter

import (
	"math"
	"time"

	"hornbeamcroft"
)

const (
	// levelWindow is the time between two changes of the admission level.
	levelWindow = 100 * time.Millisecond
	// relaxFactor and relaxStep raise the admitted share in a window without overload.
	relaxFactor = 1.4
	relaxStep   = 0.01
	// headroom is the share of the started calls by which the level undershoots them, so that the queue drains.
	headroom = 0.05
	// leastShare is the share below which the level passes on to the next importance.
	leastShare = 0.01
	// seenFactor fades the memory of arrivals with each window, to a half within 7 s.
	seenFactor = 0.99
	// leastSeen is the memory below which an importance counts as unused; one arrival is remembered for 30 s.
	leastSeen = 0.05
	// maxIdleWindows bounds the work after a long time without calls; the level is fully relaxed by then.
	maxIdleWindows = 300
)

// level is the admission level: requests below importance are shed, and of those at importance a share is admitted.
type level struct {
	importance hornbeamcroft.Importance
	// share is admitted at importance, 0 to 1.
	share float64
	// seen is the fading number of arrivals by importance, shed ones included.
	seen  [hornbeamcroft.ImportanceCount]float64
	w     levelCount
	ready bool
}

// levelCount counts what happened in one window.
type levelCount struct {
	start time.Duration
	// arrived counts all arrivals, by importance.
	arrived [hornbeamcroft.ImportanceCount]int
	// offered counts the arrivals that the level admitted, by importance.
	offered [hornbeamcroft.ImportanceCount]int
	// started counts the calls that began to run.
	started int
	// dropped counts the calls that the level admitted and the queue lost.
	dropped int
}

func (l *level) pressure(service string) hornbeamcroft.Pressure {
	return hornbeamcroft.Pressure{
		Service: service, Importance: l.importance,
		Threshold: uint32(math.Round(l.share * hornbeamcroft.ThresholdAll)),
	}
}

// advance closes the windows that ended by now.
func (l *level) advance(now time.Duration) {
	if !l.ready {
		l.ready, l.share, l.w.start = true, 1, now
	}
	for n := 0; now-l.w.start >= levelWindow; n++ {
		if n == maxIdleWindows {
			l.w = levelCount{start: now}
			return
		}
		l.closeWindow()
		l.w = levelCount{start: l.w.start + levelWindow}
	}
}

func (l *level) closeWindow() {
	for i, n := range l.w.arrived {
		l.seen[i] = l.seen[i]*seenFactor + float64(n)
	}
	if l.w.dropped == 0 {
		l.relax()
		return
	}
	offered := 0
	for _, n := range l.w.offered {
		offered += n
	}
	l.tighten(float64(offered) - float64(l.w.started)*(1-headroom))
}

// relax admits more; from a share of 1 it goes on with the next lower importance. An importance without calls is
// passed at once, since a step there admits nothing.
func (l *level) relax() {
	for l.importance > 0 && l.seen[l.importance] < leastSeen {
		l.importance--
		l.share = 0
	}
	if l.share >= 1 && l.importance > 0 {
		l.importance--
		l.share = 0
	}
	l.share = math.Min(1, l.share*relaxFactor+relaxStep)
}

// tighten sheds the excess, a number of calls in a window, from the least importance. One window passes at most one
// importance: the queue already prefers the important calls, and a count of one window may hold a burst. Critical
// requests are left to the queue.
func (l *level) tighten(excess float64) {
	if excess <= 0 || l.importance >= hornbeamcroft.ImportanceCritical {
		return
	}
	n := float64(l.w.offered[l.importance])
	if keep := n - excess; n > 0 && keep/n*l.share >= leastShare {
		l.share *= keep / n
		return
	}
	l.importance++
	l.share = 1
}
