package editor

import (
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// HistoryLength is the number of document revisions, counted back from the newest one, whose history entries the store
// keeps.
const HistoryLength = 200

// maxEntrySections is the greatest number of sections in one history entry.
const maxEntrySections = 10_000

// HistoryEntry is the record of one accepted edit, or of a repair of the store by package follower. It is written in the
// same transaction as the document. The entry of a repair has no Owner, At and Sections.
type HistoryEntry struct {
	// Revision is the document's revision after the edit.
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	// Writer is the writer ID of the edit, or follower.RepairWriter in the entry of a repair.
	Writer string `cbor:"2,keyasint" json:"writer"`
	// Owner is the team on whose behalf the edit was made.
	Owner string `cbor:"3,keyasint" json:"owner"`
	// At is the wall-clock time of the writer in Unix milliseconds. It is shown to operators and not used in decisions.
	At int64 `cbor:"4,keyasint" json:"at"`
	// Sections holds the sections that the edit changed, not those that already had the wanted text.
	Sections []SectionChange `cbor:"5,keyasint" json:"sections"`
}

// SectionChange is the change of one section in a history entry.
type SectionChange struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Generation is the generation of the section after the edit.
	Generation uint64 `cbor:"2,keyasint,omitempty" json:"generation,omitempty"`
	// Before is the text before the edit; empty for a new section.
	Before string `cbor:"3,keyasint,omitempty" json:"before,omitempty"`
	// After is the text after the edit; empty for a removed section.
	After   string `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	Removed bool   `cbor:"5,keyasint,omitempty" json:"removed,omitempty"`
}

// Check returns an error if the entry is malformed.
func (c HistoryEntry) Check() error {
	if c.Revision == 0 || len(c.Sections) > maxEntrySections {
		return errors.Errorf("history entry: revision %d with %d sections: revision must be at least 1, sections at most %d",
			c.Revision, len(c.Sections), maxEntrySections)
	}
	return nil
}

// HistoryKey returns the key in the store of the history entry of a revision.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", hornbeamcroft.KeyHistoryPrefix, revision)
}

// Matches reports whether the entry can be the history entry of the edit: every section in the entry is written with
// the same text or removed by the edit. The edit may have more sections, since those that already had the wanted text
// are not in the entry.
func (c HistoryEntry) Matches(edit Edit) bool {
	for _, s := range c.Sections {
		mine, writes := findSection(edit.Write, s.Name)
		if s.Removed != slices.Contains(edit.Remove, s.Name) || !s.Removed && (!writes || mine.Text != s.After) {
			return false
		}
	}
	return true
}
