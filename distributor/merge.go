package distributor

import (
	"slices"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Documents diverge if the store is restored from an old copy and edited before a node writes its newer document back.
// Then each of two documents holds accepted edits that the other lacks. The generation of a section only rises, so it
// shows which of two versions of a section is newer, and a merged document with a higher revision holds the edits of
// both.

// diverged reports whether the digest identifies a document that has the revision of the newest one but another hash
// and was not handled before.
func (d *Distributor) diverged(digest Digest) bool {
	return digest.Revision != 0 && digest.Revision == d.newest.Revision && digest.Hash != d.hash && digest != d.lastDiverged && d.Disabled&MergeDiverged == 0
}

// mergeDiverged plans the merge with another document of the newest document's revision. The merged document is written
// even if its content equals that of the newest one, since the store may hold the other document.
func (d *Distributor) mergeDiverged(other hornbeamcroft.StoredDocument, digest Digest) Actions {
	if !d.diverged(digest) {
		return Actions{}
	}
	d.lastDiverged = digest
	if err := d.Check(other); err != nil {
		return Actions{Err: errors.Wrapf(err, "diverged document of revision %d refused", digest.Revision)}
	}
	return d.planMerge(mergeSections(d.mergeBase(), other), true)
}

// mergeReplaced plans a merge if the newest document lacks edits of the document that it replaced, or of the pending
// merge if there is one.
func (d *Distributor) mergeReplaced(old hornbeamcroft.StoredDocument) Actions {
	if d.pendingMerge.Revision != 0 {
		old = d.pendingMerge
	}
	d.pendingMerge, d.lastDiverged = hornbeamcroft.StoredDocument{}, Digest{}
	if d.Disabled&(MergeDiverged|HigherOnly) != 0 {
		return Actions{}
	}
	return d.planMerge(mergeSections(d.newest, old), false)
}

// repair returns the write for a store that is behind: the newest document, or a merge if the store was edited after it
// was restored.
func (d *Distributor) repair(stored hornbeamcroft.StoredDocument, modRevision int64) Actions {
	if d.Disabled&Repair != 0 {
		return Actions{}
	}
	// A document that does not pass Check is not merged, since it may have been written without the operators' key.
	if d.Disabled&MergeDiverged == 0 && d.Check(stored) == nil {
		if actions := d.planMerge(mergeSections(d.mergeBase(), stored), false); actions.Err != nil {
			return actions
		}
	}
	if d.pendingMerge.Revision != 0 {
		return Actions{Write: &StoreWrite{Document: d.pendingMerge, ModRevision: modRevision, Merge: true}}
	}
	return Actions{Write: &StoreWrite{Document: d.newest, ModRevision: modRevision}}
}

// mergeBase returns the document that further documents are merged into: the pending merge, or the newest document.
func (d *Distributor) mergeBase() hornbeamcroft.StoredDocument {
	if d.pendingMerge.Revision != 0 {
		return d.pendingMerge
	}
	return d.newest
}

// planMerge makes a document with the given sections the pending merge, if it can be signed and passes Check. If the
// sections equal those of the newest document, it does so only if writeUnchanged is set.
func (d *Distributor) planMerge(sections []hornbeamcroft.Section, writeUnchanged bool) Actions {
	if !writeUnchanged && slices.Equal(sections, d.newest.Sections) {
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
		return Actions{Err: errors.Wrap(err, "diverged documents cannot be merged; an operator must resolve the conflict")}
	}
	d.pendingMerge = merged
	return Actions{ReadStore: true}
}

// mergeSections returns the sections of both documents, ordered by name; of a section that both have, the version with
// the higher generation. At the same generation the greater writer ID wins, so that all nodes choose the same version;
// writer IDs begin with the time, so this is the later edit. A section that only one document has is kept, since a
// removed section stays in its document as a tombstone.
func mergeSections(a, b hornbeamcroft.StoredDocument) []hornbeamcroft.Section {
	sections, others := slices.Clone(a.Sections), sectionsByName(b.Sections)
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
