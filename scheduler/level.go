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
	// shareGain follows the published share with the delay until senders apply it.
	shareGain = 0.4
	// leastKnownShare is the share admitted below which arrivals tell nothing about the demand; the last estimate then
	// fades by fadeFactor each window, so that senders are let in again.
	leastKnownShare = 0.05
	fadeFactor      = 0.97
	// maxIdleWindows bounds the work after a long time without calls.
	maxIdleWindows = 100
)

// level computes the admission level of the upstream: how much of the demand of each importance it can take. The demand
// is estimated from the calls that arrive and the share of requests that senders were told to admit.
type level struct {
	start time.Duration
	ready bool
	// arrived counts the arrivals of the window.
	arrived [hornbeamcroft.ImportanceCount]int
	// hold is the smoothed slot time in seconds of a call.
	hold [hornbeamcroft.ImportanceCount]float64
	// offered is the demand in slots, the requests included that senders did not admit.
	offered [hornbeamcroft.ImportanceCount]float64
	// share is admitted now, applied the share that arriving calls have passed.
	share, applied [hornbeamcroft.ImportanceCount]float64
}

func (l *level) arrive(now time.Duration, s *Scheduler, t hornbeamcroft.Ticket) {
	l.advance(now, s)
	l.arrived[t.Importance]++
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
		l.ready, l.start = true, now
		for i := range l.share {
			l.share[i], l.applied[i] = 1, 1
		}
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
		l.estimate(i)
		l.arrived[i] = 0
		l.applied[i] += (l.share[i] - l.applied[i]) * shareGain
	}
	backlog := float64(len(s.queue.entries)) * s.hold
	room := float64(s.Limit())*targetUse - backlog/drainTime.Seconds()
	for i := len(l.offered) - 1; i >= 0; i-- {
		l.share[i] = 1
		if l.offered[i] > room {
			l.share[i] = math.Max(0, room/l.offered[i])
		}
		room = math.Max(0, room-l.offered[i])
	}
}

// estimate updates the demand of an importance by the arrivals of the window.
func (l *level) estimate(i int) {
	if l.applied[i] < leastKnownShare {
		l.offered[i] *= fadeFactor
		return
	}
	seen := float64(l.arrived[i]) * l.hold[i] / levelWindow.Seconds() / l.applied[i]
	l.offered[i] += (seen - l.offered[i]) * offeredGain
}

// pressure returns the most important level of which not all is admitted; what is less important is shed.
func (l *level) pressure(service string) hornbeamcroft.Pressure {
	for i := hornbeamcroft.ImportanceCritical; ; i-- {
		if share := l.share[i]; l.ready && share < 1 {
			return hornbeamcroft.Pressure{
				Service: service, Importance: i, Threshold: uint32(math.Round(share * hornbeamcroft.ThresholdAll)),
			}
		}
		if i == 0 {
			return hornbeamcroft.Pressure{Service: service, Threshold: hornbeamcroft.ThresholdAll}
		}
	}
}
