package balancer

import "time"

// Status is the state of one upstream for metrics and the status page.
type Status struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	InFlight int    `json:"in-flight"`
	// Latency is the smoothed latency; while the upstream has no sample, it is the mean of the others.
	Latency time.Duration `json:"latency-ns"`
	// Weight is the weight during slow start; it grows from 0.05 to 1.
	Weight float64 `json:"weight"`
	// Refused is the recent share of calls that the upstream's admission refused, 0 to 1.
	Refused float64 `json:"refused"`
	// Ejected is true while the upstream gets no calls except a trial call.
	Ejected bool `json:"ejected"`
}

// Status returns the state of all upstreams at now, ordered by name.
func (b *Balancer) Status(now time.Duration) []Status {
	fallback := b.meanLatency()
	list := make([]Status, 0, len(b.members))
	for _, m := range b.members {
		list = append(list, Status{
			Name: m.Name, Zone: m.Zone, State: m.State.String(), InFlight: m.inFlight,
			Latency: time.Duration(m.latency.at(now, fallback) * float64(time.Second)),
			Weight:  m.weight(now, b.slowStart()),
			Refused: m.refusals.share * m.refusals.decay(now),
			Ejected: b.isEjected(now, m),
		})
	}
	return list
}
