// Package follower keeps the document of a relay up to date with the store; a relay is a node that watches the store on
// behalf of other nodes. The follower reads the document, watches it from the revision of the read on, and reads it
// again when the watch ends. etcdclient ends a watch after 30 s (etcdclient.DefaultWatchTimeout), so that without faults
// the follower makes two calls to the store every 30 s: a read of the document and a new watch. The follower also repairs
// a store that holds an older document than the node, for example after a restore.
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
	// retryInterval is the longest time between calls while the store fails.
	retryInterval = time.Second
	// jitterShare is the largest share of retryInterval that is randomly subtracted, so that relays do not all call at
	// the same times after an outage.
	jitterShare = 0.5
	// callTimeout is the timeout of one read together with the repair that may follow it.
	callTimeout = 5 * time.Second
)

// RepairWriter is the writer ID in the history entries of repairs.
const RepairWriter = "repair"

// Follower follows the key of the document in the store. The exported fields must be set before Run.
type Follower struct {
	Store hornbeamcroft.Store
	// OnRead is called with each document that was read; the document is zero if the store holds none. It passes the
	// document to distributor.Distributor.OnRead and returns the Write of the result, or nil if there is nothing to
	// write.
	OnRead func(stored hornbeamcroft.StoredDocument, modRevision int64) *distributor.StoreWrite
	// OnWatch is called with each document that the watch delivers.
	OnWatch func(stored hornbeamcroft.StoredDocument)
	// OnError is called with the error of each failed read, watch or repair, up to twice per second while the store
	// fails, and for each watch event with a deleted or malformed document.
	OnError func(err error)
	Rand    hornbeamcroft.Rand
	// Wait waits for the duration or until ctx ends; sleeper.Wait if nil.
	Wait func(ctx context.Context, d time.Duration) error
}

// Run reads the document and watches it until ctx ends. When the store ends the watch, Run reads the document again and
// starts a new watch; after an error it waits first.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.Read(ctx)
		if err == nil {
			err = f.Store.Watch(ctx, hornbeamcroft.KeyDocument, revision+1, f.handleEvent)
		}
		if err == nil || ctx.Err() != nil {
			continue // the watch ended without an error, or ctx ended
		}
		f.OnError(err)
		_ = f.wait(ctx) // an ended ctx ends the loop
	}
}

// wait waits before the next call to the store after a failure.
func (f *Follower) wait(ctx context.Context) error {
	d := time.Duration(float64(retryInterval) * (1 - jitterShare*f.Rand.Float64()))
	if f.Wait != nil {
		return f.Wait(ctx, d)
	}
	return sleeper.Wait(ctx, d)
}

// Read reads the document once, passes it to OnRead, and writes the repair if OnRead returns one. It returns the
// revision of the store at the time of the read. A node calls it when distributor.Actions.ReadStore requests it, and a
// node without peers also calls it at its start.
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

// repair writes the newer or merged document of this node to the store, if the store still holds the one that was read.
// It is no error if another relay wrote first; the watch then delivers the document of that relay.
func (f *Follower) repair(ctx context.Context, write distributor.StoreWrite) error {
	puts, err := applier.Puts(write.Document, editor.HistoryEntry{Revision: write.Document.Revision, Writer: RepairWriter})
	if err != nil {
		return err
	}
	conditions := []hornbeamcroft.Compare{{Key: hornbeamcroft.KeyDocument, ModRevision: write.ModRevision}}
	_, err = f.Store.Txn(ctx, conditions, puts)
	return err
}

// handleEvent passes the document of a watch event to OnWatch. If the document was deleted or is malformed, it only
// calls OnError, and the node keeps its document.
func (f *Follower) handleEvent(e hornbeamcroft.Event) {
	if e.Entry.Key != hornbeamcroft.KeyDocument {
		return
	}
	if e.Deleted {
		f.OnError(errors.New("the key of the document was deleted from the store"))
		return
	}
	stored, err := parser.Decode(e.Entry.Value)
	if err != nil {
		f.OnError(err)
		return
	}
	f.OnWatch(stored)
}
