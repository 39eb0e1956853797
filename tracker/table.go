package tracker

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"hornbeamcroft"

	"github.com/cespare/xxhash/v2"
)

// relayCount is the number of relays of a zone. They are the live members of lowest rank.
const relayCount = 2

// monitorCount is the number of ring successors that receive a member's heartbeats and monitor it.
const monitorCount = 2

// maxMembers is the largest number of known members, tombstones included. It is more than ten times the planned fleet.
const maxMembers = 20_000

// entry is one known member.
type entry struct {
	hornbeamcroft.Member
	// nameHash is the hash of the name. It identifies the member in comparisons and gives its rank: members are ranked
	// by ascending nameHash.
	nameHash uint64
	// ringHash gives the member's position in the ring. It is independent of nameHash, so that the relays are not
	// necessarily neighbours in the ring.
	ringHash uint64
	// learnedAt is the time at which this version of the record was merged.
	learnedAt time.Duration
}

func (e *entry) live() bool { return isLive(e.State) }

// isLive reports whether a member in the state takes part in the protocol. Members that left or are dead do not.
func isLive(s hornbeamcroft.MemberState) bool { return s < hornbeamcroft.MemberLeft }

// zone holds the members of one availability zone.
type zone struct {
	name    string
	members map[string]*entry
	// hash is the XOR of the record hashes of the live members, so that it does not depend on their order and a change
	// needs one update only.
	hash uint64
	// dirty is true if byRank and byRing must be rebuilt.
	dirty bool
	// byRank and byRing hold the live members by rank and by position in the ring.
	byRank []*entry
	byRing []*entry
}

// refresh rebuilds byRank and byRing if members have changed.
func (z *zone) refresh() {
	if !z.dirty {
		return
	}
	z.dirty = false
	z.byRank = z.byRank[:0]
	for _, e := range z.members {
		if e.live() {
			z.byRank = append(z.byRank, e)
		}
	}
	slices.SortFunc(z.byRank, func(a, b *entry) int { return compareHashes(a.nameHash, b.nameHash, a.Name, b.Name) })
	z.byRing = append(z.byRing[:0], z.byRank...)
	slices.SortFunc(z.byRing, func(a, b *entry) int { return compareHashes(a.ringHash, b.ringHash, a.Name, b.Name) })
}

// compareHashes orders members by hash and, if the hashes are equal, by name.
func compareHashes(a, b uint64, nameA, nameB string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return strings.Compare(nameA, nameB)
}

// live returns the live members by rank. The slice is valid until the next change of the zone.
func (z *zone) live() []*entry {
	z.refresh()
	return z.byRank
}

// relays returns the relays of the zone: the first relayCount live members by rank.
func (z *zone) relays() []*entry {
	l := z.live()
	return l[:min(relayCount, len(l))]
}

// neighbours returns the monitorCount members nearest to name in the ring: its successors if direction is 1, which
// monitor it, and its predecessors if direction is -1, which it monitors.
func (z *zone) neighbours(name string, direction int) []*entry {
	z.refresh()
	n := len(z.byRing)
	index := slices.IndexFunc(z.byRing, func(e *entry) bool { return e.Name == name })
	if index < 0 || n < 2 {
		return nil
	}
	var out []*entry
	for i := 1; i <= monitorCount && i < n; i++ {
		out = append(out, z.byRing[((index+i*direction)%n+n)%n])
	}
	return out
}

// recordHash returns the hash of the fields by which peers compare a record: name, version and state.
func recordHash(m hornbeamcroft.Member) uint64 {
	var b [192]byte
	buf := append(b[:0], m.Name...)
	buf = binary.LittleEndian.AppendUint64(buf, m.Incarnation)
	buf = binary.LittleEndian.AppendUint64(buf, m.Sequence)
	return xxhash.Sum64(append(buf, byte(m.State)))
}

// zone returns the named zone and creates it if it is not known.
func (t *Tracker) zone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{name: name, members: map[string]*entry{}}
		t.zones[name] = z
		t.zoneNames = append(t.zoneNames, name)
		slices.Sort(t.zoneNames)
	}
	return z
}

// merge stores the record if the member is unknown or the record is newer than the known one, and reports whether it
// did. It ignores records of unknown members or zones beyond maxMembers or maxZones.
func (t *Tracker) merge(now time.Duration, m hornbeamcroft.Member) bool {
	old := t.members[m.Name]
	if old != nil && !m.Newer(old.Member) {
		return false
	}
	if old == nil && (len(t.members) >= maxMembers || (t.zones[m.Zone] == nil && len(t.zones) >= maxZones)) {
		return false
	}
	if old != nil {
		t.remove(old)
	}
	e := &entry{Member: m, learnedAt: now, nameHash: xxhash.Sum64String(m.Name)}
	e.ringHash = xxhash.Sum64String("ring/" + m.Name)
	t.members[m.Name] = e
	z := t.zone(m.Zone)
	z.members[m.Name] = e
	z.dirty = true
	if e.live() {
		t.toggleHash(z, m)
	} else {
		t.tombstones = append(t.tombstones, m.Name)
	}
	t.changeCount++
	return true
}

// remove deletes the entry from the tables and, if it is live, from the hashes.
func (t *Tracker) remove(e *entry) {
	z := t.zone(e.Zone)
	delete(z.members, e.Name)
	delete(t.members, e.Name)
	z.dirty = true
	if e.live() {
		t.toggleHash(z, e.Member)
	}
}

// toggleHash adds the hash of a live record to the hashes of the zone and the roster, or removes it.
func (t *Tracker) toggleHash(z *zone, m hornbeamcroft.Member) {
	h := recordHash(m)
	z.hash ^= h
	t.hash ^= h
}

// removeExpiredTombstones removes the records of members that died or left after tombstoneRetention. Until then, they
// prevent a delayed older record from restoring the member.
func (t *Tracker) removeExpiredTombstones(now time.Duration) {
	t.tombstones = slices.DeleteFunc(t.tombstones, func(name string) bool {
		e := t.members[name]
		if e == nil || e.live() {
			return true
		}
		if now-e.learnedAt < tombstoneRetention {
			return false
		}
		t.remove(e)
		return true
	})
}
