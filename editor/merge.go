package editor

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/diff"

	"hornbeamcroft"
)

// Conflict is a section of the edit that another edit changed first.
type Conflict struct {
	Section string `json:"section"`
	// Theirs is the section in the store. It has no text if it was removed, and is empty if it does not exist.
	Theirs hornbeamcroft.Section `json:"theirs"`
	// Mine is the text that the edit would have written; empty if the edit removes the section.
	Mine string `json:"mine"`
	// Difference is the unified diff from the text of Theirs to Mine.
	Difference string `json:"difference"`
}

// Diff returns the unified diff of two texts of a section. It is empty if the texts are equal.
func Diff(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, withNewline(oldText), newName, withNewline(newText)))
}

// withNewline returns the text with the final newline that a unified diff expects, or nil for an empty text.
func withNewline(text string) []byte {
	if text == "" {
		return nil
	}
	return []byte(text + "\n")
}

// sectionNames returns the names of all sections that the edit removes or writes.
func (e Edit) sectionNames() []string {
	names := slices.Clone(e.Remove)
	for _, s := range e.Write {
		names = append(names, s.Name)
	}
	return names
}

// exists reports whether a section that findSection returned exists and is not removed.
func exists(s hornbeamcroft.Section) bool { return s.Name != "" && !s.Removed }

// conflicts returns the sections of the edit that others changed since the version on which the edit is based. A
// section that already has the wanted text is no conflict.
func (e *Editor) conflicts(current hornbeamcroft.StoredDocument) []Conflict {
	if e.Disabled&DetectConflict != 0 {
		return nil
	}
	var conflicts []Conflict
	for _, name := range e.Edit.sectionNames() {
		theirs, _ := findSection(current.Sections, name)
		mine, writes := findSection(e.Edit.Write, name)
		same := writes == exists(theirs) && mine.Text == theirs.Text
		if same || !e.changedSinceBase(theirs, mine, name) {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Section: name, Theirs: theirs, Mine: mine.Text,
			Difference: Diff("accepted ["+name+"]", theirs.Text, "yours ["+name+"]", mine.Text),
		})
	}
	return conflicts
}

// changedSinceBase reports whether theirs, the stored section, is another version than the one on which the edit is
// based: that of the first read, or before the first read that of mine.Generation, if it is set.
func (e *Editor) changedSinceBase(theirs, mine hornbeamcroft.Section, name string) bool {
	if e.hasBase {
		base, _ := findSection(e.base.Sections, name)
		return base.Generation != theirs.Generation || base.Writer != theirs.Writer
	}
	return mine.Generation != 0 && mine.Generation != theirs.Generation
}

// checkOwner returns an error if the edit touches a section of another owner, or writes a new one for another owner.
// The owner of a section may transfer it by writing another owner.
func (e *Editor) checkOwner(current hornbeamcroft.StoredDocument) error {
	for _, name := range e.Edit.sectionNames() {
		owned, _ := findSection(current.Sections, name)
		if !exists(owned) {
			owned, _ = findSection(e.Edit.Write, name)
		}
		if exists(owned) && owned.Owner != e.Edit.Owner {
			return errors.Errorf("section [%s] is owned by %q; the edit is made as %q", name, owned.Owner, e.Edit.Owner)
		}
	}
	return nil
}

// merge returns the document with the edit applied, its sections ordered by name, and the history entry of the edit.
func (e *Editor) merge(current hornbeamcroft.StoredDocument) (hornbeamcroft.StoredDocument, HistoryEntry) {
	next := hornbeamcroft.StoredDocument{Revision: current.Revision + 1}
	entry := HistoryEntry{Revision: next.Revision, Writer: e.Edit.Writer, Owner: e.Edit.Owner}
	for _, old := range current.Sections {
		mine, writes := findSection(e.Edit.Write, old.Name)
		switch {
		case slices.Contains(e.Edit.Remove, old.Name) && !old.Removed:
			next.Sections = append(next.Sections, e.removeSection(old, &entry)...)
		case writes && (old.Removed || mine.Text != old.Text):
			next.Sections = append(next.Sections, e.writeSection(mine, old, &entry))
		default:
			next.Sections = append(next.Sections, old)
		}
	}
	for _, mine := range e.Edit.Write {
		if _, found := findSection(current.Sections, mine.Name); !found {
			next.Sections = append(next.Sections, e.writeSection(mine, hornbeamcroft.Section{}, &entry))
		}
	}
	slices.SortFunc(next.Sections, byName)
	return next, entry
}

// writeSection returns the section mine with the next generation after old and the edit's writer ID, and adds the
// change to the history entry.
func (e *Editor) writeSection(mine, old hornbeamcroft.Section, entry *HistoryEntry) hornbeamcroft.Section {
	mine.Generation, mine.Writer = old.Generation+1, e.Edit.Writer
	entry.Sections = append(entry.Sections, SectionChange{
		Name: mine.Name, Generation: mine.Generation, Before: old.Text, After: mine.Text,
	})
	return mine
}

// removeSection returns the tombstone of the section old, or nothing without MarkRemoved, and adds the removal to the
// history entry.
func (e *Editor) removeSection(old hornbeamcroft.Section, entry *HistoryEntry) []hornbeamcroft.Section {
	tombstone := hornbeamcroft.Section{Name: old.Name, Generation: old.Generation + 1, Writer: e.Edit.Writer, Removed: true}
	entry.Sections = append(entry.Sections, SectionChange{
		Name: old.Name, Generation: tombstone.Generation, Before: old.Text, Removed: true,
	})
	if e.Disabled&MarkRemoved != 0 {
		return nil
	}
	return []hornbeamcroft.Section{tombstone}
}
