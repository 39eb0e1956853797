// Package editor decides what an operators' edit of the document does: merge it, write it, report a conflict, or tell
// whether a write whose answer was lost took effect. It performs no input or output; package applier drives it.
package editor

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Mechanism names a protection that a test leaves out to show what it is for. The zero value leaves out none.
type Mechanism uint8

// The mechanisms.
const (
	// CompareWriter compares the writer id when an answer was lost.
	CompareWriter Mechanism = 1 << iota
	// CompareGeneration compares the generation when an answer was lost.
	CompareGeneration
	// DetectConflict compares edited sections with those of the first read.
	DetectConflict
	// CompareHighest refuses to write while the store is behind the nodes.
	CompareHighest
	// MarkRemoved keeps a mark of removed sections in the document.
	MarkRemoved
)

// Edit is a requested change of one section or more.
type Edit struct {
	// Owner is the team on whose behalf the edit is made; it must own every section that the edit touches.
	Owner string
	// Writer identifies this edit; it is unique and stays the same when the edit is repeated.
	Writer string
	// Write holds the new sections: name, owner and text. A Generation above zero is the one the text is based on; the
	// edit is refused if the section has another one.
	Write []hornbeamcroft.Section
	// Remove names sections to remove.
	Remove []string
}

// Step tells the driver what to do next.
type Step uint8

// The steps.
const (
	// StepRead asks for the document, and for the history entry of Planned if that is not zero.
	StepRead Step = iota
	// StepWrite asks to replace the document by Next under the condition that it is the one last read.
	StepWrite
	// StepDone means that Result is final.
	StepDone
)

// Result is the end of an edit.
type Result struct {
	Code hornbeamcroft.Code `json:"code"`
	// Revision is the document's revision that holds the edit, if it was accepted or changes nothing.
	Revision uint64 `json:"revision,omitempty"`
	// Writer is the edit's writer id, for a repetition.
	Writer    string     `json:"writer"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	// Err is the reason of a refusal or of an unknown outcome.
	Err error `json:"-"`
}

// Editor is one edit in progress. Exported fields are set before the first call. It is not safe for concurrent use.
type Editor struct {
	Edit Edit
	// Check validates a whole document; not nil.
	Check func(hornbeamcroft.StoredDocument) error
	// Highest is the highest revision that the nodes report; a store below it is behind and is not written.
	Highest uint64
	// Without is for tests.
	Without Mechanism

	base   hornbeamcroft.StoredDocument
	based  bool
	next   hornbeamcroft.StoredDocument
	change Change
	// condition is the ModRevision under which next was or will be written.
	condition int64
	// pending is set while a write may have taken effect or may still do so.
	pending bool
	result  Result
}

// Planned returns the revision of the write whose outcome is open, or zero.
func (e *Editor) Planned() uint64 {
	if !e.pending {
		return 0
	}
	return e.next.Revision
}

// Next returns the document to write, its history entry, and the ModRevision that the document's key must have.
func (e *Editor) Next() (hornbeamcroft.StoredDocument, Change, int64) {
	return e.next, e.change, e.condition
}

// Result returns the result after StepDone.
func (e *Editor) Result() Result { return e.result }

// Read takes the document as it is in the store with its ModRevision, and the history entry of Planned if it was asked
// for and exists. It returns StepRead if the read was stale.
func (e *Editor) Read(current hornbeamcroft.StoredDocument, modRevision int64, entry *Change) Step {
	if e.pending {
		if e.accepted(current, entry) {
			return e.done(Result{Code: hornbeamcroft.CodeAccepted, Revision: e.next.Revision})
		}
		// After a later write of the key, the condition of the earlier one can no longer hold: it did not and will not
		// take effect. A lower ModRevision is a stale read or an older copy and proves nothing.
		e.pending = modRevision <= e.condition
	}
	if current.Revision < e.Highest && e.Without&CompareHighest == 0 {
		return e.done(Result{Code: hornbeamcroft.CodeStoreBehind, Err: errors.Errorf(
			"the store has revision %d, the nodes have %d", current.Revision, e.Highest)})
	}
	if current.Revision < e.base.Revision && e.Without&CompareHighest == 0 {
		return StepRead
	}
	return e.plan(current, modRevision)
}

// plan merges the edit into current and decides whether to write.
func (e *Editor) plan(current hornbeamcroft.StoredDocument, modRevision int64) Step {
	if conflicts := e.conflicts(current); len(conflicts) > 0 {
		return e.done(Result{Code: hornbeamcroft.CodeConflict, Conflicts: conflicts, Err: errors.New("sections changed meanwhile")})
	}
	if !e.based {
		e.base, e.based = current, true
	}
	if err := e.checkOwner(current); err != nil {
		return e.done(Result{Code: hornbeamcroft.CodeNotOwner, Err: err})
	}
	e.next, e.change = e.merge(current)
	if len(e.change.Sections) == 0 {
		return e.done(Result{Code: hornbeamcroft.CodeUnchanged, Revision: current.Revision})
	}
	if err := e.Check(e.next); err != nil {
		return e.done(Result{Code: hornbeamcroft.CodeInvalid, Err: err})
	}
	e.condition = modRevision
	return StepWrite
}

// Written takes the outcome of a write: whether its condition held, or the error.
func (e *Editor) Written(succeeded bool, err error) Step {
	switch {
	case err == nil && succeeded:
		e.pending = false
		return e.done(Result{Code: hornbeamcroft.CodeAccepted, Revision: e.next.Revision})
	case err != nil && !errors.Is(err, hornbeamcroft.ErrStoreUnreachable):
		e.pending = true
	}
	return StepRead
}

// ErrStale means that a read returned an older document than an earlier read of the same edit.
var ErrStale = errors.New("the store returned an older document than before")

// GiveUp ends the edit because the store cannot be reached, or because its reads stay stale.
func (e *Editor) GiveUp(err error) Step {
	if errors.Is(err, ErrStale) {
		return e.done(Result{Code: hornbeamcroft.CodeStoreBehind, Err: err})
	}
	return e.done(Result{Code: hornbeamcroft.CodeStoreUnreachable, Err: err})
}

// Refuse ends the edit because the document in the store cannot be trusted.
func (e *Editor) Refuse(err error) Step {
	return e.done(Result{Code: hornbeamcroft.CodeInvalid, Err: err})
}

// done ends the edit. While a write is open, a refusal would claim too much, so the result is unknown.
func (e *Editor) done(r Result) Step {
	r.Writer = e.Edit.Writer
	if e.pending && r.Code != hornbeamcroft.CodeAccepted {
		r.Code, r.Revision = hornbeamcroft.CodeWriteUnknown, 0
	}
	e.result = r
	return StepDone
}

// accepted reports whether the open write took effect. The history entry decides if there is one, since the section may
// have been replaced again; otherwise the writer id and generation of each section do.
func (e *Editor) accepted(current hornbeamcroft.StoredDocument, entry *Change) bool {
	if entry != nil && e.Without&(CompareWriter|CompareGeneration) == 0 {
		return entry.Revision == e.next.Revision && entry.Writer == e.Edit.Writer
	}
	for _, s := range e.Edit.Write {
		want, _ := find(e.next.Sections, s.Name)
		got, _ := find(current.Sections, s.Name)
		if got.Writer != want.Writer && e.Without&CompareWriter == 0 {
			return false
		}
		if got.Generation != want.Generation && e.Without&CompareGeneration == 0 {
			return false
		}
	}
	return len(e.Edit.Write) > 0
}

func find(sections []hornbeamcroft.Section, name string) (hornbeamcroft.Section, bool) {
	i := slices.IndexFunc(sections, func(s hornbeamcroft.Section) bool { return s.Name == name })
	if i < 0 {
		return hornbeamcroft.Section{}, false
	}
	return sections[i], true
}

func byName(a, b hornbeamcroft.Section) int { return strings.Compare(a.Name, b.Name) }
