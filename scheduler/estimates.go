package scheduler

import (
	"math"
	"time"

	"hornbeamcroft"
)

// updateEstimates updates the failure ratio and, if the call did not fail, the smoothed service time.
func (s *Scheduler) updateEstimates(now time.Duration, sample hornbeamcroft.Sample) {
	if sample.Ignore {
		return
	}
	failed := 0.0
	if sample.Failed || sample.Overloaded {
		failed = 1
	}
	s.failureRatio = s.currentFailureRatio(now)
	s.failureRatio += (failed - s.failureRatio) * failureGain
	s.failureRatioAt = now
	if sample.ServiceTime <= 0 || failed > 0 {
		return
	}
	// Until minSamples, the estimate is the mean.
	s.samples = min(s.samples+1, minSamples)
	s.serviceSeconds += (sample.ServiceTime.Seconds() - s.serviceSeconds) / float64(s.samples)
	s.serviceTimeAt = now
}

// currentFailureRatio returns the failure ratio, decayed by the time since its last update.
func (s *Scheduler) currentFailureRatio(now time.Duration) float64 {
	return s.failureRatio * math.Exp2(-float64(now-s.failureRatioAt)/float64(failureHalfLife))
}

// serviceTime returns the time for which a call is expected to hold a slot. Calls that run for longer than earlier ones
// show that the upstream has become slow before the first of them ends; ageFactor accounts for that.
func (s *Scheduler) serviceTime(now time.Duration) time.Duration {
	seconds := s.serviceSeconds
	if n := s.busySlots(); n > 0 {
		age := (now - s.startSum/time.Duration(n)).Seconds()
		seconds = max(seconds, ageFactor*age)
	} else {
		seconds *= math.Exp2(-float64(now-s.serviceTimeAt) / float64(serviceTimeHalfLife))
	}
	return time.Duration(seconds * float64(time.Second))
}
