// Package editor decides how an operator's edit of the document proceeds: it merges the edit into the stored document,
// detects conflicts with other edits, and finds out whether a write without a response took effect. It performs no
// input or output; package applier reads and writes the store for it.
package editor

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Mechanism is a set of protections that a test disables to show which failures they prevent. The zero value disables
// none.
type Mechanism uint8

// The mechanisms that Editor.Disabled can contain.
const (
	// CompareWriter compares the writer IDs of sections to find out whether a write without a response took effect.
	CompareWriter Mechanism = 1 << iota
	// CompareGeneration compares the generations of sections to find out whether a write without a response took effect.
	CompareGeneration
	// DetectConflict compares edited sections with those of the first read.
	DetectConflict
	// CompareHighest refuses to write while the store holds an older document than the nodes, and ignores stale reads.
	CompareHighest
	// MarkRemoved keeps removed sections in the document as tombstones.
	MarkRemoved
)

// Edit is a requested change of one section or more.
type Edit struct {
	// Owner is the team on whose behalf the edit is made; it must own every section that the edit touches.
	Owner string
	// Writer is the writer ID, a unique identifier of the edit that stays the same when the edit is repeated.
	Writer string
	// Write holds the name, owner and text of each section to write. A Generation above zero is that of the version on
	// which the text is based; the edit conflicts if the stored section has another generation.
	Write []hornbeamcroft.Section
	// Remove holds the names of the sections to remove.
	Remove []string
}

// Step is the operation that the caller of an Editor must perform next.
type Step uint8

// The steps.
const (
	// StepRead means that the caller must read the document, and the history entry of revision PendingRevision if that
	// is not zero, and then call Read.
	StepRead Step = iota
	// StepWrite means that the caller must replace the document by that of Next, under the condition that the stored
	// document is still the one last read, and then call Written.
	StepWrite
	// StepDone means that the edit has ended and Result returns its result.
	StepDone
)

// Result is the result of an edit.
type Result struct {
	Code hornbeamcroft.Code `json:"code"`
	// Revision is the revision of the document that holds the edit; zero unless the edit was accepted or changes nothing.
	Revision uint64 `json:"revision,omitempty"`
	// Writer is the writer ID of the edit, with which the edit can be repeated.
	Writer    string     `json:"writer"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Err is the reason why the edit was refused or why its outcome is unknown.
	Err error `json:"-"`
}

// Editor is one edit in progress. Exported fields are set before the first call. It is not safe for concurrent use.
type Editor struct {
	Edit Edit
	// Check validates a whole document before it is written; it must not be nil.
	Check func(hornbeamcroft.StoredDocument) error
	// HighestRevision is the highest document revision that the nodes report. A store with a lower revision is not
	// written, since it is behind.
	HighestRevision uint64
	// Disabled holds the mechanisms that a test disables.
	Disabled Mechanism

	// base is the document of the first read without a conflict, with which later reads are compared; it is valid if
	// hasBase is set.
	base    hornbeamcroft.StoredDocument
	hasBase bool
	// next and entry are the document and the history entry of the last write.
	next  hornbeamcroft.StoredDocument
	entry HistoryEntry
	// expectedModRevision is the ModRevision of the document's key on which the write of next is conditional.
	expectedModRevision int64
	// pending is set while the outcome of the write of next is unknown: it may have taken effect or may still do so.
	pending bool
	result  Result
}

// PendingRevision returns the document revision of the pending write, the one whose outcome is unknown, or zero if no
// write is pending.
func (e *Editor) PendingRevision() uint64 {
	if !e.pending {
		return 0
	}
	return e.next.Revision
}

// Next returns the document to write, its history entry, and the ModRevision that the document's key must have for the
// write to take effect.
func (e *Editor) Next() (hornbeamcroft.StoredDocument, HistoryEntry, int64) {
	return e.next, e.entry, e.expectedModRevision
}

// Result returns the result of the edit. It is valid after StepDone.
func (e *Editor) Result() Result { return e.result }

// Read processes the document that was read from the store, the ModRevision of its key, and the history entry of
// revision PendingRevision, or nil if it was not asked for or does not exist. It returns StepRead if the read was
// stale: the document is older than that of the first read.
func (e *Editor) Read(current hornbeamcroft.StoredDocument, modRevision int64, entry *HistoryEntry) Step {
	if e.pending {
		if e.pendingWriteApplied(current, entry) {
			return e.finish(Result{Code: hornbeamcroft.CodeAccepted, Revision: e.next.Revision})
		}
		// The pending write was not found in the document. If the key was written since, the condition of the pending
		// write cannot hold any more, so that it did not and will not take effect. A ModRevision that is not higher, as
		// from a stale read or an older copy, proves nothing.
		e.pending = modRevision <= e.expectedModRevision
	}
	if current.Revision < e.HighestRevision && e.Disabled&CompareHighest == 0 {
		return e.finish(Result{Code: hornbeamcroft.CodeStoreBehind, Err: errors.Errorf(
			"the store has revision %d, the nodes have %d", current.Revision, e.HighestRevision)})
	}
	if current.Revision < e.base.Revision && e.Disabled&CompareHighest == 0 {
		return StepRead
	}
	return e.prepareWrite(current, modRevision)
}

// prepareWrite merges the edit into current and checks the result. It returns StepWrite if there is something to write,
// and ends the edit otherwise.
func (e *Editor) prepareWrite(current hornbeamcroft.StoredDocument, modRevision int64) Step {
	if conflicts := e.conflicts(current); len(conflicts) > 0 {
		return e.finish(Result{
			Code: hornbeamcroft.CodeConflict, Conflicts: conflicts, Err: errors.New("another edit changed the same sections"),
		})
	}
	if !e.hasBase {
		e.base, e.hasBase = current, true
	}
	if err := e.checkOwner(current); err != nil {
		return e.finish(Result{Code: hornbeamcroft.CodeNotOwner, Err: err})
	}
	e.next, e.entry = e.merge(current)
	if len(e.entry.Sections) == 0 {
		return e.finish(Result{Code: hornbeamcroft.CodeUnchanged, Revision: current.Revision})
	}
	if err := e.Check(e.next); err != nil {
		return e.finish(Result{Code: hornbeamcroft.CodeInvalid, Err: err})
	}
	e.expectedModRevision = modRevision
	return StepWrite
}

// Written processes the outcome of a write: whether its condition held, or the error. After an error other than
// hornbeamcroft.ErrStoreUnreachable the write is pending, since it may have taken effect.
func (e *Editor) Written(succeeded bool, err error) Step {
	switch {
	case err == nil && succeeded:
		e.pending = false
		return e.finish(Result{Code: hornbeamcroft.CodeAccepted, Revision: e.next.Revision})
	case err != nil && !errors.Is(err, hornbeamcroft.ErrStoreUnreachable):
		e.pending = true
	}
	return StepRead
}

// ErrStale means that a read returned an older document than an earlier read for the same edit.
var ErrStale = errors.New("the store returned an older document than an earlier read")

// Abort ends the edit after too many attempts: because reads stayed stale if err is ErrStale, otherwise because the
// store could not be reached or other edits kept preceding the write.
func (e *Editor) Abort(err error) Step {
	if errors.Is(err, ErrStale) {
		return e.finish(Result{Code: hornbeamcroft.CodeStoreBehind, Err: err})
	}
	return e.finish(Result{Code: hornbeamcroft.CodeStoreUnreachable, Err: err})
}

// Refuse ends the edit as invalid, for example because the proof of the stored document is wrong.
func (e *Editor) Refuse(err error) Step {
	return e.finish(Result{Code: hornbeamcroft.CodeInvalid, Err: err})
}

// finish ends the edit with a result. While a write is pending, only acceptance is certain, so any other result becomes
// CodeWriteUnknown.
func (e *Editor) finish(r Result) Step {
	r.Writer = e.Edit.Writer
	if e.pending && r.Code != hornbeamcroft.CodeAccepted {
		r.Code, r.Revision = hornbeamcroft.CodeWriteUnknown, 0
	}
	e.result = r
	return StepDone
}

// pendingWriteApplied reports whether the pending write is known to have taken effect. If there is a history entry, it
// decides, since a later edit may have replaced the sections again. Otherwise the writer ID and the generation of each
// written section must be those of the pending write; an edit that only removes sections then counts as not applied.
func (e *Editor) pendingWriteApplied(current hornbeamcroft.StoredDocument, entry *HistoryEntry) bool {
	if entry != nil && e.Disabled&(CompareWriter|CompareGeneration) == 0 {
		return entry.Revision == e.next.Revision && entry.Writer == e.Edit.Writer
	}
	for _, s := range e.Edit.Write {
		want, _ := findSection(e.next.Sections, s.Name)
		got, _ := findSection(current.Sections, s.Name)
		if got.Writer != want.Writer && e.Disabled&CompareWriter == 0 {
			return false
		}
		if got.Generation != want.Generation && e.Disabled&CompareGeneration == 0 {
			return false
		}
	}
	return len(e.Edit.Write) > 0
}

// findSection returns the section with the given name and whether it exists.
func findSection(sections []hornbeamcroft.Section, name string) (hornbeamcroft.Section, bool) {
	i := slices.IndexFunc(sections, func(s hornbeamcroft.Section) bool { return s.Name == name })
	if i < 0 {
		return hornbeamcroft.Section{}, false
	}
	return sections[i], true
}

func byName(a, b hornbeamcroft.Section) int { return strings.Compare(a.Name, b.Name) }
