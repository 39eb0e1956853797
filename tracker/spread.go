package tracker

import (
	"slices"
	"time"

	"hornbeamcroft"
)

type spread struct {
	lastDigest      time.Duration
	lastRelayDigest time.Duration
	lastJoin        time.Duration
	nextPeer        int
	// relays and remote are the relays that the last digests went to.
	relays []string
	remote []string
	// seen is the Version at which the relays were last looked at.
	seen uint64
}

func newSpread(now time.Duration) spread {
	return spread{lastDigest: now, lastRelayDigest: now, lastJoin: now - joinInterval}
}

func (*Tracker) to(e *entry, m Message) Outgoing {
	return Outgoing{To: e.Name, Address: e.Address, Message: m}
}

// mergeAll merges records from a peer and passes on what was new.
func (t *Tracker) mergeAll(now time.Duration, from string, members []hornbeamcroft.Member) []Outgoing {
	var fresh []hornbeamcroft.Member
	var out []Outgoing
	for _, m := range members {
		if m.Name == t.self.Name {
			out = append(out, t.onOwnRecord(now, from, m)...)
			continue
		}
		if t.merge(now, m) {
			delete(t.liveness.suspects, m.Name)
			fresh = append(fresh, m)
		}
	}
	return append(out, t.push(fresh, from)...)
}

// onOwnRecord answers what others say about this node. Only its owner raises a record's version.
func (t *Tracker) onOwnRecord(now time.Duration, from string, m hornbeamcroft.Member) []Outgoing {
	if !m.Newer(t.self) || t.cfg.Off.Refute {
		return nil
	}
	if m.Incarnation > t.self.Incarnation {
		if isLive(m.State) && m.Address != t.self.Address {
			t.superseded = true
			return nil
		}
		// The clock went back between two starts.
		t.self.Incarnation = m.Incarnation + 1
		m.Sequence = 0
	}
	t.self.Sequence = max(t.self.Sequence, m.Sequence)
	out := t.announceSelf(now)
	if e := t.members[from]; e != nil {
		out = append(out, t.to(e, RosterChange{Members: []hornbeamcroft.Member{t.self}}))
	}
	return out
}

// push sends changes on. A member tells its relays; a relay tells its zone, and the relays of other zones about members
// of its own zone.
func (t *Tracker) push(fresh []hornbeamcroft.Member, from string) []Outgoing {
	if len(fresh) == 0 || t.cfg.Off.Push {
		return nil
	}
	z := t.zone(t.self.Zone)
	if !t.IsRelay() {
		if from != "" {
			return nil
		}
		return t.sendRecords(z.relays(), fresh, from)
	}
	out := t.sendRecords(z.live(), fresh, from)
	own := slices.DeleteFunc(slices.Clone(fresh), func(m hornbeamcroft.Member) bool { return m.Zone != z.name })
	return append(out, t.sendRecords(t.remoteRelays(), own, from)...)
}

func (t *Tracker) sendRecords(to []*entry, records []hornbeamcroft.Member, except string) []Outgoing {
	var out []Outgoing
	for part := range slices.Chunk(records, maxMembersPerChange) {
		for _, e := range to {
			if e.Name != t.self.Name && e.Name != except {
				out = append(out, t.to(e, RosterChange{Members: part}))
			}
		}
	}
	return out
}

func (t *Tracker) remoteRelays() []*entry {
	var out []*entry
	for _, name := range t.zoneNames {
		if name != t.self.Zone {
			out = append(out, t.zones[name].relays()...)
		}
	}
	return out
}

// compare starts a comparison of rosters.
func (t *Tracker) compare(e *entry) []Outgoing {
	if e.Name == t.self.Name || t.cfg.Off.Digest {
		return nil
	}
	d := t.digest(StepCompare)
	d.Told = t.watch.told[e.Name]
	return []Outgoing{t.to(e, d)}
}

// counterparts returns the relay of each other zone that has the same place there as this relay here. Comparing with
// both would double the largest part of a relay's traffic and tell nothing more.
func (t *Tracker) counterparts() []*entry {
	place := slices.Index(names(t.zone(t.self.Zone).relays()), t.self.Name)
	var out []*entry
	for _, name := range t.zoneNames {
		if relays := t.zones[name].relays(); place >= 0 && name != t.self.Zone && len(relays) > 0 {
			out = append(out, relays[min(place, len(relays)-1)])
		}
	}
	return out
}

// comparesWith reports whether e is a relay that this node compares rosters with, or a member it is a relay for.
func (t *Tracker) comparesWith(e *entry) bool {
	if e.Zone == t.self.Zone {
		return t.IsRelay() || t.isRelay(e.Name)
	}
	return t.IsRelay() && slices.Contains(t.zones[e.Zone].relays(), e)
}

// followRelays compares at once with relays that are new, and as a new relay with everyone: a change may have been
// pushed to the former relays only.
func (t *Tracker) followRelays(now time.Duration) []Outgoing {
	s := &t.spread
	if s.seen == t.version {
		return nil
	}
	s.seen = t.version
	z := t.zone(t.self.Zone)
	relays, remote := names(z.relays()), []string(nil)
	targets := z.relays()
	if t.IsRelay() {
		if !slices.Contains(s.relays, t.self.Name) {
			s.relays, s.remote = nil, nil
			t.watch.reset(now)
			t.watch.inherit()
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

func names(entries []*entry) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Name)
	}
	return out
}

// compareDue sends the periodic digests.
func (t *Tracker) compareDue(now time.Duration) []Outgoing {
	s := &t.spread
	var to []*entry
	if now-s.lastDigest >= digestInterval {
		s.lastDigest = now
		to = append(to, t.zone(t.self.Zone).relays()...)
	}
	if now-s.lastRelayDigest >= relayDigestInterval {
		s.lastRelayDigest = now
		to = append(to, t.counterparts()...)
	}
	var out []Outgoing
	for _, e := range to {
		out = append(out, t.compare(e)...)
	}
	return out
}

// joinDue asks for the whole roster while no other member is known.
func (t *Tracker) joinDue(now time.Duration) []Outgoing {
	s := &t.spread
	if len(t.members) > 1 || len(t.cfg.Peers) == 0 || now-s.lastJoin < joinInterval {
		return nil
	}
	s.lastJoin = now
	self := t.self
	a := t.cfg.Peers[s.nextPeer%len(t.cfg.Peers)]
	s.nextPeer++
	return []Outgoing{{Address: a, Message: RosterDigest{Step: StepJoin, Self: &self}}}
}
