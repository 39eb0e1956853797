package tracker

import (
	"slices"
	"time"

	"hornbeamcroft"

	"github.com/cespare/xxhash/v2"
)

// digest returns the digest of everything that this node knows. A relay adds the zones that it cannot reach.
func (t *Tracker) digest(s Step) RosterDigest {
	d := RosterDigest{Step: s, Roster: t.hash, Document: t.documentRevision, Epochs: t.epochsHash}
	if t.IsRelay() {
		d.Lost = t.zoneMonitor.lostZones()
	}
	return d
}

func (t *Tracker) onDigest(now time.Duration, from string, d RosterDigest) []Outgoing {
	if d.Step == StepJoin {
		return t.onJoin(now, from, *d.Self)
	}
	e := t.members[from]
	if e == nil {
		return t.requestRecord(from)
	}
	switch d.Step {
	case StepCompare, StepCompareReply:
		return t.onCompare(e, d)
	case StepZones:
		return t.onZones(e, d.Zones)
	case StepVersions:
		return t.onVersions(e, d)
	case StepRequest:
		return t.sendRequested(e, d.Requested)
	}
	return nil
}

// requestRecord asks the unknown member from for its own record.
func (*Tracker) requestRecord(from string) []Outgoing {
	return []Outgoing{{
		To: from, Message: RosterDigest{Step: StepRequest, Requested: []uint64{xxhash.Sum64String(from)}},
	}}
}

// onJoin merges the record of a joining member and sends it all known records. A record under a name other than the
// sender's is ignored.
func (t *Tracker) onJoin(now time.Duration, from string, m hornbeamcroft.Member) []Outgoing {
	if m.Name != from {
		return nil
	}
	out := t.mergeAndPush(now, from, []hornbeamcroft.Member{m})
	var all []hornbeamcroft.Member
	for _, v := range t.Members() {
		all = append(all, v.Member)
	}
	return append(out, t.sendRecords([]*entry{t.members[from]}, all, "")...)
}

// onCompare processes a digest of the whole roster. A StepCompare is answered with this node's digest,
// unless that would be redundant. A StepCompareReply with another roster hash is answered with the hash of each zone.
func (t *Tracker) onCompare(e *entry, d RosterDigest) []Outgoing {
	t.updateNewerPeer(e.Name, d.Document, d.Epochs)
	t.recordLostZones(e, d.Lost)
	var out []Outgoing
	if d.Step == StepCompare && !t.replyRedundant(e, d) {
		out = append(out, t.messageTo(e, t.digest(StepCompareReply)))
	}
	if d.Roster == t.hash || d.Step == StepCompare {
		return out // on a StepCompare, its sender detects the difference from the reply
	}
	zones := make([]ZoneDigest, 0, len(t.zones))
	for _, name := range t.zoneNames {
		zones = append(zones, ZoneDigest{Zone: name, Hash: t.zones[name].hash})
	}
	return append(out, t.messageTo(e, RosterDigest{Step: StepZones, Zones: zones}))
}

// replyRedundant reports whether a reply to the digest d would carry nothing that its sender does not know.
func (t *Tracker) replyRedundant(e *entry, d RosterDigest) bool {
	if d.Roster != t.hash || d.Document != t.documentRevision || d.Epochs != t.epochsHash {
		return false
	}
	if e.Zone != t.self.Zone {
		return true // relays of different zones each start comparisons, so an equal digest needs no reply
	}
	return t.IsRelay() && !t.isRelay(e.Name) && slices.Equal(d.ReportedLost, t.zoneMonitor.lostZones())
}

// onZones sends the record versions of each zone whose hash differs, and of the zones that the sender does not know.
func (t *Tracker) onZones(e *entry, zones []ZoneDigest) []Outgoing {
	var out []Outgoing
	received := map[string]bool{}
	for _, z := range zones {
		received[z.Zone] = true
		if own := t.zones[z.Zone]; own == nil || own.hash != z.Hash {
			out = append(out, t.messageTo(e, t.zoneVersions(z.Zone)))
		}
	}
	for _, name := range t.zoneNames {
		if !received[name] && t.zones[name].hash != 0 {
			out = append(out, t.messageTo(e, t.zoneVersions(name)))
		}
	}
	return out
}

// zoneVersions returns the versions of at most maxVersions records of a zone, sorted by name hash.
func (t *Tracker) zoneVersions(zoneName string) RosterDigest {
	d := RosterDigest{Step: StepVersions, Zone: zoneName}
	z := t.zones[zoneName]
	if z == nil {
		return d
	}
	for _, m := range z.members {
		if len(d.Versions) < maxVersions {
			v := RecordVersion{NameHash: m.nameHash, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State}
			d.Versions = append(d.Versions, v)
		}
	}
	slices.SortFunc(d.Versions, func(a, b RecordVersion) int { return compareHashes(a.NameHash, b.NameHash, "", "") })
	return d
}

// onVersions compares the record versions of a zone. It sends the records that are newer on this node and requests
// those that are newer on the sender.
func (t *Tracker) onVersions(e *entry, d RosterDigest) []Outgoing {
	senderVersions := map[uint64]hornbeamcroft.Member{}
	for _, v := range d.Versions {
		senderVersions[v.NameHash] = hornbeamcroft.Member{Incarnation: v.Incarnation, Sequence: v.Sequence, State: v.State}
	}
	var send []hornbeamcroft.Member
	var request []uint64
	if z := t.zones[d.Zone]; z != nil {
		for _, m := range z.membersByRank() {
			senderVersion, known := senderVersions[m.nameHash]
			delete(senderVersions, m.nameHash)
			switch {
			case !known && m.live(), known && m.Newer(senderVersion):
				send = append(send, m.Member)
			case known && senderVersion.Newer(m.Member):
				request = append(request, m.nameHash)
			}
		}
	}
	for hash, senderVersion := range senderVersions {
		if isLive(senderVersion.State) {
			request = append(request, hash)
		}
	}
	slices.Sort(request)
	out := t.sendRecords([]*entry{e}, send, "")
	if len(request) > 0 {
		out = append(out, t.messageTo(e, RosterDigest{Step: StepRequest, Requested: request}))
	}
	return out
}

// membersByRank returns all members of the zone by rank, those that are not live included.
func (z *zone) membersByRank() []*entry {
	out := make([]*entry, 0, len(z.members))
	for _, e := range z.members {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return compareHashes(a.nameHash, b.nameHash, a.Name, b.Name) })
	return out
}

// sendRequested sends e the records with the given name hashes. A request for this node's record alone is answered
// without a search of the zones.
func (t *Tracker) sendRequested(e *entry, hashes []uint64) []Outgoing {
	var send []hornbeamcroft.Member
	if len(hashes) == 1 && hashes[0] == xxhash.Sum64String(t.self.Name) {
		return t.sendRecords([]*entry{e}, []hornbeamcroft.Member{t.self}, "")
	}
	requested := map[uint64]bool{}
	for _, h := range hashes {
		requested[h] = true
	}
	for _, name := range t.zoneNames {
		for _, m := range t.zones[name].membersByRank() {
			if requested[m.nameHash] {
				send = append(send, m.Member)
			}
		}
	}
	return t.sendRecords([]*entry{e}, send, "")
}
