package editor

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/diff"

	"hornbeamcroft"
)

// Conflict is a section that another edit changed first.
type Conflict struct {
	Section string `json:"section"`
	// Theirs is the section as it is in the store; empty if it was removed.
	Theirs hornbeamcroft.Section `json:"theirs"`
	// Mine is the text that was not written.
	Mine string `json:"mine"`
	// Difference leads from their text to mine, as a unified diff.
	Difference string `json:"difference"`
}

// Diff returns the unified difference of two texts of a section; empty if they are equal.
func Diff(oldName, oldText, newName, newText string) string {
	return string(diff.Diff(oldName, withNewline(oldText), newName, withNewline(newText)))
}

// withNewline ends a text with a newline, which unified diffs need.
func withNewline(text string) []byte {
	if text == "" {
		return nil
	}
	return []byte(text + "\n")
}

// names returns the names of all sections that the edit touches.
func (e Edit) names() []string {
	names := slices.Clone(e.Remove)
	for _, s := range e.Write {
		names = append(names, s.Name)
	}
	return names
}

// present reports whether a section that was looked up exists.
func present(s hornbeamcroft.Section) bool { return s.Name != "" && !s.Removed }

// conflicts returns the edited sections that differ from what the edit is based on. A section that already has the
// wanted text is no conflict.
func (e *Editor) conflicts(current hornbeamcroft.StoredDocument) []Conflict {
	if e.Without&DetectConflict != 0 {
		return nil
	}
	var conflicts []Conflict
	for _, name := range e.Edit.names() {
		theirs, _ := find(current.Sections, name)
		mine, writes := find(e.Edit.Write, name)
		same := writes == present(theirs) && mine.Text == theirs.Text
		if same || !e.changed(theirs, mine, name) {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Section: name, Theirs: theirs, Mine: mine.Text,
			Difference: Diff("accepted ["+name+"]", theirs.Text, "yours ["+name+"]", mine.Text),
		})
	}
	return conflicts
}

// changed reports whether theirs is another version than the one that the edit is based on.
func (e *Editor) changed(theirs, mine hornbeamcroft.Section, name string) bool {
	if e.based {
		base, _ := find(e.base.Sections, name)
		return base.Generation != theirs.Generation || base.Writer != theirs.Writer
	}
	return mine.Generation != 0 && mine.Generation != theirs.Generation
}

// checkOwner refuses sections of other owners. The owner of a section may hand it over by writing another owner.
func (e *Editor) checkOwner(current hornbeamcroft.StoredDocument) error {
	for _, name := range e.Edit.names() {
		owned, _ := find(current.Sections, name)
		if !present(owned) {
			owned, _ = find(e.Edit.Write, name)
		}
		if present(owned) && owned.Owner != e.Edit.Owner {
			return errors.Errorf("section [%s] is owned by %q; the edit is made as %q", name, owned.Owner, e.Edit.Owner)
		}
	}
	return nil
}

// merge returns the document with the edit applied, sections ordered by name, and the history entry.
func (e *Editor) merge(current hornbeamcroft.StoredDocument) (hornbeamcroft.StoredDocument, Change) {
	next := hornbeamcroft.StoredDocument{Revision: current.Revision + 1}
	change := Change{Revision: next.Revision, Writer: e.Edit.Writer, Owner: e.Edit.Owner}
	for _, old := range current.Sections {
		mine, writes := find(e.Edit.Write, old.Name)
		switch {
		case slices.Contains(e.Edit.Remove, old.Name) && !old.Removed:
			next.Sections = append(next.Sections, e.removed(old, &change)...)
		case writes && (old.Removed || mine.Text != old.Text):
			next.Sections = append(next.Sections, e.written(mine, old, &change))
		default:
			next.Sections = append(next.Sections, old)
		}
	}
	for _, mine := range e.Edit.Write {
		if _, exists := find(current.Sections, mine.Name); !exists {
			next.Sections = append(next.Sections, e.written(mine, hornbeamcroft.Section{}, &change))
		}
	}
	slices.SortFunc(next.Sections, byName)
	return next, change
}

// written returns the section as this edit writes it and notes it in the history entry.
func (e *Editor) written(mine, old hornbeamcroft.Section, change *Change) hornbeamcroft.Section {
	mine.Generation, mine.Writer = old.Generation+1, e.Edit.Writer
	change.Sections = append(change.Sections, SectionChange{
		Name: mine.Name, Generation: mine.Generation, Before: old.Text, After: mine.Text,
	})
	return mine
}

// removed returns the mark of a removed section and notes it in the history entry.
func (e *Editor) removed(old hornbeamcroft.Section, change *Change) []hornbeamcroft.Section {
	mark := hornbeamcroft.Section{Name: old.Name, Generation: old.Generation + 1, Writer: e.Edit.Writer, Removed: true}
	change.Sections = append(change.Sections, SectionChange{
		Name: old.Name, Generation: mark.Generation, Before: old.Text, Removed: true,
	})
	if e.Without&MarkRemoved != 0 {
		return nil
	}
	return []hornbeamcroft.Section{mark}
}
