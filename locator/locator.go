// Package locator knows the nodes that can be sent calls. It merges what the store lists with what nodes say of
// themselves over links.
package locator

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// forgetTime is how long a member stays known whose record has disappeared and that has no link. A living node writes
// its record again within this time of a return of the store.
const forgetTime = 2 * time.Second

// Locator holds the known members. It is not safe for concurrent use.
type Locator struct {
	entries map[string]*entry
	version uint64
}

type entry struct {
	member hornbeamcroft.Member
	listed bool
	linked bool
	// missingSince is when neither the store nor a link spoke for the member any more.
	missingSince time.Duration
}

// Version rises with each change of the members.
func (l *Locator) Version() uint64 { return l.version }

// List takes the whole list of the store; members that are not in it are no longer listed.
func (l *Locator) List(now time.Duration, members []hornbeamcroft.Member) {
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

// Put takes a record of the store.
func (l *Locator) Put(now time.Duration, m hornbeamcroft.Member) {
	e := l.entry(m.Name)
	e.listed = true
	l.merge(e, m)
	l.settle(now, e)
}

// Remove takes the news that the store no longer has the record.
func (l *Locator) Remove(now time.Duration, name string) {
	if e := l.entries[name]; e != nil {
		e.listed = false
		l.settle(now, e)
	}
}

// Hear takes what a member said of itself over a link that is open now.
func (l *Locator) Hear(now time.Duration, m hornbeamcroft.Member) {
	e := l.entry(m.Name)
	e.linked = true
	l.merge(e, m)
	l.settle(now, e)
}

// Introduce takes what another member knows of a member. It is kept as one whose record has disappeared: until the store
// or a link speaks for it, or it is forgotten.
func (l *Locator) Introduce(now time.Duration, m hornbeamcroft.Member) {
	e := l.entry(m.Name)
	l.merge(e, m)
	l.settle(now, e)
}

// Unlink takes the news that no link with the member is open any more.
func (l *Locator) Unlink(now time.Duration, name string) {
	if e := l.entries[name]; e != nil {
		e.linked = false
		l.settle(now, e)
	}
}

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

// merge takes a newer record. A record at the address of another member means that the other one is gone: addresses of
// hosts that ended are used again.
func (l *Locator) merge(e *entry, m hornbeamcroft.Member) {
	if e.member.Name != "" && !m.Newer(e.member) {
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

func (l *Locator) settle(now time.Duration, e *entry) {
	if e.listed || e.linked {
		e.missingSince = 0
		return
	}
	if e.missingSince == 0 {
		e.missingSince = max(now, 1)
	}
}

// Tick forgets the members that have been missing for too long. While the store is away nobody is forgotten.
func (l *Locator) Tick(now time.Duration, storeAway bool) {
	for name, e := range l.entries {
		if e.missingSince == 0 {
			continue
		}
		if storeAway {
			e.missingSince = max(now, 1)
			continue
		}
		if now-e.missingSince >= forgetTime {
			delete(l.entries, name)
			l.version++
		}
	}
}

// Member returns the record of a member.
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
