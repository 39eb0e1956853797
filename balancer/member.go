package balancer

import (
	"math"
	"time"

	"hornbeamcroft"
)

const (
	// unknownLatency is the latency assumed while no member has a sample.
	unknownLatency = time.Millisecond
	// minLatency keeps the score above zero, so that the number of calls in flight always affects it.
	minLatency = 10 * time.Microsecond
	// latencyTimeConstant is the time constant of the exponentially smoothed latency.
	latencyTimeConstant = 2 * time.Second
	// minLatencyGain is the minimum weight of one sample in the smoothed latency. Without it, the samples of an
	// upstream that gets many calls would weigh next to nothing each.
	minLatencyGain = 0.2
	// idleHalfLife is the time in which the difference between an idle member's latency and the mean of the members
	// halves. Without this decay, a member that was slow once would get no calls and thus no samples that show its
	// recovery.
	idleHalfLife = 5 * time.Second
	// refusalTimeConstant is the time constant with which the share of refusals decays.
	refusalTimeConstant = time.Second
	// refusalGain is the weight of one call in the share of refusals.
	refusalGain = 0.05
	// refusalPenalty is the factor on the score of a member that refuses all calls. A lower score is better.
	refusalPenalty = 10
	// minWeight is the weight of an upstream that has just started.
	minWeight = 0.05
)

// member is the state that the balancer keeps of one upstream.
type member struct {
	hornbeamcroft.Member
	inFlight int
	// started is the time at which the upstream started, computed from the member's SinceStart.
	started  time.Duration
	latency  latency
	refusals refusals
}

// update replaces the member record, and sets the start time if the record is the first one or the member has
// restarted.
func (m *member) update(now time.Duration, u hornbeamcroft.Member) {
	if m.Incarnation != u.Incarnation || m.Name == "" {
		m.started = now - time.Duration(u.SinceStart)*time.Millisecond
	}
	m.Member = u
}

// usable reports whether the member serves and is not excluded by the caller of Pick.
func (m *member) usable(exclude func(string) bool) bool {
	return m.State == hornbeamcroft.MemberServing && (exclude == nil || !exclude(m.Name))
}

// weight returns a value that grows linearly from minWeight to 1 over the slow start.
func (m *member) weight(now, slow time.Duration) float64 {
	return math.Min(1, math.Max(minWeight, float64(now-m.started)/float64(slow)))
}

// latency is an exponentially smoothed latency in seconds; its value is zero while there is no sample.
type latency struct {
	value float64
	last  time.Duration
}

func (l *latency) add(now, took time.Duration) {
	s := math.Max(took.Seconds(), minLatency.Seconds())
	if l.value == 0 {
		l.value, l.last = s, now
		return
	}
	gain := math.Max(minLatencyGain, 1-math.Exp(-float64(now-l.last)/float64(latencyTimeConstant)))
	l.value += (s - l.value) * gain
	l.last = now
}

// at returns the latency at now. While no sample arrives, it approaches the mean of the members.
func (l *latency) at(now time.Duration, mean float64) float64 {
	if l.value == 0 {
		return mean
	}
	return mean + (l.value-mean)*math.Exp2(-float64(now-l.last)/float64(idleHalfLife))
}

// refusals is the share, 0 to 1, of recent calls that the admission of the member refused.
type refusals struct {
	share float64
	last  time.Duration
}

// decay returns the factor, 0 to 1, that the share is multiplied by for the time since the last call.
func (r *refusals) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-r.last) / float64(refusalTimeConstant))
}

// add adds a call to the share; refused is 1 if the call was refused and 0 otherwise.
func (r *refusals) add(now time.Duration, refused float64) {
	r.share = r.share*r.decay(now)*(1-refusalGain) + refused*refusalGain
	r.last = now
}

// scoreFactor returns the factor on the score, from 1 without refusals to refusalPenalty if all calls are refused.
func (r *refusals) scoreFactor(now time.Duration) float64 {
	return 1 + (refusalPenalty-1)*r.share*r.decay(now)
}
