package applier

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/editor"
	"hornbeamcroft/parser"
)

// Fetch reads the document and returns it with the ModRevision of its key. If the store holds none, it returns an empty
// document of revision 0, and ModRevision 0.
func Fetch(ctx context.Context, store hornbeamcroft.Store) (hornbeamcroft.StoredDocument, int64, error) {
	e, err := store.Get(ctx, hornbeamcroft.KeyDocument)
	if err != nil || e.ModRevision == 0 {
		return hornbeamcroft.StoredDocument{}, 0, err
	}
	stored, err := parser.Decode(e.Value)
	return stored, e.ModRevision, err
}

// FetchHistoryEntry reads the history entry of the document revision. It returns nil if there is none.
func FetchHistoryEntry(ctx context.Context, store hornbeamcroft.Store, revision uint64) (*editor.HistoryEntry, error) {
	e, err := store.Get(ctx, editor.HistoryKey(revision))
	if err != nil || e.ModRevision == 0 {
		return nil, err
	}
	c, err := decodeHistoryEntry(e.Value)
	return &c, err
}

// FetchHistory reads all history entries, in ascending order of their document revisions.
func FetchHistory(ctx context.Context, store hornbeamcroft.Store) ([]editor.HistoryEntry, error) {
	entries, _, err := store.List(ctx, hornbeamcroft.KeyHistoryPrefix)
	if err != nil {
		return nil, err
	}
	history := make([]editor.HistoryEntry, len(entries))
	for i, e := range entries {
		if history[i], err = decodeHistoryEntry(e.Value); err != nil {
			return nil, err
		}
	}
	return history, nil
}

// decodeHistoryEntry decodes and checks a history entry.
func decodeHistoryEntry(data []byte) (editor.HistoryEntry, error) {
	var c editor.HistoryEntry
	if err := cbor.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(err, "decode history entry")
	}
	return c, c.Check()
}

// findEarlier searches the history for an edit with the same writer ID that was accepted earlier. It reports false if
// there is none, so that the edit has to be made. If the history cannot be read, the result is CodeWriteUnknown.
func (a *Applier) findEarlier(ctx context.Context, edit editor.Edit) (editor.Result, bool) {
	history, err := FetchHistory(ctx, a.Store)
	if err != nil {
		// The store may already hold an edit with this writer ID.
		return editor.Result{Code: hornbeamcroft.CodeWriteUnknown, Writer: edit.Writer, Err: err}, true
	}
	for _, c := range history {
		if c.Writer != edit.Writer {
			continue
		}
		if !c.Matches(edit) {
			return editor.Result{
				Code: hornbeamcroft.CodeInvalid, Writer: edit.Writer,
				Err: errors.Errorf("writer id %s belongs to a different edit at revision %d", edit.Writer, c.Revision),
			}, true
		}
		return editor.Result{Code: hornbeamcroft.CodeAccepted, Revision: c.Revision, Writer: edit.Writer}, true
	}
	return editor.Result{}, false
}
