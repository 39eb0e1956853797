package tracker

import (
	"slices"
	"time"

	"hornbeamcroft"

	"github.com/cespare/xxhash/v2"
)

func (t *Tracker) digest(s Step) RosterDigest {
	d := RosterDigest{Step: s, Roster: t.hash, Document: t.document, Epochs: t.epochs}
	if t.IsRelay() {
		d.Lost = t.watch.lostZones()
	}
	return d
}

func (t *Tracker) onDigest(now time.Duration, from string, d RosterDigest) []Outgoing {
	if d.Step == StepJoin {
		return t.onJoin(now, from, *d.Self)
	}
	e := t.members[from]
	if e == nil {
		return t.askRecord(from)
	}
	switch d.Step {
	case StepCompare, StepCompared:
		return t.onCompare(e, d)
	case StepZones:
		return t.onZones(e, d.Zones)
	case StepVersions:
		return t.onVersions(e, d)
	case StepWant:
		return t.sendWanted(e, d.Want)
	}
	return nil
}

// askRecord asks a member that is not known for its record.
func (*Tracker) askRecord(from string) []Outgoing {
	return []Outgoing{{To: from, Message: RosterDigest{Step: StepWant, Want: []uint64{xxhash.Sum64String(from)}}}}
}

func (t *Tracker) onJoin(now time.Duration, from string, m hornbeamcroft.Member) []Outgoing {
	if m.Name != from {
		return nil
	}
	out := t.mergeAll(now, from, []hornbeamcroft.Member{m})
	var all []hornbeamcroft.Member
	for _, v := range t.Members() {
		all = append(all, v.Member)
	}
	return append(out, t.sendRecords([]*entry{t.members[from]}, all, "")...)
}

// onCompare answers a digest and, if the rosters differ, sends the hashes of the zones.
func (t *Tracker) onCompare(e *entry, d RosterDigest) []Outgoing {
	t.noteVersions(e.Name, d.Document, d.Epochs)
	t.noteLost(e, d.Lost)
	var out []Outgoing
	if d.Step == StepCompare && !t.same(e, d) {
		out = append(out, t.to(e, t.digest(StepCompared)))
	}
	if d.Roster == t.hash || d.Step == StepCompare {
		return out // the sender of StepCompare sees the difference in the answer
	}
	zones := make([]ZoneDigest, 0, len(t.zones))
	for _, name := range t.zoneNames {
		zones = append(zones, ZoneDigest{Zone: name, Hash: t.zones[name].hash})
	}
	return append(out, t.to(e, RosterDigest{Step: StepZones, Zones: zones}))
}

// same reports whether an answer to a digest would tell nothing new.
func (t *Tracker) same(e *entry, d RosterDigest) bool {
	if d.Roster != t.hash || d.Document != t.document || d.Epochs != t.epochs {
		return false
	}
	if e.Zone != t.self.Zone {
		return true // the relays of other zones compare in both directions
	}
	return t.IsRelay() && !t.isRelay(e.Name) && slices.Equal(d.Told, t.watch.lostZones())
}

// onZones sends the versions of each zone that differs.
func (t *Tracker) onZones(e *entry, zones []ZoneDigest) []Outgoing {
	var out []Outgoing
	seen := map[string]bool{}
	for _, z := range zones {
		seen[z.Zone] = true
		if own := t.zones[z.Zone]; own == nil || own.hash != z.Hash {
			out = append(out, t.to(e, t.versions(z.Zone)))
		}
	}
	for _, name := range t.zoneNames {
		if !seen[name] && t.zones[name].hash != 0 {
			out = append(out, t.to(e, t.versions(name)))
		}
	}
	return out
}

func (t *Tracker) versions(name string) RosterDigest {
	d := RosterDigest{Step: StepVersions, Zone: name}
	z := t.zones[name]
	if z == nil {
		return d
	}
	for _, m := range z.members {
		if len(d.Versions) < maxVersions {
			v := Version{Name: m.rank, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State}
			d.Versions = append(d.Versions, v)
		}
	}
	slices.SortFunc(d.Versions, func(a, b Version) int { return order(a.Name, b.Name, "", "") })
	return d
}

// onVersions sends the records that are newer here and asks for those that are newer there.
func (t *Tracker) onVersions(e *entry, d RosterDigest) []Outgoing {
	theirs := map[uint64]hornbeamcroft.Member{}
	for _, v := range d.Versions {
		theirs[v.Name] = hornbeamcroft.Member{Incarnation: v.Incarnation, Sequence: v.Sequence, State: v.State}
	}
	var send []hornbeamcroft.Member
	var want []uint64
	if z := t.zones[d.Zone]; z != nil {
		for _, m := range z.sorted() {
			their, known := theirs[m.rank]
			delete(theirs, m.rank)
			switch {
			case !known && m.live(), known && m.Newer(their):
				send = append(send, m.Member)
			case known && their.Newer(m.Member):
				want = append(want, m.rank)
			}
		}
	}
	for name, their := range theirs {
		if isLive(their.State) {
			want = append(want, name)
		}
	}
	slices.Sort(want)
	out := t.sendRecords([]*entry{e}, send, "")
	if len(want) > 0 {
		out = append(out, t.to(e, RosterDigest{Step: StepWant, Want: want}))
	}
	return out
}

func (z *zone) sorted() []*entry {
	out := make([]*entry, 0, len(z.members))
	for _, e := range z.members {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return order(a.rank, b.rank, a.Name, b.Name) })
	return out
}

func (t *Tracker) sendWanted(e *entry, want []uint64) []Outgoing {
	var send []hornbeamcroft.Member
	if len(want) == 1 && want[0] == xxhash.Sum64String(t.self.Name) {
		return t.sendRecords([]*entry{e}, []hornbeamcroft.Member{t.self}, "")
	}
	wanted := map[uint64]bool{}
	for _, h := range want {
		wanted[h] = true
	}
	for _, name := range t.zoneNames {
		for _, m := range t.zones[name].sorted() {
			if wanted[m.rank] {
				send = append(send, m.Member)
			}
		}
	}
	return t.sendRecords([]*entry{e}, send, "")
}
