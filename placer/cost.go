package placer

import (
	"cmp"
	"time"
)

const (
	// A member costs nothing extra while serviceTimeMargin times its service time is at most serviceTimeShare times the
	// slack of the call: an answer that is earlier than needed is worth no more. Beyond that, the excess is the cost.
	serviceTimeShare  = 0.8
	serviceTimeMargin = 2
	// comparableFactor times the shortest service time of a candidate is the longest one that counts as equal to it. Upstreams smooth
	// their service times with a gain of 0.05. If the times of single calls vary by their mean, the standard deviation of the difference
	// of two smoothed times is 0.23 of it. Without the tolerance, calls of seconds wait at the upstream whose time is the shortest by
	// chance while others have free slots.
	comparableFactor = 1.25
	// The cost of an upstream that fails calls is a share of the slack: failingCostFactor times the share of failed calls
	// beyond toleratedFailureRatio, which requests that fail at every upstream can reach for a short time. With more than
	// 60 ms of slack, a share of failed calls of 0.12 thus outweighs the cost of another zone. maxFailingCost bounds the
	// cost, so that calls do not crowd at one of several upstreams that all fail often.
	toleratedFailureRatio = 0.08
	failingCostFactor     = 2.5
	maxFailingCost        = 0.5
	// minOnceSlack is the smallest slack that the failure cost assumes for a call which may run only once: no retry
	// can make up for its failure, however short its objective is.
	minOnceSlack = 500 * time.Millisecond
	// defaultServiceTime is the service time that is assumed for an upstream that has reported none.
	defaultServiceTime = 20 * time.Millisecond
)

// candidateCost is the cost of sending a call to a candidate: time is the estimated time that the call loses there, and
// utilization, which decides between equal times, the used share of the member's slots.
type candidateCost struct {
	time        time.Duration
	utilization float64
}

// less reports whether c is cheaper than other.
func (c candidateCost) less(other candidateCost) bool {
	if c.time != other.time {
		return c.time < other.time
	}
	return c.utilization < other.utilization
}

// costOf returns the cost of sending a call to the member.
func (m *member) costOf(now time.Duration, r Requirements) candidateCost {
	busy, limit := m.occupancy(now)
	return m.costAt(busy, limit, r)
}

// fastestOf returns the shortest service time that one of the members has reported, or defaultServiceTime if none has.
func fastestOf(lists ...[]*member) time.Duration {
	var fastest time.Duration
	for _, members := range lists {
		for _, m := range members {
			if t := m.load.ServiceTime; t > 0 && (fastest == 0 || t < fastest) {
				fastest = t
			}
		}
	}
	return cmp.Or(fastest, defaultServiceTime)
}

// serviceTime returns the service time that the member has reported. If it has reported nothing, one call goes there to learn it. Until
// that call ends, and while the member reports no service time, it counts as the fastest candidate: with a shorter time, a node that has
// just started would get all calls.
func (m *member) serviceTime(fastest time.Duration) time.Duration {
	switch {
	case m.load.ServiceTime > 0:
		return m.load.ServiceTime
	case m.outstanding > 0 || m.reportedAt > 0:
		return fastest
	}
	return defaultServiceTime
}

// comparedServiceTime returns the service time by which the member is compared with other candidates. Only calls longer than
// reportTTL have the tolerance of comparableFactor: a report that counts then shows mostly calls that still run, so that the free slots
// are known, while the free slots of shorter calls change faster than reports arrive.
func (m *member) comparedServiceTime(fastest time.Duration) time.Duration {
	t := m.serviceTime(fastest)
	if fastest > reportTTL && float64(t) <= comparableFactor*float64(fastest) {
		return fastest
	}
	return t
}

// costAt returns the cost of sending a call to the member while the given number of its slots is busy.
func (m *member) costAt(busy, limit int, r Requirements) candidateCost {
	delay := float64(queueDelay(busy, limit, m.serviceTime(r.fastest)))
	delay += max(0, serviceTimeMargin*float64(m.comparedServiceTime(r.fastest))-serviceTimeShare*float64(r.Slack))
	delay += m.failureCost(r)
	return candidateCost{time: time.Duration(delay), utilization: float64(busy) / float64(limit)}
}

// failureCost returns the cost in nanoseconds of the member's share of failed calls for a call.
func (m *member) failureCost(r Requirements) float64 {
	stake := r.Slack
	if r.Once {
		stake = max(stake, minOnceSlack)
	}
	share := max(0, float64(m.load.FailureRatio)/1000-toleratedFailureRatio)
	return min(share*failingCostFactor, maxFailingCost) * float64(stake)
}

// occupancy returns the number of calls that run or wait at the member, and the number that may run at once, which is
// at least 1.
func (m *member) occupancy(now time.Duration) (busy, limit int) {
	busy, limit = m.outstanding, m.Slots
	if m.reportedAt > 0 && now-m.reportedAt < reportTTL {
		busy = max(busy, m.load.Running+m.load.Waiting+m.sent)
		limit = m.load.Limit
	}
	return busy, max(limit, 1)
}

// queueDelay returns the expected time until a slot is free, given the busy calls, the limit and the time for which a
// call holds a slot.
func queueDelay(busy, limit int, serviceTime time.Duration) time.Duration {
	if busy < limit {
		return 0
	}
	return serviceTime * time.Duration(busy-limit+1) / time.Duration(limit)
}
