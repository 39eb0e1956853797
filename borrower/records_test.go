package borrower_test

import (
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

const (
	renewInterval = 2250 * time.Millisecond
	// homeRenewInterval applies to homes of tenants.
	homeRenewInterval = time.Second
	// silenceTime is the time within which a node notices that a link has ended.
	silenceTime = time.Second
	// maxRenewDelay, maxListDelay and maxProofDelay are the times within which a node that reaches the store again calls it.
	maxRenewDelay = 1300 * time.Millisecond
	maxListDelay  = 800 * time.Millisecond
	maxProofDelay = time.Second
)

// record is the record of a node in the store. It is there from writtenAt until expires.
type record struct{ writtenAt, expires time.Duration }

func (r record) present(at time.Duration) bool { return at >= r.writtenAt && at < r.expires }

// records is what a process knows of the records in the store.
type records struct {
	// renewAt, listAt and proveAt are when the node calls the store next. shownAt is the time of the store that the last list showed, and
	// wokeAt when the last list was made for a new home.
	renewAt, listAt, proveAt, shownAt, wokeAt time.Duration
	// linksAt is when the node looks at its links next.
	linksAt time.Duration
	// written is set when the record was written by this process, and away while the node does not reach the store.
	written, away bool
	// missing holds since when others have had no record, and linked the nodes to which there is a link.
	missing map[string]time.Duration
	linked  map[string]bool
	// shownEra is the era of the store in the last list.
	shownEra int
	// restoredEra is the era of the last restore that the lender was told of.
	restoredEra int
}

func (n *node) reachesStore() bool { return !n.cut && !n.refused && !n.storeDown }

// callStore makes the calls to the store that are due, and drops the members that have been missing for too long.
func (n *node) callStore() {
	if !n.reachesStore() {
		n.away = true
		return
	}
	if n.away {
		n.away = false
		n.renewAt = n.now + n.between(0, maxRenewDelay)
		n.listAt, n.proveAt = n.now+n.between(0, maxListDelay), n.now+n.between(0, maxProofDelay)
	}
	if n.now >= n.renewAt {
		n.renewAt = n.now + renewInterval
		if _, here := n.l.Counts(); here > 0 {
			n.renewAt = n.now + homeRenewInterval
		}
		n.renew()
	}
	woken := n.b.TakeDueList(n.now) || n.l.NeedsList(n.now) && n.now-n.wokeAt >= 300*time.Millisecond
	if woken {
		n.wokeAt = n.now
	}
	if n.now >= n.listAt || woken {
		n.listAt = n.now + n.between(2*time.Second, 3*time.Second)
		n.list()
	}
	for _, name := range slices.Sorted(maps.Keys(n.missing)) {
		switch {
		case n.isLinked(name):
			delete(n.missing, name)
		case n.now-n.missing[name] >= hornbeamcroft.MissingTime:
			delete(n.missing, name)
			n.see(name, false)
		}
	}
}

func (n *node) renew() {
	if !n.written {
		n.l.SetSucceeds(n.record.present(n.now) && !n.stopping)
	}
	absent := !n.written || !n.record.present(n.now)
	if !n.record.present(n.now) {
		n.record.writtenAt = n.now
	}
	n.written, n.record.expires = true, n.now+hornbeamcroft.RecordLease
	n.l.SetRecord(n.now, n.now, absent)
}

// list reads a list of members that is up to 1 s old, but not older than the last one.
func (n *node) list() {
	at := max(n.shownAt, n.now-n.between(0, hornbeamcroft.MaxListStaleness))
	n.shownAt = at
	if at >= n.restoredAt && n.shownEra != n.era {
		n.shownEra, n.restoredEra = n.era, n.era
		n.l.SetRestored(n.now)
	}
	for _, m := range n.nodes {
		switch _, missing := n.missing[m.name]; {
		case m == n:
		case !m.stopping && (m.record.present(at) || n.isLinked(m.name)):
			delete(n.missing, m.name)
			n.see(m.name, true)
		case !missing && n.view[m.name]:
			n.missing[m.name] = n.now
		}
	}
	n.l.SetList(n.now, n.now)
}

func (n *node) isLinked(name string) bool {
	if n.linked[name] && n.peer(name) == nil {
		delete(n.linked, name)
		n.b.SetUnlinked(n.now, name)
	}
	return n.linked[name]
}

// checkLinks notices links that have ended.
func (n *node) checkLinks() {
	if n.now < n.linksAt {
		return
	}
	n.linksAt = n.now + silenceTime
	for _, name := range slices.Sorted(maps.Keys(n.linked)) {
		n.isLinked(name)
	}
}

// link opens a link between two nodes, which know each other from then on.
func (n *node) link(m *node) {
	if n == m || n.isLinked(m.name) && m.isLinked(n.name) {
		return
	}
	n.linked[m.name], m.linked[n.name] = true, true
	n.b.SetLinked(m.name)
	m.b.SetLinked(n.name)
	n.hearEra(m)
	m.hearEra(n)
	if !m.stopping {
		n.see(m.name, true)
	}
	if !n.stopping {
		m.see(n.name, true)
	}
}

// hearEra learns from the state of a peer that the store was restored.
func (n *node) hearEra(m *node) {
	ago := m.l.Restored(n.now)
	behind := m.shownEra < n.shownEra && n.restoredEra != n.shownEra
	if behind {
		n.restoredEra, ago = n.shownEra, 0
	}
	if behind || ago > 0 {
		n.l.SetRestored(n.now - ago)
	}
}

// restore replaces the store by an older copy without the records of the nodes.
func (f *fleet) restore(nodes []*node) {
	f.era++
	f.restoredAt = f.now
	for _, n := range nodes {
		n.record.expires = f.now
	}
}
