package tracker

import (
	"slices"
	"time"

	"hornbeamcroft"
)

// dissemination holds the state of the exchange of records with other members.
type dissemination struct {
	lastDigest      time.Duration
	lastRelayDigest time.Duration
	lastJoin        time.Duration
	// nextPeer counts the joins sent; it selects the configured peer that the next join goes to.
	nextPeer int
	// relays and remote are the names of the relays of this node's zone and, if it is a relay, of the other zones, as
	// of relaysChangeCount.
	relays []string
	remote []string
	// relaysChangeCount is the ChangeCount at which this node last checked for new relays.
	relaysChangeCount uint64
}

func newDissemination(now time.Duration) dissemination {
	return dissemination{lastDigest: now, lastRelayDigest: now, lastJoin: now - joinInterval}
}

func (*Tracker) messageTo(e *entry, m Message) Outgoing {
	return Outgoing{To: e.Name, Address: e.Address, Message: m}
}

// mergeAndPush merges records received from a peer and pushes those that changed the roster. from is empty for records
// that come from the store.
func (t *Tracker) mergeAndPush(now time.Duration, from string, members []hornbeamcroft.Member) []Outgoing {
	var changed []hornbeamcroft.Member
	var out []Outgoing
	for _, m := range members {
		if m.Name == t.self.Name {
			out = append(out, t.onOwnRecord(now, from, m)...)
			continue
		}
		if t.merge(now, m) {
			delete(t.liveness.suspects, m.Name)
			changed = append(changed, m)
		}
	}
	return append(out, t.push(changed, from)...)
}

// onOwnRecord refutes a record of this node that is newer than its own, for example a report of its death, by
// announcing a still newer one. Only the owner of a record may raise its version. If the newer record belongs to a live
// process at another address, this node is superseded.
func (t *Tracker) onOwnRecord(now time.Duration, from string, m hornbeamcroft.Member) []Outgoing {
	if !m.Newer(t.self) || t.cfg.Disabled.Refutation {
		return nil
	}
	if m.Incarnation > t.self.Incarnation {
		if isLive(m.State) && m.Address != t.self.Address {
			t.superseded = true
			return nil
		}
		// The clock went back between two starts of this node, so that its Incarnation is below that of an earlier
		// start.
		t.self.Incarnation = m.Incarnation + 1
		m.Sequence = 0
	}
	t.self.Sequence = max(t.self.Sequence, m.Sequence)
	out := t.announceSelf(now)
	if e := t.members[from]; e != nil {
		out = append(out, t.messageTo(e, RosterChange{Members: []hornbeamcroft.Member{t.self}}))
	}
	return out
}

// push sends changed records to other members, except the one named from that sent them; from is empty if they
// originate here. A relay sends all of them to the members of its zone, and those of its own zone to the relays of
// other zones as well. Any other member sends only records that originate here, to its relays.
func (t *Tracker) push(changed []hornbeamcroft.Member, from string) []Outgoing {
	if len(changed) == 0 || t.cfg.Disabled.Push {
		return nil
	}
	z := t.zone(t.self.Zone)
	if !t.IsRelay() {
		if from != "" {
			return nil
		}
		return t.sendRecords(z.relays(), changed, from)
	}
	out := t.sendRecords(z.live(), changed, from)
	own := slices.DeleteFunc(slices.Clone(changed), func(m hornbeamcroft.Member) bool { return m.Zone != z.name })
	return append(out, t.sendRecords(t.remoteRelays(), own, from)...)
}

// sendRecords sends the records to each of the recipients but this node and the member named except, in messages of at
// most maxMembersPerChange records.
func (t *Tracker) sendRecords(recipients []*entry, records []hornbeamcroft.Member, except string) []Outgoing {
	var out []Outgoing
	for part := range slices.Chunk(records, maxMembersPerChange) {
		for _, e := range recipients {
			if e.Name != t.self.Name && e.Name != except {
				out = append(out, t.messageTo(e, RosterChange{Members: part}))
			}
		}
	}
	return out
}

// remoteRelays returns the relays of all other zones.
func (t *Tracker) remoteRelays() []*entry {
	var out []*entry
	for _, name := range t.zoneNames {
		if name != t.self.Zone {
			out = append(out, t.zones[name].relays()...)
		}
	}
	return out
}

// compare starts a comparison of this node's roster with that of e.
func (t *Tracker) compare(e *entry) []Outgoing {
	if e.Name == t.self.Name || t.cfg.Disabled.Digests {
		return nil
	}
	d := t.digest(StepCompare)
	d.ReportedLost = t.zoneMonitor.reportedLost[e.Name]
	return []Outgoing{t.messageTo(e, d)}
}

// counterparts returns, if this node is a relay, the relay of each other zone that has the same position there.
// Comparing with both relays of a zone would double the largest part of a relay's traffic and find no further
// differences.
func (t *Tracker) counterparts() []*entry {
	position := slices.Index(names(t.zone(t.self.Zone).relays()), t.self.Name)
	var out []*entry
	for _, name := range t.zoneNames {
		if relays := t.zones[name].relays(); position >= 0 && name != t.self.Zone && len(relays) > 0 {
			out = append(out, relays[min(position, len(relays)-1)])
		}
	}
	return out
}

// comparesWith reports whether this node and e compare rosters: one of them is a relay of the zone of both, or both are
// relays of their zones.
func (t *Tracker) comparesWith(e *entry) bool {
	if e.Zone == t.self.Zone {
		return t.IsRelay() || t.isRelay(e.Name)
	}
	return t.IsRelay() && slices.Contains(t.zones[e.Zone].relays(), e)
}

// compareWithNewRelays starts comparisons with relays that are new since the last call. If this node itself is a new
// relay, it compares with all members of its zone and all relays of other zones. A change may have been pushed to the
// former relays only, and would otherwise wait for the next periodic digest.
func (t *Tracker) compareWithNewRelays(now time.Duration) []Outgoing {
	s := &t.dissemination
	if s.relaysChangeCount == t.changeCount {
		return nil
	}
	s.relaysChangeCount = t.changeCount
	z := t.zone(t.self.Zone)
	relays, remote := names(z.relays()), []string(nil)
	targets := z.relays()
	if t.IsRelay() {
		if !slices.Contains(s.relays, t.self.Name) {
			s.relays, s.remote = nil, nil
			t.zoneMonitor.resetTimers(now)
			t.zoneMonitor.adoptReports()
			targets = z.live()
		}
		remote = names(t.remoteRelays())
		targets = append(slices.Clone(targets), t.remoteRelays()...)
	}
	var out []Outgoing
	for _, e := range targets {
		if !slices.Contains(s.relays, e.Name) && !slices.Contains(s.remote, e.Name) {
			out = append(out, t.compare(e)...)
		}
	}
	s.relays, s.remote = relays, remote
	return out
}

// names returns the names of the entries in their order.
func names(entries []*entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Name)
	}
	return out
}

// sendDueDigests starts the periodic comparisons: with the relays of this node's zone every digestInterval and, as a
// relay, with those of other zones every relayDigestInterval.
func (t *Tracker) sendDueDigests(now time.Duration) []Outgoing {
	s := &t.dissemination
	var recipients []*entry
	if now-s.lastDigest >= digestInterval {
		s.lastDigest = now
		recipients = append(recipients, t.zone(t.self.Zone).relays()...)
	}
	if now-s.lastRelayDigest >= relayDigestInterval {
		s.lastRelayDigest = now
		recipients = append(recipients, t.counterparts()...)
	}
	var out []Outgoing
	for _, e := range recipients {
		out = append(out, t.compare(e)...)
	}
	return out
}

// sendDueJoin requests the whole roster from the configured peers in turn, one every joinInterval, while no other
// member is known.
func (t *Tracker) sendDueJoin(now time.Duration) []Outgoing {
	s := &t.dissemination
	if len(t.members) > 1 || len(t.cfg.Peers) == 0 || now-s.lastJoin < joinInterval {
		return nil
	}
	s.lastJoin = now
	self := t.self
	address := t.cfg.Peers[s.nextPeer%len(t.cfg.Peers)]
	s.nextPeer++
	return []Outgoing{{Address: address, Message: RosterDigest{Step: StepJoin, Self: &self}}}
}
