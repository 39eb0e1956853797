package distributor

import (
	"slices"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Documents diverge if a store is restored from an old copy and edited before the nodes' newer document reaches it. Then
// two documents hold accepted edits that the other lacks. As generations only rise, each section tells which one is the
// newer, and a merged document with a higher revision holds both edits.

// forked reports whether o is another document of the same revision that is not merged yet.
func (d *Distributor) forked(o Offer) bool {
	return o.Revision != 0 && o.Revision == d.newest.Revision && o.Hash != d.hash && o != d.fork && d.Without&MergeDiverged == 0
}

// merge takes another document of the same revision. The merged document is written even if it has the content of the
// newest, since the other one may be that of the store.
func (d *Distributor) merge(other hornbeamcroft.StoredDocument, o Offer) Actions {
	if !d.forked(o) {
		return Actions{}
	}
	d.fork = o
	if err := d.Check(other); err != nil {
		return Actions{Err: errors.Wrapf(err, "another document of revision %d refused", o.Revision)}
	}
	return d.propose(newer(d.base(), other), true)
}

// keepEdits compares the newest document with the one that it replaced.
func (d *Distributor) keepEdits(old hornbeamcroft.StoredDocument) Actions {
	if d.merged.Revision != 0 {
		old = d.merged
	}
	d.merged, d.fork = hornbeamcroft.StoredDocument{}, Offer{}
	if d.Without&(MergeDiverged|HigherOnly) != 0 {
		return Actions{}
	}
	return d.propose(newer(d.newest, old), false)
}

// repair returns what is written to a store that is behind: the newest document, or a merge if the store was edited after
// it was restored.
func (d *Distributor) repair(stored hornbeamcroft.StoredDocument, modRevision int64) Actions {
	if d.Without&Repair != 0 {
		return Actions{}
	}
	// A document that does not pass Check may come from somebody without the operators' key, and is not merged.
	if d.Without&MergeDiverged == 0 && d.Check(stored) == nil {
		if actions := d.propose(newer(d.base(), stored), false); actions.Err != nil {
			return actions
		}
	}
	if d.merged.Revision != 0 {
		return Actions{Write: &Write{Document: d.merged, ModRevision: modRevision, Merge: true}}
	}
	return Actions{Write: &Write{Document: d.newest, ModRevision: modRevision}}
}

// base returns the document that a merge begins with.
func (d *Distributor) base() hornbeamcroft.StoredDocument {
	if d.merged.Revision != 0 {
		return d.merged
	}
	return d.newest
}

// propose makes a document the one to write, if it passes Check. Without same, one with the content of the newest is not
// written.
func (d *Distributor) propose(sections []hornbeamcroft.Section, same bool) Actions {
	if !same && slices.Equal(sections, d.newest.Sections) {
		return Actions{}
	}
	merged := hornbeamcroft.StoredDocument{Revision: d.newest.Revision + 1, Sections: sections}
	err := error(nil)
	if d.Sign != nil {
		err = d.Sign(&merged)
	}
	if err == nil {
		err = d.Check(merged)
	}
	if err != nil {
		return Actions{Err: errors.Wrap(err, "diverged documents cannot be merged; an operator decides")}
	}
	d.merged = merged
	return Actions{ReadStore: true}
}

// newer returns the sections of a with those of b that have a higher generation. At the same generation the greater
// writer id wins on all nodes; ids begin with the time, so this is the later edit. Sections that only one of them has are
// kept, since removed sections leave a mark.
func newer(a, b hornbeamcroft.StoredDocument) []hornbeamcroft.Section {
	sections, others := slices.Clone(a.Sections), index(b.Sections)
	for i, s := range sections {
		o, ok := others[s.Name]
		if ok && (o.Generation > s.Generation || o.Generation == s.Generation && o.Writer > s.Writer) {
			sections[i] = o
		}
		delete(others, s.Name)
	}
	for _, o := range others {
		sections = append(sections, o)
	}
	slices.SortFunc(sections, byName)
	return sections
}
