package throttler

import (
	"time"

	"hornbeamcroft"
)

// viewTime is how long the level that a host reported counts.
const viewTime = 2 * time.Second

// view holds the levels that the hosts of one service reported to this node.
type view struct {
	hosts map[string]report
}

type report struct {
	pressure hornbeamcroft.Pressure
	at       time.Duration
}

func (v *view) take(now time.Duration, host string, p hornbeamcroft.Pressure) {
	if v.hosts == nil {
		v.hosts = make(map[string]report)
	}
	v.hosts[host] = report{pressure: p, at: now}
}

// least returns the least pressed level of the hosts that reported one lately: calls move away from a host that is full.
func (v *view) least(now time.Duration) hornbeamcroft.Pressure {
	found := hornbeamcroft.Pressure{Threshold: hornbeamcroft.ThresholdAll}
	first := true
	for host, r := range v.hosts {
		if now-r.at >= viewTime {
			delete(v.hosts, host)
			continue
		}
		if first || looser(r.pressure, found) {
			found, first = r.pressure, false
		}
	}
	return found
}

// looser reports whether a admits more than b.
func looser(a, b hornbeamcroft.Pressure) bool {
	if a.Importance != b.Importance {
		return a.Importance < b.Importance
	}
	return a.Threshold > b.Threshold
}
