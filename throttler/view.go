package throttler

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/leveler"
)

const (
	// viewTime is how long the demand that a host reported counts.
	viewTime = 500 * time.Millisecond
	// avoidedFailing is the share of failed calls, in thousandths, from which on senders avoid a host. It reports
	// little then, and its room counts for avoidedTime, in which the share has faded so far that it is tried again.
	avoidedFailing = 100
	avoidedTime    = 8 * time.Second
	// freshTime is the age up to which a node's own view of a service goes before what it hears through others.
	freshTime = 200 * time.Millisecond
)

// view holds the loads that the hosts of one service reported to this node.
type view struct {
	hosts map[string]report
	// at is when the last host reported.
	at time.Duration
	// heard is the level that was last heard through another service, and heardAt when.
	heard   hornbeamcroft.Pressure
	heardAt time.Duration
}

type report struct {
	load hornbeamcroft.Load
	at   time.Duration
}

func (v *view) take(now time.Duration, host string, l hornbeamcroft.Load) {
	if v.hosts == nil {
		v.hosts = make(map[string]report)
	}
	v.hosts[host] = report{load: l, at: now}
	v.at = now
}

// hear takes a level that another node has found.
func (v *view) hear(now time.Duration, p hornbeamcroft.Pressure) {
	v.heard, v.heardAt = p, now
}

// level returns the admission level of the service. The node's own view counts while it is fresh, and else the newer one.
func (v *view) level(now time.Duration, service string) hornbeamcroft.Pressure {
	heard := v.heardAt > 0 && now-v.heardAt < viewTime
	if heard && v.heardAt > v.at && now-v.at >= freshTime {
		return v.heard
	}
	return v.own(now, service)
}

// age returns the age of the newest report about the service.
func (v *view) age(now time.Duration) time.Duration { return now - max(v.at, v.heardAt) }

// own returns the level of the hosts that reported lately, together. Those that did not are taken to be alike, but for hosts
// that are avoided because they fail: they have room, and no demand while the others have room, too.
func (v *view) own(now time.Duration, service string) hornbeamcroft.Pressure {
	var sum leveler.Leveler
	for host, r := range v.hosts {
		age := now - r.at
		switch {
		case age < viewTime:
			sum.Add(r.load)
		case age < avoidedTime && r.load.Failing >= avoidedFailing:
			sum.AddRoom(r.load)
		default:
			delete(v.hosts, host)
		}
	}
	return sum.Pressure(service)
}
