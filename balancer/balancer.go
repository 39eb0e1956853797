// Package balancer picks an upstream of one service for each call, from the latencies, failures and refusals that the
// node observed itself.
package balancer

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/ejector"
)

var _ hornbeamcroft.Balancer = (*Balancer)(nil)

// DefaultSlowStart is the time after its start over which the weight of an upstream grows to 1.
const DefaultSlowStart = 10 * time.Second

// Balancer compares two random upstreams in the node's own zone and two in other zones, and takes the better of each
// pair. Of the two that remain, it prefers the one in the node's zone unless the other one's score is lower by more
// than the delay between zones. It is not safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of the node.
	Zone string
	// ZoneDelay is the one-way delay between zones.
	ZoneDelay time.Duration
	// SlowStart is the time after its start over which the weight of an upstream grows to 1; zero means
	// DefaultSlowStart.
	SlowStart time.Duration
	// Ejector takes failing upstreams out of the choice.
	Ejector ejector.Ejector

	// members is sorted by name, so that with the same observations a pick depends only on the random source.
	members []*member
	byName  map[string]*member
	// local and remote are the candidates of the current pick: those in the node's zone and those in other zones.
	local, remote []*member
}

// Update sets the live members of the service. It clears the latency and the failures of a member that has restarted.
func (b *Balancer) Update(now time.Duration, members []hornbeamcroft.Member) {
	old := b.byName
	b.byName = make(map[string]*member, len(members))
	b.members = b.members[:0]
	names := make([]string, 0, len(members))
	for _, m := range members {
		state := old[m.Name]
		if state == nil {
			state = &member{}
		} else if state.Incarnation != m.Incarnation {
			state.latency = latency{}
			b.Ejector.Reset(m.Name)
		}
		state.update(now, m)
		b.byName[m.Name] = state
		b.members = append(b.members, state)
		names = append(names, m.Name)
	}
	slices.SortFunc(b.members, func(x, y *member) int { return strings.Compare(x.Name, y.Name) })
	b.Ejector.Update(names)
}

// Pick returns the name of a member, or false if no member can get the call.
func (b *Balancer) Pick(now time.Duration, r hornbeamcroft.Rand, exclude func(name string) bool) (string, bool) {
	if m := b.trialMember(now, exclude); m != nil {
		return m.Name, true
	}
	b.collectCandidates(now, exclude, false)
	if len(b.local)+len(b.remote) == 0 {
		// Calls go to ejected upstreams rather than to none.
		b.collectCandidates(now, exclude, true)
	}
	fallback := b.meanLatency()
	local, localScore := b.betterOfTwo(now, r, b.local, fallback)
	remote, remoteScore := b.betterOfTwo(now, r, b.remote, fallback)
	switch {
	case local == nil && remote == nil:
		return "", false
	case remote == nil || (local != nil && localScore <= remoteScore+b.ZoneDelay.Seconds()):
		return local.Name, true
	}
	return remote.Name, true
}

// trialMember returns a member whose ejection time has passed and that has no calls in flight, or nil. The next call is
// its trial call.
func (b *Balancer) trialMember(now time.Duration, exclude func(string) bool) *member {
	if b.Ejector.Count() == 0 {
		return nil
	}
	for _, m := range b.members {
		if m.usable(exclude) && m.inFlight == 0 && b.Ejector.TrialDue(now, m.Name) {
			return m
		}
	}
	return nil
}

// collectCandidates sets local and remote to the usable members. Ejected members are included only if ejected is true.
func (b *Balancer) collectCandidates(now time.Duration, exclude func(string) bool, ejected bool) {
	b.local, b.remote = b.local[:0], b.remote[:0]
	for _, m := range b.members {
		if !m.usable(exclude) || (!ejected && b.isEjected(now, m)) {
			continue
		}
		if m.Zone == b.Zone {
			b.local = append(b.local, m)
		} else {
			b.remote = append(b.remote, m)
		}
	}
}

// isEjected reports whether the member gets no calls except a trial call.
func (b *Balancer) isEjected(now time.Duration, m *member) bool {
	return b.Ejector.Count() > 0 && (b.Ejector.Ejected(now, m.Name) || b.Ejector.TrialDue(now, m.Name))
}

// betterOfTwo returns the one of two random members with the lower score, and the score in seconds. It returns nil if
// ms is empty.
func (b *Balancer) betterOfTwo(now time.Duration, r hornbeamcroft.Rand, ms []*member, fallback float64) (*member, float64) {
	if len(ms) == 0 {
		return nil, 0
	}
	i := r.IntN(len(ms))
	m, score := ms[i], b.score(now, ms[i], fallback)
	if len(ms) == 1 {
		return m, score
	}
	j := r.IntN(len(ms) - 1)
	if j >= i {
		j++
	}
	if other := b.score(now, ms[j], fallback); other < score {
		return ms[j], other
	}
	return m, score
}

// score estimates the latency of the next call to the member in seconds: the smoothed latency times the number of calls
// in flight, increased by recent refusals and during slow start. Lower is better.
func (b *Balancer) score(now time.Duration, m *member, fallback float64) float64 {
	return float64(m.inFlight+1) * m.latency.at(now, fallback) * m.refusals.scoreFactor(now) / m.weight(now, b.slowStart())
}

func (b *Balancer) slowStart() time.Duration {
	if b.SlowStart <= 0 {
		return DefaultSlowStart
	}
	return b.SlowStart
}

// meanLatency returns the mean latency in seconds of the members that have samples. It stands in for the latency of
// members without samples.
func (b *Balancer) meanLatency() float64 {
	sum, n := 0.0, 0
	for _, m := range b.members {
		if m.latency.value > 0 {
			sum += m.latency.value
			n++
		}
	}
	if n == 0 {
		return unknownLatency.Seconds()
	}
	return sum / float64(n)
}

// Start records that a call to the member has begun.
func (b *Balancer) Start(_ time.Duration, name string) {
	if m := b.byName[name]; m != nil {
		m.inFlight++
	}
}

// Finish records the outcome of a call that Start recorded.
func (b *Balancer) Finish(now time.Duration, name string, took time.Duration, o hornbeamcroft.Outcome) {
	m := b.byName[name]
	if m == nil {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	switch o {
	case hornbeamcroft.OutcomeSuccess:
		m.latency.add(now, took)
		m.refusals.add(now, 0)
		b.Ejector.Record(now, name, false)
	case hornbeamcroft.OutcomeFailure:
		// The sample is at least the smoothed latency, so that quick failures do not attract more calls.
		m.latency.add(now, max(took, time.Duration(m.latency.value*float64(time.Second))))
		b.Ejector.Record(now, name, true)
	case hornbeamcroft.OutcomeRefused:
		m.refusals.add(now, 1)
	}
}
