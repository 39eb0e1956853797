// Package locator tracks the nodes to which calls can be sent. It merges the records in the store with what nodes
// announce of themselves over links.
package locator

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// missingTimeout is how long a member without a record in the store and without a link is kept.
const missingTimeout = hornbeamcroft.MissingTime

// Locator holds the known members. It is not safe for concurrent use.
type Locator struct {
	// entries holds the members by name.
	entries map[string]*entry
	// version counts the changes of entries.
	version uint64
}

// entry is a known member.
type entry struct {
	member hornbeamcroft.Member
	// listed is true while the store has a record of the member, and linked while a link with it is open.
	listed bool
	linked bool
	// listedIncarnation is the incarnation in the last record of the store; zero if there was none.
	listedIncarnation uint64
	// endedIncarnation is an incarnation of the member that a later one has replaced; zero if none is known. Incarnations of
	// one member do not always rise, because a host's clock may be set back before its node restarts.
	endedIncarnation uint64
	// missingSince is when the member lost both its record and its link; zero while it has one of them.
	missingSince time.Duration
}

// Version returns a number that rises with each change of the members.
func (l *Locator) Version() uint64 { return l.version }

// ReplaceRecords replaces the records of the store. Members that are not among them are no longer listed.
func (l *Locator) ReplaceRecords(now time.Duration, members []hornbeamcroft.Member) {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.Name] = true
		l.Put(now, m)
	}
	for name := range l.entries {
		if !present[name] {
			l.Remove(now, name)
		}
	}
}

// ForgetRecords forgets which start of each member the store had a record of. Call it when the store came back from an older
// copy: a record in it that differs from the one before may be that of an earlier start.
func (l *Locator) ForgetRecords() {
	for _, e := range l.entries {
		e.listedIncarnation = 0
	}
}

// Put records that the store has a record of the member.
func (l *Locator) Put(now time.Duration, m hornbeamcroft.Member) {
	e := l.entry(m.Name)
	if e.listedIncarnation != m.Incarnation && e.listedIncarnation == e.member.Incarnation && !e.linked {
		e.endedIncarnation = e.member.Incarnation // the store holds the record of a later start
	}
	e.listed, e.listedIncarnation = true, m.Incarnation
	// A link shows which incarnation runs; a record may be that of a previous one.
	if !e.linked || m.Incarnation == e.member.Incarnation {
		l.merge(e, m)
	}
	l.updateMissing(now, e)
}

// Introduce records that the incarnation of a member has completed the handshake of a link. Another incarnation that is
// known has ended.
func (l *Locator) Introduce(name string, incarnation uint64) {
	e := l.entries[name]
	if e == nil || e.member.Incarnation == incarnation {
		return
	}
	e.endedIncarnation = e.member.Incarnation
}

// Remove records that the store no longer has a record of the member.
func (l *Locator) Remove(now time.Duration, name string) {
	if e := l.entries[name]; e != nil {
		e.listed = false
		l.updateMissing(now, e)
	}
}

// ApplyNotice records what a member announced of itself over an open link. It is also called with the record of this
// node itself, which has no link and counts as linked from then on.
func (l *Locator) ApplyNotice(now time.Duration, m hornbeamcroft.Member) {
	e := l.entry(m.Name)
	e.linked = true
	l.merge(e, m)
	l.updateMissing(now, e)
}

// AddFromPeer records what another member knows of a member. A member that is neither listed nor linked counts as
// missing until it is, and is dropped after missingTimeout.
func (l *Locator) AddFromPeer(now time.Duration, m hornbeamcroft.Member) {
	e := l.entry(m.Name)
	l.merge(e, m)
	l.updateMissing(now, e)
}

// Unlink records that no link with the member is open any more.
func (l *Locator) Unlink(now time.Duration, name string) {
	if e := l.entries[name]; e != nil {
		e.linked = false
		l.updateMissing(now, e)
	}
}

// entry returns the entry of a member. It adds an empty one if there is none.
func (l *Locator) entry(name string) *entry {
	if l.entries == nil {
		l.entries = make(map[string]*entry)
	}
	e := l.entries[name]
	if e == nil {
		e = &entry{}
		l.entries[name] = e
	}
	return e
}

// merge stores m in e if it is newer. It drops an older member with the same address: addresses of hosts that have
// ended are reused.
func (l *Locator) merge(e *entry, m hornbeamcroft.Member) {
	if e.member.Name != "" && !e.isNewer(m) {
		return
	}
	e.member = m
	l.version++
	for name, other := range l.entries {
		if other != e && other.member.Address == m.Address && other.member.Incarnation < m.Incarnation {
			delete(l.entries, name)
		}
	}
}

// isNewer reports whether m replaces the known member.
func (e *entry) isNewer(m hornbeamcroft.Member) bool {
	if e.endedIncarnation != 0 && m.Incarnation != e.member.Incarnation {
		if m.Incarnation == e.endedIncarnation {
			return false
		}
		if e.member.Incarnation == e.endedIncarnation {
			return true
		}
	}
	return m.Newer(e.member)
}

// updateMissing sets or clears the time since which the member is missing.
func (l *Locator) updateMissing(now time.Duration, e *entry) {
	if e.listed || e.linked {
		e.missingSince = 0
		return
	}
	if e.missingSince == 0 {
		e.missingSince = max(now, 1)
	}
}

// Tick drops the members that have been missing for missingTimeout. While the store is unavailable, it drops none and
// restarts the timeout of the missing members.
func (l *Locator) Tick(now time.Duration, storeUnavailable bool) {
	for name, e := range l.entries {
		if e.missingSince == 0 {
			continue
		}
		if storeUnavailable {
			e.missingSince = max(now, 1)
			continue
		}
		if now-e.missingSince >= missingTimeout {
			delete(l.entries, name)
			l.version++
		}
	}
}

// Member returns the record of a member, or false if it is not known.
func (l *Locator) Member(name string) (hornbeamcroft.Member, bool) {
	e := l.entries[name]
	if e == nil {
		return hornbeamcroft.Member{}, false
	}
	return e.member, true
}

// Members returns the records of all known members, ordered by name.
func (l *Locator) Members() []hornbeamcroft.Member {
	list := make([]hornbeamcroft.Member, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, e.member)
	}
	slices.SortFunc(list, func(a, b hornbeamcroft.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}
