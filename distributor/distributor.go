// Package distributor brings the newest document to every node: digests, deltas by section with a hash of the whole, and
// the whole document in bounded parts where no delta fits. A node's revision only ever rises. It performs no input or
// output.
package distributor

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Mechanism names a protection that a test leaves out to show what it is for. The zero value leaves out none.
type Mechanism uint8

// The mechanisms.
const (
	// HigherOnly refuses documents of a lower revision.
	HigherOnly Mechanism = 1 << iota
	// CompareHash compares the hash of the whole after a delta.
	CompareHash
	// Repair writes the newer document back to a store that is behind.
	Repair
	// CompareDigest answers the offers of others.
	CompareDigest
	// MergeDiverged merges documents of which neither is the successor of the other.
	MergeDiverged
)

// askInterval is the time for which a request for the same revision is not repeated, so that two relays that offer the
// same document do not both send it whole.
const askInterval = time.Second

// Distributor holds the newest document of a node. Exported fields are set before the first call. It is not safe for
// concurrent use.
type Distributor struct {
	// Check validates a whole document and its proof before it is accepted; not nil.
	Check func(hornbeamcroft.StoredDocument) error
	// Sign sets the proof of a merged document; nil if documents have none.
	Sign func(*hornbeamcroft.StoredDocument) error
	// Without is for tests.
	Without Mechanism

	newest hornbeamcroft.StoredDocument
	hash   uint64
	steps  steps
	parts  assembly
	asked  request
	// refused is the last document that did not pass Check; it is not asked for again.
	refused     Offer
	storeBehind bool
	// merged is the document to write because others diverged from each other; its revision is zero if there is none.
	merged hornbeamcroft.StoredDocument
	// fork is the last document that was merged.
	fork Offer
}

// request is the last request for a newer document.
type request struct {
	revision uint64
	whole    bool
	at       time.Duration
}

// Actions is what the node does after a call. The zero Actions is nothing.
type Actions struct {
	// Accepted is set if the newest document changed; Newest returns it.
	Accepted bool
	// Reply is sent to the sender of the message.
	Reply []Message
	// Push is sent by a relay to the nodes of its zone and the relays of other zones, but not to the sender.
	Push []Message
	// Write is set if the store is behind or documents diverged. It is written on condition that the document's key still
	// has the given ModRevision.
	Write *Write
	// ReadStore asks to read the store now and to call OnRead, since documents diverged.
	ReadStore bool
	// Err is the reason why a document was not accepted; it is logged.
	Err error
}

// Write is a repair of the store.
type Write struct {
	Document    hornbeamcroft.StoredDocument
	ModRevision int64
	// Merge is set if documents diverged. A merge is written by any node, since no other may know of it; a store that is
	// behind is repaired by relays only.
	Merge bool
}

// Status is the state for status pages.
type Status struct {
	Revision uint64 `json:"document-revision"`
	// StoreBehind is set while the store holds an older document than this node.
	StoreBehind bool `json:"store-behind"`
	// Diverged is set while accepted edits are missing from the newest document, because the store was restored and written
	// before the nodes' document reached it. A merged document is being written.
	Diverged bool `json:"diverged"`
	// Refused is the revision of a newer document that this node cannot accept, or zero.
	Refused uint64 `json:"refused-revision,omitempty"`
}

// Newest returns the newest document; its revision is zero if there is none. The sections are ordered by name and must
// not be changed.
func (d *Distributor) Newest() hornbeamcroft.StoredDocument { return d.newest }

// Offer returns the digest of the newest document.
func (d *Distributor) Offer() Offer { return Offer{Revision: d.newest.Revision, Hash: d.hash} }

// Status returns the state for status pages.
func (d *Distributor) Status() Status {
	return Status{d.newest.Revision, d.storeBehind, d.merged.Revision != 0, d.refused.Revision}
}

// OnRead takes the document that was read from the store, with its ModRevision; a store without one gives revision 0.
func (d *Distributor) OnRead(stored hornbeamcroft.StoredDocument, modRevision int64) Actions {
	d.storeBehind = stored.Revision < d.newest.Revision
	if d.storeBehind && (d.Without&HigherOnly == 0 || stored.Revision == 0) {
		return d.repair(stored, modRevision)
	}
	actions := d.OnWatch(stored)
	if d.merged.Revision > stored.Revision {
		actions.ReadStore = false
		actions.Write = &Write{Document: d.merged, ModRevision: modRevision, Merge: true}
	}
	return actions
}

// OnWatch takes a document that a watch delivered. A watch may lag, so a lower revision says nothing about the store.
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

// OnOffer takes a digest or request of another node.
func (d *Distributor) OnOffer(now time.Duration, o Offer) Actions {
	if err := o.Check(); err != nil {
		return Actions{Err: err}
	}
	switch {
	case d.Without&CompareDigest != 0:
		return Actions{}
	case o.Revision < d.newest.Revision:
		return Actions{Reply: d.catchUp(o)}
	case o.Revision > d.newest.Revision && o.Revision != d.refused.Revision:
		return Actions{Reply: d.ask(now, o.Revision, d.newest.Revision == 0)}
	case d.forked(o) && o.NeedWhole:
		return Actions{Reply: d.whole()}
	case d.forked(o):
		return Actions{Reply: d.ask(now, o.Revision, true)}
	}
	return Actions{}
}

// ask returns a request for a newer document unless the same was just asked for.
func (d *Distributor) ask(now time.Duration, revision uint64, whole bool) []Message {
	repeated := d.asked.revision >= revision && (d.asked.whole || !whole)
	if repeated && now-d.asked.at < askInterval {
		return nil
	}
	d.asked = request{revision, whole, now}
	o := d.Offer()
	o.NeedWhole = whole
	return []Message{{Offer: &o}}
}

// OnDelta takes a delta of another node.
func (d *Distributor) OnDelta(now time.Duration, m Delta) Actions {
	if err := m.Check(); err != nil {
		return Actions{Err: err}
	}
	switch {
	case m.To <= d.newest.Revision && d.Without&HigherOnly == 0:
		return Actions{}
	case m.From > d.newest.Revision:
		return Actions{Reply: d.ask(now, m.To, d.newest.Revision == 0)}
	}
	candidate := m.apply(d.newest)
	if HashOf(candidate) != m.Hash && d.Without&CompareHash == 0 {
		return Actions{Reply: d.ask(now, m.To, true), Err: errors.Errorf("delta to revision %d does not fit", m.To)}
	}
	return d.accept(candidate, HashOf(candidate))
}

// OnWhole takes one part of a whole document.
func (d *Distributor) OnWhole(now time.Duration, m Whole) Actions {
	if err := m.Check(); err != nil {
		return Actions{Err: err}
	}
	forked := d.forked(Offer{Revision: m.Revision, Hash: m.Hash})
	if m.Revision <= d.newest.Revision && !forked && d.Without&HigherOnly == 0 {
		return Actions{}
	}
	stored, done := d.parts.add(now, m)
	if !done {
		return Actions{}
	}
	if HashOf(stored) != m.Hash {
		return Actions{Err: errors.Errorf("parts of revision %d do not fit together", m.Revision)}
	}
	return d.accept(stored, m.Hash)
}

// accept puts a document in force if its revision is higher and it passes Check.
func (d *Distributor) accept(stored hornbeamcroft.StoredDocument, hash uint64) Actions {
	if stored.Revision <= d.newest.Revision && d.Without&HigherOnly == 0 {
		return d.merge(stored, Offer{Revision: stored.Revision, Hash: hash})
	}
	if err := d.Check(stored); err != nil {
		d.refused = Offer{Revision: stored.Revision, Hash: hash}
		return Actions{Err: errors.Wrapf(err, "document of revision %d refused", stored.Revision)}
	}
	old := d.newest
	from := d.Offer()
	d.steps.add(old, stored)
	d.newest, d.hash = stored, hash
	d.refused, d.parts = Offer{}, assembly{}
	push := d.catchUp(from)
	if from.Revision == 0 {
		// A start brings nothing new to others; they compare digests.
		o := d.Offer()
		push = []Message{{Offer: &o}}
	}
	actions := d.keepEdits(old)
	actions.Accepted, actions.Push = true, push
	return actions
}
