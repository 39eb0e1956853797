// Package applier carries out an edit of the document against the store: it reads, lets package editor decide, writes by
// compare-and-swap, and finds out what a lost answer meant. An undisturbed edit takes two calls to the store.
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

// DefaultAttempts is the number of tries before an edit gives up.
const DefaultAttempts = 10

// retryWait is the time between tries after an error; a lost race is tried again at once.
const retryWait = 200 * time.Millisecond

// Applier applies edits. Exported fields are set before the first call.
type Applier struct {
	Store hornbeamcroft.Store
	// Attempts is DefaultAttempts if zero.
	Attempts int
	// Signer proves the written documents and checks the one that is edited.
	Signer signer.Signer
	// AcceptUnproven edits a document whose proof is wrong or missing, and proves the result.
	AcceptUnproven bool
	// Now is the wall clock of history entries; time.Now if nil.
	Now func() time.Time
	// Wait pauses between tries; a timer if nil.
	Wait func(ctx context.Context, d time.Duration) error
	// Unconditional is for tests: it leaves out the condition of the compare-and-swap.
	Unconditional bool
}

// Check validates a whole document for editor.Editor.
func Check(stored hornbeamcroft.StoredDocument) error {
	_, err := parser.Parse(stored)
	return err
}

// Apply carries out the edit. With repeat set, the history is searched for the edit's writer id first, so that an edit
// that was accepted before is not made twice.
func (a *Applier) Apply(ctx context.Context, e *editor.Editor, repeat bool) editor.Result {
	if repeat {
		if r, done := a.repeated(ctx, e.Edit); done {
			return r
		}
	}
	step, attempts := editor.StepRead, max(a.Attempts, 0)
	if attempts == 0 {
		attempts = DefaultAttempts
	}
	var last error
	for step != editor.StepDone {
		if step == editor.StepWrite {
			step = a.write(ctx, e, &last)
			continue
		}
		if attempts--; attempts < 0 || ctx.Err() != nil {
			step = e.GiveUp(giveUpReason(last))
			continue
		}
		step = a.read(ctx, e, &last)
	}
	return e.Result()
}

func giveUpReason(last error) error {
	if last == nil {
		return errors.New("gave up after too many lost races")
	}
	return last
}

// read fetches the document, and the history entry of a write whose outcome is open.
func (a *Applier) read(ctx context.Context, e *editor.Editor, last *error) editor.Step {
	stored, modRevision, err := Fetch(ctx, a.Store)
	var entry *editor.Change
	if err == nil && e.Planned() != 0 && stored.Revision >= e.Planned() {
		entry, err = FetchChange(ctx, a.Store, e.Planned())
	}
	if err != nil {
		return a.failed(ctx, err, last)
	}
	*last = nil
	if err := a.trust(stored); err != nil {
		return e.Refuse(err)
	}
	step := e.Read(stored, modRevision, entry)
	if step == editor.StepRead {
		return a.failed(ctx, editor.ErrStale, last)
	}
	return step
}

// trust refuses to edit, and so to prove, what somebody wrote without the operators' key.
func (a *Applier) trust(stored hornbeamcroft.StoredDocument) error {
	switch {
	case stored.Revision == 0 || a.AcceptUnproven:
		return nil
	case len(a.Signer.Key) == 0 && len(stored.Proof) > 0:
		return errors.New("the document has a proof; an edit needs the operators' key")
	}
	return a.Signer.Check(stored)
}

// failed notes an error and waits before the next read.
func (a *Applier) failed(ctx context.Context, err error, last *error) editor.Step {
	*last = err
	wait := a.Wait
	if wait == nil {
		wait = sleeper.Wait
	}
	_ = wait(ctx, retryWait) // an ended ctx ends the loop of Apply
	return editor.StepRead
}

func (a *Applier) write(ctx context.Context, e *editor.Editor, last *error) editor.Step {
	next, change, condition := e.Next()
	change.At = a.now().UnixMilli()
	if err := a.Signer.Sign(&next); err != nil {
		return e.Refuse(err)
	}
	puts, err := Puts(next, change)
	if err != nil {
		return e.Refuse(err)
	}
	conditions := []hornbeamcroft.Compare{{Key: hornbeamcroft.KeyDocument, ModRevision: condition}}
	if a.Unconditional {
		conditions = nil
	}
	result, err := a.Store.Txn(ctx, conditions, puts)
	step := e.Written(result.Succeeded, err)
	if err != nil && step == editor.StepRead {
		return a.failed(ctx, err, last)
	}
	return step
}

func (a *Applier) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// Puts returns the writes of one transaction: the document, its history entry, and the removal of the oldest entry.
func Puts(next hornbeamcroft.StoredDocument, change editor.Change) ([]hornbeamcroft.Put, error) {
	document, err := parser.Encode(next)
	if err != nil {
		return nil, err
	}
	entry, err := cbor.Marshal(change)
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
