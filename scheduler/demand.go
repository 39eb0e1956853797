package scheduler

import (
	"math"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sharer"
)

const (
	// demandWindow is the length of the windows over which demand is measured. Demand and capacity are updated at the
	// end of each one.
	demandWindow = 100 * time.Millisecond
	// targetUtilization is the demand, as a share of the limit, that is admitted while no call waits. It is above 1
	// because a host fills up before senders place calls elsewhere, and only a backlog shows that the other hosts have
	// no capacity either.
	targetUtilization = 1.05
	// drainTime is the time within which the waiting calls are to be worked off, and free slots to be filled. It holds the wait in a
	// lasting overload at (targetUtilization - 1) x drainTime, which is 25 ms.
	drainTime = 500 * time.Millisecond
	// demandGain is the weight of one window in the smoothed demand, which thus averages over a few windows. For calls that take
	// longer than these, the weight is the window divided by the service time: with few calls in a few windows, the demand would vary
	// by more than the free slots, although the calls of one service time fit into the slots.
	demandGain = 0.3
	// unitsPerSlot is the number of units of reported demand per slot: Load reports hundredths of a slot.
	unitsPerSlot = 100
	// maxIdleWindows bounds the number of windows that are closed at once after a long time without calls.
	maxIdleWindows = 100
)

// demandEstimator estimates the demand of each importance and the capacity of the upstream, from which the admission
// level follows. Each arriving call is weighted with the number of requests that it stands for, including those refused
// at the ingress, so that the demand is known even while most of it is refused.
type demandEstimator struct {
	windowStart time.Duration
	started     bool
	// arrivedWeight is the number of requests that the arrivals of the current window stand for.
	arrivedWeight [hornbeamcroft.ImportanceLevels]float64
	// serviceSeconds is the smoothed time in seconds for which a call holds its slot.
	serviceSeconds [hornbeamcroft.ImportanceLevels]float64
	// demand is the smoothed demand and capacity the part of it that the upstream can take, both in slots.
	demand   [hornbeamcroft.ImportanceLevels]float64
	capacity float64
	// sharer finds the tenants that exceed their share.
	sharer sharer.Sharer
}

// arrive counts an arriving call with its weight.
func (e *demandEstimator) arrive(now time.Duration, s *Scheduler, t hornbeamcroft.Ticket) {
	e.advance(now, s)
	e.arrivedWeight[t.Importance] += math.Max(1, float64(t.Weight))
	e.sharer.Arrive(now, t.Tenant, t.Importance, t.TenantWeight, math.Max(1, float64(t.Weight)))
}

// finish updates the smoothed service time of calls of the importance.
func (e *demandEstimator) finish(now time.Duration, s *Scheduler, importance hornbeamcroft.Importance, serviceTime time.Duration) {
	e.advance(now, s)
	if e.serviceSeconds[importance] == 0 {
		e.serviceSeconds[importance] = serviceTime.Seconds()
		return
	}
	e.serviceSeconds[importance] += (serviceTime.Seconds() - e.serviceSeconds[importance]) * serviceTimeGain
}

// advance closes the windows that have ended by now.
func (e *demandEstimator) advance(now time.Duration, s *Scheduler) {
	if !e.started {
		e.started, e.windowStart, e.capacity = true, now, s.capacity(s.smoothedServiceTime())
	}
	for n := 0; now-e.windowStart >= demandWindow; n++ {
		if n == maxIdleWindows {
			e.windowStart = now
			return
		}
		e.closeWindow(s)
		e.windowStart += demandWindow
	}
}

// closeWindow updates the demand from the arrivals of the window, and the capacity from the backlog.
func (e *demandEstimator) closeWindow(s *Scheduler) {
	for i := range e.demand {
		windowDemand := e.arrivedWeight[i] * e.serviceSeconds[i] / demandWindow.Seconds()
		gain := min(demandGain, demandWindow.Seconds()/max(e.serviceSeconds[i], demandWindow.Seconds()))
		e.demand[i] += (windowDemand - e.demand[i]) * gain
		e.arrivedWeight[i] = 0
	}
	// Free slots count against the calls that wait at other upstreams: placement lets calls wait for a short time to stay in their
	// zone, and if they need seconds, a few of them would otherwise use up the capacity of the service.
	backlog := float64(s.excessWaiting()-s.freeSlots()) * s.serviceSeconds
	slots := s.capacity(s.smoothedServiceTime())
	e.capacity = math.Max(0, slots*targetUtilization-backlog/drainTime.Seconds())
	e.sharer.Close(sharer.Window{
		Now: e.windowStart + demandWindow, Length: demandWindow, Capacity: e.capacity,
		Demand: e.demand, ServiceSeconds: e.serviceSeconds,
	})
}

// report writes the demand and the capacity into the load.
func (e *demandEstimator) report(load *hornbeamcroft.Load) {
	load.Capacity = int(e.capacity * unitsPerSlot)
	load.Demand = make([]int, len(e.demand))
	used := hornbeamcroft.ImportanceCount
	for i, v := range e.demand {
		v = math.Max(0, v-e.sharer.Excess(hornbeamcroft.Importance(i)))
		if load.Demand[i] = int(v * unitsPerSlot); load.Demand[i] > 0 {
			used = max(used, hornbeamcroft.Importance(i+1))
		}
	}
	load.Demand = load.Demand[:used]
	load.Shares = slices.Clone(e.sharer.Shares())
}
