package scheduler

import (
	"math"
	"time"

	"hornbeamcroft"
)

// maxPaceShare is the share of the time left until its objective or deadline that a call waits for the rate limit of the
// upstream if its sender can try another upstream.
const maxPaceShare = 0.25

// SetRateLimit sets the rate limit that the upstream states, if any.
func (s *Scheduler) SetRateLimit(now time.Duration, st hornbeamcroft.Statement) {
	if st.Limited {
		s.pacer.SetRate(now, st.RateLimit)
		return
	}
	s.pacer.Clear()
}

// maxPaceWait returns the longest time for which the call waits for the rate limit.
func maxPaceWait(now time.Duration, t hornbeamcroft.Ticket) time.Duration {
	end := t.Deadline
	if t.Last {
		return end - now
	}
	if t.Depth == 1 && t.Objective > now {
		end = min(end, t.Objective)
	}
	return time.Duration(maxPaceShare * float64(end-now))
}

// capacity returns the number of slots that calls of the service time can keep busy: at a rate limit, the rate times the
// service time.
func (s *Scheduler) capacity(serviceTime time.Duration) float64 {
	slots := float64(s.Limit())
	if rate, limited := s.pacer.Rate(); limited {
		return min(slots, rate*serviceTime.Seconds())
	}
	return slots
}

// smoothedServiceTime returns the smoothed service time of the calls that have ended.
func (s *Scheduler) smoothedServiceTime() time.Duration {
	return time.Duration(s.serviceSeconds * float64(time.Second))
}

// excessWaiting returns the number of waiting calls that show a lack of capacity. At a rate limit, one call may wait for the
// next token while the demand is below the limit.
func (s *Scheduler) excessWaiting() int {
	n := len(s.queue.entries)
	if _, limited := s.pacer.Rate(); limited {
		n = max(0, n-1)
	}
	return n
}

// freeSlots returns the number of slots in which further calls could start at once. It is zero at a rate limit, at which a free slot
// does not mean that a call may start.
func (s *Scheduler) freeSlots() int {
	if _, limited := s.pacer.Rate(); limited {
		return 0
	}
	return max(0, s.Limit()-s.busySlots())
}

// concurrency returns the number of calls that may run at once and the time for which a call holds a slot, as senders should
// see them. At a rate limit, their quotient is the rate.
func (s *Scheduler) concurrency(now time.Duration) (int, time.Duration) {
	serviceTime := s.serviceTime(now)
	rate, limited := s.pacer.Rate()
	if !limited {
		if s.samples < minSamples {
			serviceTime = 0
		}
		return s.Limit(), serviceTime
	}
	limit := max(1, int(math.Ceil(s.capacity(serviceTime))))
	return limit, max(serviceTime, time.Duration(float64(limit)/rate*float64(time.Second)))
}
