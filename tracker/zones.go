package tracker

import (
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

// watch is what relays know of other zones, and what other members hear from their relays.
type watch struct {
	since time.Duration
	// heard holds the time of the last message from each zone.
	heard map[string]time.Duration
	// probed holds the time of the last probes into each silent zone.
	probed map[string]time.Duration
	lost   map[string]bool
	// told holds the lost zones by relay.
	told map[string][]string
}

func newWatch() watch {
	return watch{
		heard: map[string]time.Duration{}, probed: map[string]time.Duration{},
		lost: map[string]bool{}, told: map[string][]string{},
	}
}

// reset starts all waiting anew.
func (w *watch) reset(now time.Duration) {
	w.since = now
	clear(w.probed)
}

// inherit takes over what the former relays reported; a zone that can be reached is heard within a second.
func (w *watch) inherit() {
	clear(w.lost)
	for _, zones := range w.told {
		for _, z := range zones {
			w.lost[z] = true
		}
	}
}

func (w *watch) lostZones() []string {
	if len(w.lost) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(w.lost))
}

// heardZone notes a message of a member in another zone.
func (t *Tracker) heardZone(now time.Duration, from string) []Outgoing {
	e := t.members[from]
	if e == nil || e.Zone == t.self.Zone || !t.IsRelay() {
		return nil
	}
	w := &t.watch
	w.heard[e.Zone] = now
	delete(w.probed, e.Zone)
	if !w.lost[e.Zone] {
		return nil
	}
	delete(w.lost, e.Zone)
	t.version++
	// Both sides may have changed much: compare with the sender before the next digest.
	return append(t.tellZone(), t.to(e, t.digest(StepCompare)))
}

// watchZones probes zones that fell silent and gives up those that do not answer. Only relays do this.
func (t *Tracker) watchZones(now time.Duration, r hornbeamcroft.Rand) []Outgoing {
	if t.cfg.Off.ZoneWatch || !t.IsRelay() {
		return nil
	}
	w := &t.watch
	var out []Outgoing
	changed := false
	for _, name := range t.zoneNames {
		live := t.zones[name].live()
		if name == t.self.Zone || len(live) == 0 || now-max(w.heard[name], w.since) < zoneSilence {
			continue
		}
		probed, probing := w.probed[name]
		switch {
		case !probing, w.lost[name] && now-probed >= zoneProbeInterval:
			w.probed[name] = now
			out = append(out, t.probeSome(live, r)...)
		case !w.lost[name] && now-probed >= zoneProbeTime:
			w.lost[name] = true
			changed = true
		}
	}
	if changed {
		t.version++
		out = append(out, t.tellZone()...)
	}
	return out
}

func (t *Tracker) probeSome(live []*entry, r hornbeamcroft.Rand) []Outgoing {
	var out []Outgoing
	at := r.IntN(len(live))
	for i := range min(zoneProbes, len(live)) {
		out = append(out, t.to(live[(at+i)%len(live)], t.heartbeat(PurposeProbe)))
	}
	return out
}

// tellZone sends the lost zones to the members of the own zone.
func (t *Tracker) tellZone() []Outgoing {
	var out []Outgoing
	for _, e := range t.zone(t.self.Zone).live() {
		if e.Name != t.self.Name {
			out = append(out, t.to(e, t.digest(StepCompared)))
		}
	}
	return out
}

func (t *Tracker) noteLost(e *entry, lost []string) {
	if e.Zone != t.self.Zone || slices.Equal(t.watch.told[e.Name], lost) {
		return
	}
	t.version++
	t.watch.told[e.Name] = lost
	if len(lost) == 0 {
		delete(t.watch.told, e.Name)
	}
}

// zoneLost reports whether no relay of the own zone reaches the zone.
func (t *Tracker) zoneLost(name string) bool {
	if name == t.self.Zone || (len(t.watch.told) == 0 && len(t.watch.lost) == 0) {
		return false
	}
	relays := t.zone(t.self.Zone).relays()
	for _, e := range relays {
		if e.Name == t.self.Name {
			if !t.watch.lost[name] {
				return false
			}
		} else if !slices.Contains(t.watch.told[e.Name], name) {
			return false
		}
	}
	return len(relays) > 0
}
