package distributor

import (
	"slices"

	"hornbeamcroft"
)

// maxLoggedChanges is the number of accepted changes that the change log keeps, and so the number of changes that a
// delta can cover. At 3,700 changes a day, one every 23 s, it serves a node that had no contact for about 25 minutes.
const maxLoggedChanges = 64

// loggedChange records which sections changed between two successive revisions of the newest document, by section name.
type loggedChange struct {
	from, to uint64
	changed  []string
	removed  []string
}

// changeLog lists the last changes of the newest document, oldest first. Each change starts at the revision at which
// the previous one ended.
type changeLog []loggedChange

// add appends the change from old to stored and drops the oldest change when the log is full. A first document, for
// which old has revision 0, adds nothing.
func (log *changeLog) add(old, stored hornbeamcroft.StoredDocument) {
	if old.Revision == 0 {
		return
	}
	s := loggedChange{from: old.Revision, to: stored.Revision}
	before := sectionsByName(old.Sections)
	for _, section := range stored.Sections {
		if previous, ok := before[section.Name]; !ok || previous != section {
			s.changed = append(s.changed, section.Name)
		}
		delete(before, section.Name)
	}
	for name := range before {
		s.removed = append(s.removed, name)
	}
	*log = append(*log, s)
	if excess := len(*log) - maxLoggedChanges; excess > 0 {
		*log = slices.Clone((*log)[excess:])
	}
}

func sectionsByName(sections []hornbeamcroft.Section) map[string]hornbeamcroft.Section {
	m := make(map[string]hornbeamcroft.Section, len(sections))
	for _, s := range sections {
		m[s.Name] = s
	}
	return m
}

// changedSince returns the names of the sections that changed or were removed after a revision, ordered, and the
// revision from which on the names are complete. ok is false if the log does not reach back to the revision.
func (log changeLog) changedSince(revision uint64) (names []string, from uint64, ok bool) {
	for i := len(log) - 1; i >= 0 && log[i].to > revision; i-- {
		names = append(names, log[i].changed...)
		names = append(names, log[i].removed...)
		from = log[i].from
	}
	slices.Sort(names)
	return slices.Compact(names), from, from > 0 && from <= revision
}

// updateFor returns the messages that bring a node with the document of the digest to the newest document: a delta if
// there is one, otherwise the whole document.
func (d *Distributor) updateFor(digest Digest) []Message {
	if !digest.NeedWhole {
		if m, ok := d.deltaFrom(digest.Revision); ok {
			return []Message{{Delta: &m}}
		}
	}
	return d.documentParts()
}

// deltaFrom returns the delta from a revision to the newest document. It reports false if the change log does not reach
// back to the revision or if the delta is too large for one message.
func (d *Distributor) deltaFrom(revision uint64) (Delta, bool) {
	names, from, ok := d.changes.changedSince(revision)
	if !ok {
		return Delta{}, false
	}
	m := Delta{From: from, To: d.newest.Revision, Hash: d.hash, Proof: d.newest.Proof}
	size, sections := 0, sectionsByName(d.newest.Sections)
	for _, name := range names {
		if s, exists := sections[name]; exists {
			m.Changed = append(m.Changed, s)
			size += maxEncodedSize(s)
		} else {
			m.Removed = append(m.Removed, name)
			size += len(name) + sectionOverhead
		}
	}
	return m, size <= MaxMessage && len(names) <= maxSections
}

// apply returns the document that results from applying the delta to old.
func (m Delta) apply(old hornbeamcroft.StoredDocument) hornbeamcroft.StoredDocument {
	replaced := sectionsByName(m.Changed)
	stored := hornbeamcroft.StoredDocument{Revision: m.To, Sections: slices.Clone(m.Changed), Proof: m.Proof}
	for _, s := range old.Sections {
		if _, ok := replaced[s.Name]; !ok && !slices.Contains(m.Removed, s.Name) {
			stored.Sections = append(stored.Sections, s)
		}
	}
	slices.SortFunc(stored.Sections, byName)
	return stored
}
