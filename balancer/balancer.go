// Package balancer picks an upstream of one service by the node's own observations.
package balancer

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/ejector"
)

var _ hornbeamcroft.Balancer = (*Balancer)(nil)

// DefaultSlowStart is the time over which the weight of a cold upstream grows.
const DefaultSlowStart = 10 * time.Second

// Balancer takes the better of two random upstreams in the own zone and of two in other zones, and prefers the own zone
// by the delay between zones. It is not safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of the node.
	Zone string
	// ZoneDelay is the one-way delay between zones.
	ZoneDelay time.Duration
	// SlowStart is the time over which the weight of a cold upstream grows; DefaultSlowStart if zero.
	SlowStart time.Duration
	// Ejector keeps failing upstreams out.
	Ejector ejector.Ejector

	// members is sorted by name, so that the choice depends on the random source only.
	members []*member
	byName  map[string]*member
	// local and remote are the candidates of the current pick.
	local, remote []*member
}

// Update sets the live members of the service.
func (b *Balancer) Update(now time.Duration, members []hornbeamcroft.Member) {
	old := b.byName
	b.byName = make(map[string]*member, len(members))
	b.members = b.members[:0]
	names := make([]string, 0, len(members))
	for _, m := range members {
		e := old[m.Name]
		if e == nil {
			e = &member{}
		} else if e.Incarnation != m.Incarnation {
			e.latency = latency{}
			b.Ejector.Reset(m.Name)
		}
		e.update(now, m)
		b.byName[m.Name] = e
		b.members = append(b.members, e)
		names = append(names, m.Name)
	}
	slices.SortFunc(b.members, func(x, y *member) int { return strings.Compare(x.Name, y.Name) })
	b.Ejector.Update(names)
}

// Pick returns the name of a member, or false if none can be used.
func (b *Balancer) Pick(now time.Duration, r hornbeamcroft.Rand, exclude func(name string) bool) (string, bool) {
	if m := b.trial(now, exclude); m != nil {
		return m.Name, true
	}
	b.collect(now, exclude, false)
	if len(b.local)+len(b.remote) == 0 {
		// An ejected upstream is better than none.
		b.collect(now, exclude, true)
	}
	fallback := b.meanLatency()
	local, ls := b.better(now, r, b.local, fallback)
	remote, rs := b.better(now, r, b.remote, fallback)
	switch {
	case local == nil && remote == nil:
		return "", false
	case remote == nil || (local != nil && ls <= rs+b.ZoneDelay.Seconds()):
		return local.Name, true
	}
	return remote.Name, true
}

// trial returns an upstream whose ejection has ended and that runs no trial call yet.
func (b *Balancer) trial(now time.Duration, exclude func(string) bool) *member {
	if b.Ejector.Count() == 0 {
		return nil
	}
	for _, m := range b.members {
		if m.usable(exclude) && m.inFlight == 0 && b.Ejector.Trial(now, m.Name) {
			return m
		}
	}
	return nil
}

func (b *Balancer) collect(now time.Duration, exclude func(string) bool, ejected bool) {
	b.local, b.remote = b.local[:0], b.remote[:0]
	for _, m := range b.members {
		if !m.usable(exclude) || (!ejected && b.out(now, m)) {
			continue
		}
		if m.Zone == b.Zone {
			b.local = append(b.local, m)
		} else {
			b.remote = append(b.remote, m)
		}
	}
}

func (b *Balancer) out(now time.Duration, m *member) bool {
	return b.Ejector.Count() > 0 && (b.Ejector.Ejected(now, m.Name) || b.Ejector.Trial(now, m.Name))
}

// better returns the one of two random candidates with the lower score, and the score in seconds.
func (b *Balancer) better(now time.Duration, r hornbeamcroft.Rand, ms []*member, fallback float64) (*member, float64) {
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

func (b *Balancer) score(now time.Duration, m *member, fallback float64) float64 {
	return float64(m.inFlight+1) * m.latency.at(now, fallback) * m.refused.factor(now) / m.weight(now, b.slowStart())
}

func (b *Balancer) slowStart() time.Duration {
	if b.SlowStart <= 0 {
		return DefaultSlowStart
	}
	return b.SlowStart
}

// meanLatency returns the mean over the members with samples, for those without.
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

// Start records that a call to the member begins.
func (b *Balancer) Start(_ time.Duration, name string) {
	if m := b.byName[name]; m != nil {
		m.inFlight++
	}
}

// Finish records the outcome of a call that was started.
func (b *Balancer) Finish(now time.Duration, name string, took time.Duration, o hornbeamcroft.Outcome) {
	m := b.byName[name]
	if m == nil {
		return
	}
	m.inFlight = max(0, m.inFlight-1)
	switch o {
	case hornbeamcroft.OutcomeSuccess:
		m.latency.add(now, took)
		m.refused.add(now, 0)
		b.Ejector.Record(now, name, false)
	case hornbeamcroft.OutcomeFailure:
		// A quick failure must not make the upstream look fast.
		m.latency.add(now, max(took, time.Duration(m.latency.value*float64(time.Second))))
		b.Ejector.Record(now, name, true)
	case hornbeamcroft.OutcomeRefused:
		m.refused.add(now, 1)
	}
}
