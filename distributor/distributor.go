// Package distributor replicates the newest document to all nodes. Nodes exchange digests; a node that is behind gets a
// delta by section, with the hash of the whole document, or the whole document in parts of bounded size if no delta is
// available. A node never replaces its document by one of a lower revision. The package performs no input or output.
package distributor

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Mechanism is a set of protections that a test disables to show which failures they prevent. The zero value disables
// none.
type Mechanism uint8

// The mechanisms that Distributor.Disabled can contain.
const (
	// HigherOnly refuses documents whose revision is not higher than that of the newest document.
	HigherOnly Mechanism = 1 << iota
	// CompareHash compares the hash of the document that results from a delta with the hash in the delta.
	CompareHash
	// Repair writes the newest document to a store that holds an older one.
	Repair
	// CompareDigest responds to the digests of other nodes.
	CompareDigest
	// MergeDiverged merges two documents if neither is a successor of the other.
	MergeDiverged
)

// requestInterval is the least time between two requests for the same revision. It keeps two relays that announce the
// same document from both sending the whole document.
const requestInterval = time.Second

// Distributor holds the newest document of a node. Exported fields are set before the first call. It is not safe for
// concurrent use.
type Distributor struct {
	// Check validates a whole document and its proof before the document is accepted; it must not be nil.
	Check func(hornbeamcroft.StoredDocument) error
	// Sign sets the proof of a merged document. It is nil if documents have no proof.
	Sign func(*hornbeamcroft.StoredDocument) error
	// Disabled holds the mechanisms that a test disables.
	Disabled Mechanism

	newest hornbeamcroft.StoredDocument
	// hash is HashOf(newest), or zero if there is no document.
	hash        uint64
	changes     changeLog
	incoming    assembly
	lastRequest request
	// refused identifies the last newer document that did not pass Check. Its revision is not requested again.
	refused     Digest
	storeBehind bool
	// pendingMerge is the merge of diverged documents that is to be written to the store. Its revision is zero if there is
	// none.
	pendingMerge hornbeamcroft.StoredDocument
	// lastDiverged identifies the last document of the newest revision, but with another content, that was merged or
	// refused, so that it is handled once.
	lastDiverged Digest
}

// request records a request for a newer document.
type request struct {
	revision uint64
	whole    bool
	sentAt   time.Duration
}

// Actions holds the operations that the node must perform after a call of a Distributor method. The zero value holds
// none.
type Actions struct {
	// Accepted is set if the newest document changed; Newest returns it.
	Accepted bool
	// Reply holds messages for the sender of the message that was passed in.
	Reply []Message
	// Push holds messages that a relay sends to the nodes of its zone and to the relays of other zones, except the sender.
	Push []Message
	// Write is the document to write to the store, set if the store is behind or documents diverged. The write is
	// conditional: the document's key must still have Write.ModRevision.
	Write *StoreWrite
	// ReadStore is set if documents diverged: the node reads the store at once and calls OnRead, which returns the write
	// of the merge.
	ReadStore bool
	// Err is the reason why a message or document was refused; the node logs it.
	Err error
}

// StoreWrite is a conditional write that brings the store up to date.
type StoreWrite struct {
	Document hornbeamcroft.StoredDocument
	// ModRevision is the store's revision of the document's key at which the write is allowed.
	ModRevision int64
	// Merge is set if the document merges diverged ones. Any node writes a merge, since it may be the only node that has
	// both documents; without Merge the store is just behind, and only relays write.
	Merge bool
}

// Status is the part of the distributor's state that status pages show.
type Status struct {
	Revision uint64 `json:"document-revision"`
	// StoreBehind is set while the store holds an older document than this node.
	StoreBehind bool `json:"store-behind"`
	// Diverged is set while the newest document lacks accepted edits, because the store was restored from an old copy and
	// edited before a node wrote the newer document back. It is cleared once the newest document holds these edits.
	Diverged bool `json:"diverged"`
	// Refused is the revision of a newer document that did not pass Check on this node, or zero.
	Refused uint64 `json:"refused-revision,omitempty"`
}

// Newest returns the newest document. Its revision is zero if there is none. Its sections are ordered by name, and the
// caller must not modify them.
func (d *Distributor) Newest() hornbeamcroft.StoredDocument { return d.newest }

// Digest returns the revision and hash of the newest document.
func (d *Distributor) Digest() Digest { return Digest{Revision: d.newest.Revision, Hash: d.hash} }

// Status returns the current Status.
func (d *Distributor) Status() Status {
	return Status{d.newest.Revision, d.storeBehind, d.pendingMerge.Revision != 0, d.refused.Revision}
}

// OnRead processes the document that was read from the store, with the ModRevision of its key. If the store has no
// document, stored has revision 0.
func (d *Distributor) OnRead(stored hornbeamcroft.StoredDocument, modRevision int64) Actions {
	d.storeBehind = stored.Revision < d.newest.Revision
	if d.storeBehind && (d.Disabled&HigherOnly == 0 || stored.Revision == 0) {
		return d.repair(stored, modRevision)
	}
	actions := d.OnWatch(stored)
	if d.pendingMerge.Revision > stored.Revision {
		actions.ReadStore = false
		actions.Write = &StoreWrite{Document: d.pendingMerge, ModRevision: modRevision, Merge: true}
	}
	return actions
}

// OnWatch processes a document that a watch of the store delivered. A watch may lag, so a lower revision does not show
// that the store is behind.
func (d *Distributor) OnWatch(stored hornbeamcroft.StoredDocument) Actions {
	if stored.Revision == 0 {
		return Actions{}
	}
	stored.Sections = slices.SortedFunc(slices.Values(stored.Sections), byName)
	if stored.Revision >= d.newest.Revision {
		d.storeBehind = false
	}
	return d.accept(stored, HashOf(stored))
}

func byName(a, b hornbeamcroft.Section) int { return strings.Compare(a.Name, b.Name) }

// OnDigest processes a digest or request of another node.
func (d *Distributor) OnDigest(now time.Duration, digest Digest) Actions {
	if err := digest.Check(); err != nil {
		return Actions{Err: err}
	}
	switch {
	case d.Disabled&CompareDigest != 0:
		return Actions{}
	case digest.Revision < d.newest.Revision:
		return Actions{Reply: d.updateFor(digest)}
	case digest.Revision > d.newest.Revision && digest.Revision != d.refused.Revision:
		return Actions{Reply: d.requestUpdate(now, digest.Revision, d.newest.Revision == 0)}
	case d.diverged(digest) && digest.NeedWhole:
		return Actions{Reply: d.documentParts()}
	case d.diverged(digest):
		return Actions{Reply: d.requestUpdate(now, digest.Revision, true)}
	}
	return Actions{}
}

// requestUpdate returns a request for a newer document, or for the whole one. It returns nil if the last request covers
// this one and was made less than requestInterval ago.
func (d *Distributor) requestUpdate(now time.Duration, revision uint64, whole bool) []Message {
	repeated := d.lastRequest.revision >= revision && (d.lastRequest.whole || !whole)
	if repeated && now-d.lastRequest.sentAt < requestInterval {
		return nil
	}
	d.lastRequest = request{revision, whole, now}
	digest := d.Digest()
	digest.NeedWhole = whole
	return []Message{{Digest: &digest}}
}

// OnDelta processes a delta of another node.
func (d *Distributor) OnDelta(now time.Duration, m Delta) Actions {
	if err := m.Check(); err != nil {
		return Actions{Err: err}
	}
	switch {
	case m.To <= d.newest.Revision && d.Disabled&HigherOnly == 0:
		return Actions{}
	case m.From > d.newest.Revision:
		return Actions{Reply: d.requestUpdate(now, m.To, d.newest.Revision == 0)}
	}
	candidate := m.apply(d.newest)
	if HashOf(candidate) != m.Hash && d.Disabled&CompareHash == 0 {
		return Actions{
			Reply: d.requestUpdate(now, m.To, true),
			Err:   errors.Errorf("delta to revision %d gives a document with another hash than the sender's", m.To),
		}
	}
	return d.accept(candidate, HashOf(candidate))
}

// OnPart processes one part of another node's document and accepts the document once all parts have arrived.
func (d *Distributor) OnPart(now time.Duration, m DocumentPart) Actions {
	if err := m.Check(); err != nil {
		return Actions{Err: err}
	}
	diverged := d.diverged(Digest{Revision: m.Revision, Hash: m.Hash})
	if m.Revision <= d.newest.Revision && !diverged && d.Disabled&HigherOnly == 0 {
		return Actions{}
	}
	stored, done := d.incoming.add(now, m)
	if !done {
		return Actions{}
	}
	if HashOf(stored) != m.Hash {
		return Actions{Err: errors.Errorf("parts of revision %d give a document with another hash than announced", m.Revision)}
	}
	return d.accept(stored, m.Hash)
}

// accept makes a document the newest one if its revision is higher and it passes Check. A document of a revision that
// is not higher is merged if it diverged.
func (d *Distributor) accept(stored hornbeamcroft.StoredDocument, hash uint64) Actions {
	if stored.Revision <= d.newest.Revision && d.Disabled&HigherOnly == 0 {
		return d.mergeDiverged(stored, Digest{Revision: stored.Revision, Hash: hash})
	}
	if err := d.Check(stored); err != nil {
		d.refused = Digest{Revision: stored.Revision, Hash: hash}
		return Actions{Err: errors.Wrapf(err, "document of revision %d refused", stored.Revision)}
	}
	old := d.newest
	from := d.Digest()
	d.changes.add(old, stored)
	d.newest, d.hash = stored, hash
	d.refused, d.incoming = Digest{}, assembly{}
	push := d.updateFor(from)
	if from.Revision == 0 {
		// The first document after a start is rarely new to other nodes, so only the digest is pushed for comparison.
		digest := d.Digest()
		push = []Message{{Digest: &digest}}
	}
	actions := d.mergeReplaced(old)
	actions.Accepted, actions.Push = true, push
	return actions
}
