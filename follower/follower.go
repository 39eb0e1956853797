// Package follower keeps a relay's document in step with the store: it reads, watches from the revision of the read on,
// reads again when the watch ends, and repairs a store that is behind. It costs two calls for each watch, which
// etcdclient renews every 30 s.
package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/distributor"
	"hornbeamcroft/editor"
	"hornbeamcroft/parser"
	"hornbeamcroft/sleeper"
)

const (
	// retryWait is the time between calls while the store fails.
	retryWait = time.Second
	// jitterShare is the part of retryWait by which it varies, so that relays do not call in step after an outage.
	jitterShare = 0.5
	// callTimeout bounds one read or repair.
	callTimeout = 5 * time.Second
)

// RepairWriter is the writer id in the history entries of repairs.
const RepairWriter = "repair"

// Follower follows the document's key. Exported fields are set before Run.
type Follower struct {
	Store hornbeamcroft.Store
	// OnRead takes a document that was read, as distributor.Distributor.OnRead does. It returns the repair to write, or
	// nil.
	OnRead func(stored hornbeamcroft.StoredDocument, modRevision int64) *distributor.Write
	// OnWatch takes a document that the watch delivered.
	OnWatch func(stored hornbeamcroft.StoredDocument)
	// OnError takes the reason why a read, a watch or a repair failed; it may be called once a second.
	OnError func(err error)
	Rand    hornbeamcroft.Rand
	// Wait pauses after a failure; a timer if nil.
	Wait func(ctx context.Context, d time.Duration) error
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.Read(ctx)
		if err == nil {
			err = f.Store.Watch(ctx, hornbeamcroft.KeyDocument, revision+1, f.deliver)
		}
		if err == nil || ctx.Err() != nil {
			continue // the watch was renewed, or the follower ends
		}
		f.OnError(err)
		_ = f.wait(ctx) // an ended ctx ends the loop
	}
}

func (f *Follower) wait(ctx context.Context) error {
	d := time.Duration(float64(retryWait) * (1 - jitterShare*f.Rand.Float64()))
	if f.Wait != nil {
		return f.Wait(ctx, d)
	}
	return sleeper.Wait(ctx, d)
}

// Read reads the document once, when Actions.ReadStore asks for it or at the start, repairs the store if OnRead asks for it, and returns the store's revision of the read. A
// node without peers calls it at its start.
func (f *Follower) Read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := f.Store.List(ctx, hornbeamcroft.KeyDocument)
	if err != nil {
		return 0, err
	}
	var stored hornbeamcroft.StoredDocument
	var modRevision int64
	for _, e := range entries {
		if e.Key != hornbeamcroft.KeyDocument {
			continue
		}
		if stored, err = parser.Decode(e.Value); err != nil {
			return 0, err
		}
		modRevision = e.ModRevision
	}
	if write := f.OnRead(stored, modRevision); write != nil {
		return revision, f.repair(ctx, *write)
	}
	return revision, nil
}

// repair writes a newer document back. Losing the race to another relay is no error; the watch delivers its document.
func (f *Follower) repair(ctx context.Context, w distributor.Write) error {
	puts, err := applier.Puts(w.Document, editor.Change{Revision: w.Document.Revision, Writer: RepairWriter})
	if err != nil {
		return err
	}
	conditions := []hornbeamcroft.Compare{{Key: hornbeamcroft.KeyDocument, ModRevision: w.ModRevision}}
	_, err = f.Store.Txn(ctx, conditions, puts)
	return err
}

// deliver passes an event of the watch on. A deleted or malformed document is reported and changes nothing.
func (f *Follower) deliver(e hornbeamcroft.Event) {
	if e.Entry.Key != hornbeamcroft.KeyDocument {
		return
	}
	if e.Deleted {
		f.OnError(errors.New("the document was deleted from the store"))
		return
	}
	stored, err := parser.Decode(e.Entry.Value)
	if err != nil {
		f.OnError(err)
		return
	}
	f.OnWatch(stored)
}
