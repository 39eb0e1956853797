package distributor

import (
	"slices"

	"hornbeamcroft"
)

// maxSteps is the number of accepted changes for which deltas can be made. At 3,700 changes a day, one every 23 s, it
// covers about 25 minutes without contact.
const maxSteps = 64

// step is one change of the newest document, by names of sections.
type step struct {
	from, to uint64
	changed  []string
	removed  []string
}

// steps is the list of the last changes, oldest first; each begins where the one before it ended.
type steps []step

// add notes the change from old to stored. The sections of both are ordered by name.
func (ss *steps) add(old, stored hornbeamcroft.StoredDocument) {
	if old.Revision == 0 {
		return
	}
	s := step{from: old.Revision, to: stored.Revision}
	before := index(old.Sections)
	for _, section := range stored.Sections {
		if previous, ok := before[section.Name]; !ok || previous != section {
			s.changed = append(s.changed, section.Name)
		}
		delete(before, section.Name)
	}
	for name := range before {
		s.removed = append(s.removed, name)
	}
	*ss = append(*ss, s)
	if excess := len(*ss) - maxSteps; excess > 0 {
		*ss = slices.Clone((*ss)[excess:])
	}
}

func index(sections []hornbeamcroft.Section) map[string]hornbeamcroft.Section {
	m := make(map[string]hornbeamcroft.Section, len(sections))
	for _, s := range sections {
		m[s.Name] = s
	}
	return m
}

// since returns the names of the sections touched after a revision, ordered, and the revision from which on they are
// complete. It reports false if the steps do not reach back that far.
func (ss steps) since(revision uint64) (names []string, from uint64, ok bool) {
	for i := len(ss) - 1; i >= 0 && ss[i].to > revision; i-- {
		names = append(names, ss[i].changed...)
		names = append(names, ss[i].removed...)
		from = ss[i].from
	}
	slices.Sort(names)
	return slices.Compact(names), from, from > 0 && from <= revision
}

// catchUp returns what leads from another node's document to the newest one.
func (d *Distributor) catchUp(o Offer) []Message {
	if !o.NeedWhole {
		if m, ok := d.delta(o.Revision); ok {
			return []Message{{Delta: &m}}
		}
	}
	return d.whole()
}

// delta returns the delta from a revision on; false if there is none or it is too large for a message.
func (d *Distributor) delta(revision uint64) (Delta, bool) {
	names, from, ok := d.steps.since(revision)
	if !ok {
		return Delta{}, false
	}
	m := Delta{From: from, To: d.newest.Revision, Hash: d.hash, Proof: d.newest.Proof}
	size, sections := 0, index(d.newest.Sections)
	for _, name := range names {
		if s, exists := sections[name]; exists {
			m.Changed = append(m.Changed, s)
			size += sizeOf(s)
		} else {
			m.Removed = append(m.Removed, name)
			size += len(name) + sectionOverhead
		}
	}
	return m, size <= MaxMessage && len(names) <= maxSections
}

// apply returns the document that the delta leads to.
func (m Delta) apply(old hornbeamcroft.StoredDocument) hornbeamcroft.StoredDocument {
	replaced := index(m.Changed)
	stored := hornbeamcroft.StoredDocument{Revision: m.To, Sections: slices.Clone(m.Changed), Proof: m.Proof}
	for _, s := range old.Sections {
		if _, ok := replaced[s.Name]; !ok && !slices.Contains(m.Removed, s.Name) {
			stored.Sections = append(stored.Sections, s)
		}
	}
	slices.SortFunc(stored.Sections, byName)
	return stored
}
