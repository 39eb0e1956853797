package tracker

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"hornbeamcroft"

	"github.com/cespare/xxhash/v2"
)

// relayCount is the number of relays of a zone: the live members of lowest rank.
const relayCount = 2

// monitorCount is the number of ring successors that receive a member's heartbeats.
const monitorCount = 2

type entry struct {
	hornbeamcroft.Member
	rank uint64
	// ring is a hash independent of rank, so that the relays are not each other's neighbours by construction.
	ring uint64
	// learned is when this version of the record was merged.
	learned time.Duration
}

func (e *entry) live() bool { return isLive(e.State) }

func isLive(s hornbeamcroft.MemberState) bool { return s < hornbeamcroft.MemberLeft }

// zone holds the members of one availability zone. Its slices are rebuilt when dirty.
type zone struct {
	name    string
	members map[string]*entry
	// hash is the XOR of the live members' record hashes, so that a change costs one update and order plays no part.
	hash  uint64
	dirty bool
	// byRank and byRing hold the live members.
	byRank []*entry
	byRing []*entry
}

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
	slices.SortFunc(z.byRank, func(a, b *entry) int { return order(a.rank, b.rank, a.Name, b.Name) })
	z.byRing = append(z.byRing[:0], z.byRank...)
	slices.SortFunc(z.byRing, func(a, b *entry) int { return order(a.ring, b.ring, a.Name, b.Name) })
}

func order(a, b uint64, nameA, nameB string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return strings.Compare(nameA, nameB)
}

// live returns the live members by rank.
func (z *zone) live() []*entry {
	z.refresh()
	return z.byRank
}

func (z *zone) relays() []*entry {
	l := z.live()
	return l[:min(relayCount, len(l))]
}

// neighbours returns the members at the given steps around the ring from name, without name itself.
func (z *zone) neighbours(name string, step int) []*entry {
	z.refresh()
	n := len(z.byRing)
	at := slices.IndexFunc(z.byRing, func(e *entry) bool { return e.Name == name })
	if at < 0 || n < 2 {
		return nil
	}
	var out []*entry
	for i := 1; i <= monitorCount && i < n; i++ {
		out = append(out, z.byRing[((at+i*step)%n+n)%n])
	}
	return out
}

// recordHash covers what peers must agree on.
func recordHash(m hornbeamcroft.Member) uint64 {
	var b [192]byte
	buf := append(b[:0], m.Name...)
	buf = binary.LittleEndian.AppendUint64(buf, m.Incarnation)
	buf = binary.LittleEndian.AppendUint64(buf, m.Sequence)
	return xxhash.Sum64(append(buf, byte(m.State)))
}

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

// merge takes a record in if it is newer than the known one. It reports whether it did.
func (t *Tracker) merge(now time.Duration, m hornbeamcroft.Member) bool {
	old := t.members[m.Name]
	if old != nil && !m.Newer(old.Member) {
		return false
	}
	if old != nil {
		t.remove(old)
	}
	e := &entry{Member: m, learned: now, rank: xxhash.Sum64String(m.Name)}
	e.ring = xxhash.Sum64String("ring/" + m.Name)
	t.members[m.Name] = e
	z := t.zone(m.Zone)
	z.members[m.Name] = e
	z.dirty = true
	if e.live() {
		t.toggle(z, m)
	} else {
		t.gone = append(t.gone, m.Name)
	}
	t.version++
	return true
}

func (t *Tracker) remove(e *entry) {
	z := t.zone(e.Zone)
	delete(z.members, e.Name)
	delete(t.members, e.Name)
	z.dirty = true
	if e.live() {
		t.toggle(z, e.Member)
	}
}

// toggle adds a live record to the hashes, or takes it out.
func (t *Tracker) toggle(z *zone, m hornbeamcroft.Member) {
	h := recordHash(m)
	z.hash ^= h
	t.hash ^= h
}

// forget drops records of dead and departed members after goneRetention. Until then they keep a delayed older record
// from bringing the member back.
func (t *Tracker) forget(now time.Duration) {
	t.gone = slices.DeleteFunc(t.gone, func(name string) bool {
		e := t.members[name]
		if e == nil || e.live() {
			return true
		}
		if now-e.learned < goneRetention {
			return false
		}
		t.remove(e)
		return true
	})
}
