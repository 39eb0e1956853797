package balancer

import (
	"math"
	"time"

	"hornbeamcroft"
)

const (
	// unknownLatency is assumed while no member has a sample.
	unknownLatency = time.Millisecond
	// leastLatency keeps the score above zero, so that calls in flight always count.
	leastLatency = 10 * time.Microsecond
	// latencyTime is the time constant of the smoothed latency.
	latencyTime = 2 * time.Second
	// latencyGain is the least weight of a sample, for upstreams that get many calls.
	latencyGain = 0.2
	// staleTime halves the distance of an idle member's latency from the mean. A member that was slow once would get no
	// calls, and so no samples, for ever.
	staleTime = 5 * time.Second
	// refusedTime is the time constant of the share of refusals.
	refusedTime = time.Second
	// refusedGain is the weight of one call in the share of refusals.
	refusedGain = 0.05
	// refusedPenalty is the factor by which a member that refuses everything scores worse.
	refusedPenalty = 10
	// leastWeight is the weight of an upstream that has just started.
	leastWeight = 0.05
)

// member is what the balancer knows about one upstream.
type member struct {
	hornbeamcroft.Member
	inFlight int
	// started is the time of the upstream's start by its own account.
	started time.Duration
	latency latency
	refused refusals
}

func (m *member) update(now time.Duration, u hornbeamcroft.Member) {
	if m.Incarnation != u.Incarnation || m.Name == "" {
		m.started = now - time.Duration(u.ColdFor)*time.Millisecond
	}
	m.Member = u
}

func (m *member) usable(exclude func(string) bool) bool {
	return m.State == hornbeamcroft.MemberServing && (exclude == nil || !exclude(m.Name))
}

// weight grows linearly from leastWeight to 1 over the time of the slow start.
func (m *member) weight(now, slow time.Duration) float64 {
	return math.Min(1, math.Max(leastWeight, float64(now-m.started)/float64(slow)))
}

// latency is a smoothed latency in seconds; zero without a sample.
type latency struct {
	value float64
	last  time.Duration
}

func (l *latency) add(now, took time.Duration) {
	s := math.Max(took.Seconds(), leastLatency.Seconds())
	if l.value == 0 {
		l.value, l.last = s, now
		return
	}
	gain := math.Max(latencyGain, 1-math.Exp(-float64(now-l.last)/float64(latencyTime)))
	l.value += (s - l.value) * gain
	l.last = now
}

// at returns the latency at now, which drifts towards the mean of the members while no sample arrives.
func (l *latency) at(now time.Duration, mean float64) float64 {
	if l.value == 0 {
		return mean
	}
	return mean + (l.value-mean)*math.Exp2(-float64(now-l.last)/float64(staleTime))
}

// refusals is the recent share of calls refused by admission, 0 to 1.
type refusals struct {
	share float64
	last  time.Duration
}

func (s *refusals) fade(now time.Duration) float64 {
	return math.Exp(-float64(now-s.last) / float64(refusedTime))
}

func (s *refusals) add(now time.Duration, refused float64) {
	s.share = s.share*s.fade(now)*(1-refusedGain) + refused*refusedGain
	s.last = now
}

func (s *refusals) factor(now time.Duration) float64 {
	return 1 + (refusedPenalty-1)*s.share*s.fade(now)
}
