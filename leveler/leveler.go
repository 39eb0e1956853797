// Package leveler finds the admission level of a service: how much of the demand of each importance its upstreams can
// take together. Demand moves between upstreams, so that the level of one of them alone says little.
package leveler

import (
	"math"

	"hornbeamcroft"
)

// Leveler adds up what the upstreams of a service report. The zero value is ready for use; it is not safe for concurrent
// use.
type Leveler struct {
	room    int
	offered [hornbeamcroft.ImportanceCount]int
}

// Add takes the report of one upstream.
func (l *Leveler) Add(load hornbeamcroft.Load) {
	if !l.AddRoom(load) {
		return
	}
	for i, n := range load.Offered {
		l.offered[i] += n
	}
}

// AddRoom takes only the room of an upstream, without its demand. It reports whether the upstream says what it can take.
func (l *Leveler) AddRoom(load hornbeamcroft.Load) bool {
	if len(load.Offered) != len(l.offered) || load.Limit == 0 {
		return false
	}
	l.room += load.Room
	return true
}

// Pressure returns the most important level of which not all is admitted; what is less important is shed.
func (l *Leveler) Pressure(service string) hornbeamcroft.Pressure {
	room := l.room
	for i := hornbeamcroft.ImportanceCritical; ; i-- {
		if n := l.offered[i]; n > room {
			share := math.Max(0, float64(room)) / float64(n)
			return hornbeamcroft.Pressure{
				Service: service, Importance: i, Threshold: uint32(math.Round(share * hornbeamcroft.ThresholdAll)),
			}
		}
		room -= l.offered[i]
		if i == 0 {
			return hornbeamcroft.Pressure{Service: service, Threshold: hornbeamcroft.ThresholdAll}
		}
	}
}
