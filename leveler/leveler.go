// Package leveler computes the admission level of a service: the share of the requests of each importance that its
// upstreams can run together. Demand moves between upstreams, so that the level of a single one says little about the
// service.
package leveler

import (
	"math"

	"hornbeamcroft"
)

// Leveler sums the load reports of the upstreams of a service. The zero value is ready for use; it is not safe for
// concurrent use.
type Leveler struct {
	// capacity is the demand that the upstreams can take, and demand the demand by importance, both in hundredths of a
	// slot.
	capacity int
	demand   [hornbeamcroft.ImportanceLevels]int
}

// Add adds the capacity and the demand that one upstream reported. A report without demand, or with a concurrency
// limit of zero, is ignored.
func (l *Leveler) Add(load hornbeamcroft.Load) {
	if !l.AddCapacity(load) {
		return
	}
	for i, n := range load.Demand {
		l.demand[i] += n
	}
}

// AddCapacity adds only the capacity of an upstream, without its demand. It reports whether the report states a
// capacity.
func (l *Leveler) AddCapacity(load hornbeamcroft.Load) bool {
	if len(load.Demand) == 0 || len(load.Demand) > len(l.demand) || load.Limit == 0 {
		return false
	}
	l.capacity += load.Capacity
	return true
}

// AdmissionLevel returns the admission level at the highest importance of which not all requests can be admitted; less
// important requests are shed. If the capacity suffices for all, the level admits everything.
func (l *Leveler) AdmissionLevel(service string) hornbeamcroft.AdmissionLevel {
	capacity := l.capacity
	for i := hornbeamcroft.Importance(hornbeamcroft.ImportanceLevels - 1); ; i-- {
		if n := l.demand[i]; n > capacity {
			share := math.Max(0, float64(capacity)) / float64(n)
			return hornbeamcroft.AdmissionLevel{
				Service: service, Importance: i, Threshold: uint32(math.Round(share * hornbeamcroft.ThresholdAll)),
			}
		}
		capacity -= l.demand[i]
		if i == 0 {
			return hornbeamcroft.AdmissionLevel{Service: service, Threshold: hornbeamcroft.ThresholdAll}
		}
	}
}
