package balancer

import "time"

// Status is a snapshot of one upstream for metrics and the status page.
type Status struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	InFlight int    `json:"in-flight"`
	// Latency is the smoothed latency; the mean of the others while the upstream has no sample.
	Latency time.Duration `json:"latency-ns"`
	// Weight grows from 0.05 to 1 over the slow start.
	Weight float64 `json:"weight"`
	// Refused is the recent share of calls that the upstream's admission refused, 0 to 1.
	Refused float64 `json:"refused"`
	// Ejected is true while the upstream gets no calls but trials.
	Ejected bool `json:"ejected"`
}

// Status returns a snapshot of all upstreams at now, ordered by name.
func (b *Balancer) Status(now time.Duration) []Status {
	fallback := b.meanLatency()
	list := make([]Status, 0, len(b.members))
	for _, m := range b.members {
		list = append(list, Status{
			Name: m.Name, Zone: m.Zone, State: m.State.String(), InFlight: m.inFlight,
			Latency: time.Duration(m.latency.at(now, fallback) * float64(time.Second)),
			Weight:  m.weight(now, b.slowStart()),
			Refused: m.refused.share * m.refused.fade(now),
			Ejected: b.out(now, m),
		})
	}
	return list
}
