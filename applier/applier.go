// Package applier applies an edit of the document to the store. It reads the document, lets package editor decide, and
// writes by compare-and-swap. After a lost answer it reads again to find out whether the write took effect. Without
// errors and concurrent writes, an edit takes two calls to the store.
package applier

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/editor"
	"hornbeamcroft/parser"
	"hornbeamcroft/signer"
	"hornbeamcroft/sleeper"
)

// DefaultAttempts is the number of reads after which Apply gives up an edit.
const DefaultAttempts = 10

// retryDelay is the time before the next read after an error. If another write
// was applied first, Apply reads again at once.
const retryDelay = 200 * time.Millisecond

// Applier applies edits. Exported fields are set before the first call.
type Applier struct {
	Store hornbeamcroft.Store
	// Attempts is the number of reads after which Apply gives up; DefaultAttempts if zero.
	Attempts int
	// Signer adds the proof to the documents that are written, and checks the proof of the document that is edited.
	Signer signer.Signer
	// AcceptUnproven allows edits of a document whose proof is wrong or missing. The written document has a valid
	// proof.
	AcceptUnproven bool
	// Now returns the time for history entries; time.Now if nil.
	Now func() time.Time
	// Wait waits for d or until ctx ends; sleeper.Wait if nil.
	Wait func(ctx context.Context, d time.Duration) error
	// Unconditional is for tests. It omits the condition of the compare-and-swap.
	Unconditional bool
}

// Check returns an error if the document as a whole is invalid. It is meant for the field Check of editor.Editor.
func Check(stored hornbeamcroft.StoredDocument) error {
	_, err := parser.Parse(stored)
	return err
}

// Apply applies the edit and returns its result. If repeat is set, it first searches the history for the writer ID of
// the edit, so that an edit that was accepted before is not made again.
func (a *Applier) Apply(ctx context.Context, e *editor.Editor, repeat bool) editor.Result {
	if repeat {
		if r, done := a.findEarlier(ctx, e.Edit); done {
			return r
		}
	}
	step, attempts := editor.StepRead, max(a.Attempts, 0)
	if attempts == 0 {
		attempts = DefaultAttempts
	}
	var lastErr error
	for step != editor.StepDone {
		if step == editor.StepWrite {
			step = a.write(ctx, e, &lastErr)
			continue
		}
		if attempts--; attempts < 0 || ctx.Err() != nil {
			step = e.Abort(abortReason(lastErr))
			continue
		}
		step = a.read(ctx, e, &lastErr)
	}
	return e.Result()
}

// abortReason returns the reason for which an edit is aborted: the last error, or, if there was none, that
// other writes were applied first.
func abortReason(lastErr error) error {
	if lastErr == nil {
		return errors.New("gave up: other writes were applied first each time")
	}
	return lastErr
}

// read reads the document, and the history entry of a write whose outcome is unknown.
func (a *Applier) read(ctx context.Context, e *editor.Editor, lastErr *error) editor.Step {
	stored, modRevision, err := Fetch(ctx, a.Store)
	var entry *editor.HistoryEntry
	if err == nil && e.PendingRevision() != 0 && stored.Revision >= e.PendingRevision() {
		entry, err = FetchHistoryEntry(ctx, a.Store, e.PendingRevision())
	}
	if err != nil {
		return a.waitAfterError(ctx, err, lastErr)
	}
	*lastErr = nil
	if err := a.checkProof(stored); err != nil {
		return e.Refuse(err)
	}
	step := e.Read(stored, modRevision, entry)
	if step == editor.StepRead {
		return a.waitAfterError(ctx, editor.ErrStale, lastErr)
	}
	return step
}

// checkProof returns an error if the document may have been written without the operators' key: an edit would add a
// valid proof to it. It also returns an error if the document has a proof and the Applier lacks the key.
func (a *Applier) checkProof(stored hornbeamcroft.StoredDocument) error {
	switch {
	case stored.Revision == 0 || a.AcceptUnproven:
		return nil
	case len(a.Signer.Key) == 0 && len(stored.Proof) > 0:
		return errors.New("the document has a proof; an edit needs the operators' key")
	}
	return a.Signer.Check(stored)
}

// waitAfterError stores the error in lastErr and waits before the next read.
func (a *Applier) waitAfterError(ctx context.Context, err error, lastErr *error) editor.Step {
	*lastErr = err
	wait := a.Wait
	if wait == nil {
		wait = sleeper.Wait
	}
	_ = wait(ctx, retryDelay) // if ctx has ended, Apply gives up
	return editor.StepRead
}

// write writes the next document of the editor.
func (a *Applier) write(ctx context.Context, e *editor.Editor, lastErr *error) editor.Step {
	next, entry, expectedModRevision := e.Next()
	entry.At = a.now().UnixMilli()
	if err := a.Signer.Sign(&next); err != nil {
		return e.Refuse(err)
	}
	puts, err := Puts(next, entry)
	if err != nil {
		return e.Refuse(err)
	}
	conditions := []hornbeamcroft.Compare{{Key: hornbeamcroft.KeyDocument, ModRevision: expectedModRevision}}
	if a.Unconditional {
		conditions = nil
	}
	result, err := a.Store.Txn(ctx, conditions, puts)
	step := e.Written(result.Succeeded, err)
	if err != nil && step == editor.StepRead {
		return a.waitAfterError(ctx, err, lastErr)
	}
	return step
}

func (a *Applier) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// Puts returns the operations of one transaction: a put of the document, a put of its history entry and, if the revision
// is higher than editor.HistoryLength, a delete of the history entry that exceeds HistoryLength.
func Puts(next hornbeamcroft.StoredDocument, historyEntry editor.HistoryEntry) ([]hornbeamcroft.Put, error) {
	document, err := parser.Encode(next)
	if err != nil {
		return nil, err
	}
	entry, err := cbor.Marshal(historyEntry)
	if err != nil {
		return nil, err
	}
	puts := []hornbeamcroft.Put{
		{Key: hornbeamcroft.KeyDocument, Value: document},
		{Key: editor.HistoryKey(next.Revision), Value: entry},
	}
	if next.Revision > editor.HistoryLength {
		puts = append(puts, hornbeamcroft.Put{Key: editor.HistoryKey(next.Revision - editor.HistoryLength), Delete: true})
	}
	return puts, nil
}
