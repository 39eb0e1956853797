package scheduler

import (
	"math"
	"time"

	"hornbeamcroft"
)

const (
	// levelWindow is the time between two changes of the admission level.
	levelWindow = 100 * time.Millisecond
	// targetUse is the demand, as a share of the limit, that is admitted while nothing waits. It is above 1: a host is full
	// before calls move to others, and only a backlog shows that they find no room there.
	targetUse = 1.05
	// drainTime is the time in which a backlog is to be worked off. A lasting overload is so held at a wait of
	// (targetUse - 1) x drainTime, 25 ms.
	drainTime = 500 * time.Millisecond
	// offeredGain smooths the demand over a few windows.
	offeredGain = 0.3
	// slotUnit is the number of units of a reported demand in a slot.
	slotUnit = 100
	// maxIdleWindows bounds the work after a long time without calls.
	maxIdleWindows = 100
)

// level computes the admission level of the upstream: how much of the demand of each importance it can take. Each call
// that arrives stands for the requests that were refused where it entered, so that the demand is known while most of it
// is refused.
type level struct {
	start time.Duration
	ready bool
	// arrived is the number of requests that the arrivals of the window stand for.
	arrived [hornbeamcroft.ImportanceCount]float64
	// hold is the smoothed slot time in seconds of a call.
	hold [hornbeamcroft.ImportanceCount]float64
	// offered is the demand and room what the upstream can take of it, in slots.
	offered [hornbeamcroft.ImportanceCount]float64
	room    float64
}

func (l *level) arrive(now time.Duration, s *Scheduler, t hornbeamcroft.Ticket) {
	l.advance(now, s)
	l.arrived[t.Importance] += math.Max(1, float64(t.Weight))
}

// finish learns the slot time of the calls of an importance.
func (l *level) finish(now time.Duration, s *Scheduler, i hornbeamcroft.Importance, held time.Duration) {
	l.advance(now, s)
	if l.hold[i] == 0 {
		l.hold[i] = held.Seconds()
		return
	}
	l.hold[i] += (held.Seconds() - l.hold[i]) * holdGain
}

// advance closes the windows that ended by now.
func (l *level) advance(now time.Duration, s *Scheduler) {
	if !l.ready {
		l.ready, l.start, l.room = true, now, float64(s.Limit())
	}
	for n := 0; now-l.start >= levelWindow; n++ {
		if n == maxIdleWindows {
			l.start = now
			return
		}
		l.closeWindow(s)
		l.start += levelWindow
	}
}

func (l *level) closeWindow(s *Scheduler) {
	for i := range l.offered {
		seen := l.arrived[i] * l.hold[i] / levelWindow.Seconds()
		l.offered[i] += (seen - l.offered[i]) * offeredGain
		l.arrived[i] = 0
	}
	backlog := float64(len(s.queue.entries)) * s.hold
	l.room = math.Max(0, float64(s.Limit())*targetUse-backlog/drainTime.Seconds())
}

// report adds the demand to a load.
func (l *level) report(load *hornbeamcroft.Load) {
	load.Room = int(l.room * slotUnit)
	load.Offered = make([]int, len(l.offered))
	for i, v := range l.offered {
		load.Offered[i] = int(v * slotUnit)
	}
}
