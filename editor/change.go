package editor

import (
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// HistoryLength is the number of accepted edits that the store keeps.
const HistoryLength = 200

// maxChangeSections bounds the sections of one edit in a history entry.
const maxChangeSections = 10_000

// Change is the history entry of one accepted edit. It is written in the transaction that writes the document.
type Change struct {
	// Revision is the document's revision after the edit.
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Writer   string `cbor:"2,keyasint" json:"writer"`
	Owner    string `cbor:"3,keyasint" json:"owner"`
	// At is the wall-clock time of the writer in Unix milliseconds; it informs people and decides nothing.
	At       int64           `cbor:"4,keyasint" json:"at"`
	Sections []SectionChange `cbor:"5,keyasint" json:"sections"`
}

// SectionChange is one section of a Change.
type SectionChange struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Generation uint64 `cbor:"2,keyasint,omitempty" json:"generation,omitempty"`
	// Before is empty for a new section.
	Before  string `cbor:"3,keyasint,omitempty" json:"before,omitempty"`
	After   string `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	Removed bool   `cbor:"5,keyasint,omitempty" json:"removed,omitempty"`
}

// Check reports whether the entry is well formed.
func (c Change) Check() error {
	if c.Revision == 0 || len(c.Sections) > maxChangeSections {
		return errors.Errorf("history entry: revision %d with %d sections: allowed are revisions from 1 and %d sections",
			c.Revision, len(c.Sections), maxChangeSections)
	}
	return nil
}

// HistoryKey returns the key in the store of a revision's history entry.
func HistoryKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", hornbeamcroft.KeyHistoryPrefix, revision)
}

// Matches reports whether the entry can be that of the edit: it holds no section that the edit does not write or remove
// in the same way. Sections that already had the wanted text are not in the entry.
func (c Change) Matches(edit Edit) bool {
	for _, s := range c.Sections {
		mine, writes := find(edit.Write, s.Name)
		if s.Removed != slices.Contains(edit.Remove, s.Name) || !s.Removed && (!writes || mine.Text != s.After) {
			return false
		}
	}
	return true
}
