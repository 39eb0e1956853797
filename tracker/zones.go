package tracker

import (
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

// zoneMonitor holds which other zones this node cannot reach, if it is a relay, and which zones the relays of its own
// zone report as unreachable.
type zoneMonitor struct {
	// monitoringSince is the time at which this node became a relay or resumed after a pause. The silence of a zone
	// is measured from this time at the earliest.
	monitoringSince time.Duration
	// lastHeard holds the time of the last message from each zone.
	lastHeard map[string]time.Duration
	// lastProbed holds the time of the last probes into each silent zone.
	lastProbed map[string]time.Duration
	// lost holds the zones that this node, as a relay, cannot reach.
	lost map[string]bool
	// reportedLost holds the zones that each relay of this node's zone last reported as lost, by the relay's name.
	reportedLost map[string][]string
}

func newZoneMonitor() zoneMonitor {
	return zoneMonitor{
		lastHeard: map[string]time.Duration{}, lastProbed: map[string]time.Duration{},
		lost: map[string]bool{}, reportedLost: map[string][]string{},
	}
}

// resetTimers restarts the silence timers of all zones and discards probes that are under way.
func (m *zoneMonitor) resetTimers(now time.Duration) {
	m.monitoringSince = now
	clear(m.lastProbed)
}

// adoptReports replaces the lost zones of a new relay by those that the relays last reported. A zone that can be
// reached is heard within a second and is then no longer lost.
func (m *zoneMonitor) adoptReports() {
	clear(m.lost)
	for _, zones := range m.reportedLost {
		for _, z := range zones {
			m.lost[z] = true
		}
	}
}

func (m *zoneMonitor) lostZones() []string {
	if len(m.lost) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m.lost))
}

// onZoneHeard records that a member of another zone sent a message. If that zone was lost, it announces that the zone
// can be reached again. Only relays do this.
func (t *Tracker) onZoneHeard(now time.Duration, from string) []Outgoing {
	e := t.members[from]
	if e == nil || e.Zone == t.self.Zone || !t.IsRelay() {
		return nil
	}
	m := &t.zoneMonitor
	m.lastHeard[e.Zone] = now
	delete(m.lastProbed, e.Zone)
	if !m.lost[e.Zone] {
		return nil
	}
	delete(m.lost, e.Zone)
	t.changeCount++
	// Many records may have changed on both sides, so compare with the sender now instead of at the next digest.
	return append(t.announceLostZones(), t.compare(e)...)
}

// monitorZones probes zones that have been silent for zoneSilenceTimeout, marks those that do not answer within
// zoneProbeTimeout as lost, and probes lost zones every zoneProbeInterval. Only relays do this.
func (t *Tracker) monitorZones(now time.Duration, r hornbeamcroft.Rand) []Outgoing {
	if t.cfg.Disabled.ZoneMonitoring || !t.IsRelay() {
		return nil
	}
	m := &t.zoneMonitor
	var out []Outgoing
	changed := false
	for _, name := range t.zoneNames {
		live := t.zones[name].live()
		if name == t.self.Zone || len(live) == 0 || now-max(m.lastHeard[name], m.monitoringSince) < zoneSilenceTimeout {
			continue
		}
		lastProbed, probing := m.lastProbed[name]
		switch {
		case !probing, m.lost[name] && now-lastProbed >= zoneProbeInterval:
			m.lastProbed[name] = now
			out = append(out, t.probeSample(live, r)...)
		case !m.lost[name] && now-lastProbed >= zoneProbeTimeout:
			m.lost[name] = true
			changed = true
		}
	}
	if changed {
		t.changeCount++
		out = append(out, t.announceLostZones()...)
	}
	return out
}

// probeSample probes up to zoneProbeCount members of a zone, consecutive by rank from a random one on.
func (t *Tracker) probeSample(live []*entry, r hornbeamcroft.Rand) []Outgoing {
	var out []Outgoing
	start := r.IntN(len(live))
	for i := range min(zoneProbeCount, len(live)) {
		out = append(out, t.messageTo(live[(start+i)%len(live)], t.heartbeat(PurposeProbe)))
	}
	return out
}

// announceLostZones sends the lost zones to all other live members of this node's zone.
func (t *Tracker) announceLostZones() []Outgoing {
	var out []Outgoing
	for _, e := range t.zone(t.self.Zone).live() {
		if e.Name != t.self.Name {
			out = append(out, t.messageTo(e, t.digest(StepCompareReply)))
		}
	}
	return out
}

// recordLostZones stores the zones that a relay of this node's zone reports as lost.
func (t *Tracker) recordLostZones(e *entry, lost []string) {
	if e.Zone != t.self.Zone || slices.Equal(t.zoneMonitor.reportedLost[e.Name], lost) {
		return
	}
	t.changeCount++
	t.zoneMonitor.reportedLost[e.Name] = lost
	if len(lost) == 0 {
		delete(t.zoneMonitor.reportedLost, e.Name)
	}
}

// zoneLost reports whether every relay of this node's zone reports the named zone as lost.
func (t *Tracker) zoneLost(name string) bool {
	if name == t.self.Zone || (len(t.zoneMonitor.reportedLost) == 0 && len(t.zoneMonitor.lost) == 0) {
		return false
	}
	relays := t.zone(t.self.Zone).relays()
	for _, e := range relays {
		if e.Name == t.self.Name {
			if !t.zoneMonitor.lost[name] {
				return false
			}
		} else if !slices.Contains(t.zoneMonitor.reportedLost[e.Name], name) {
			return false
		}
	}
	return len(relays) > 0
}
