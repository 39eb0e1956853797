package deduper

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

const (
	// MaxHandoverBytes is the maximum size, in bytes, of an encoded Handover.
	MaxHandoverBytes = 48 << 10
	// maxHandoverRecords is the maximum number of records in one message; an encoded record takes at least 24 bytes.
	maxHandoverRecords = MaxHandoverBytes / 24
	// maxHandoverParts is the maximum number of messages in one export.
	maxHandoverParts = 1 << 16
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 128
	// handoverOverhead is an upper bound, in bytes, of the encoded size of a record without key, content type and body,
	// and of a message without records: each has at most 8 numbers of at most 9 bytes and their CBOR map keys.
	handoverOverhead = 96
)

// HandoverRecord is the record of one key as it is sent to the key's new home.
type HandoverRecord struct {
	Key         string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	State       State  `cbor:"3,keyasint"`
	// Code is the result code of the answer.
	Code hornbeamcroft.Code `cbor:"4,keyasint"`
	// RefusedAt is the time of the latest "not run" answer in Unix milliseconds; zero if there was none.
	RefusedAt   int64  `cbor:"5,keyasint,omitempty"`
	Status      int    `cbor:"6,keyasint,omitempty"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Body        []byte `cbor:"8,keyasint,omitempty"`
	// Truncated is true if the body of the answer was dropped because it exceeded a size limit.
	Truncated bool `cbor:"9,keyasint,omitempty"`
}

// Handover is one part of an export, or a late outcome. All parts of an export have the same Epoch, Incarnation, Export
// and Parts.
type Handover struct {
	// Epoch is the number of the epoch that gave the keys to their new home.
	Epoch uint64 `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the sender.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Export is the sequence number of the export within the sender's incarnation.
	Export uint64 `cbor:"3,keyasint"`
	// Part is the index of this message, from 0 to Parts-1. An export is complete when all parts have arrived.
	Part    uint32           `cbor:"4,keyasint"`
	Parts   uint32           `cbor:"5,keyasint"`
	Records []HandoverRecord `cbor:"6,keyasint,omitempty"`
	// Horizon and UntimedBeforeTakeover are the results of owner.Horizon on the sender.
	Horizon               int64 `cbor:"7,keyasint,omitempty"`
	UntimedBeforeTakeover bool  `cbor:"8,keyasint,omitempty"`
	// RefusedBefore and DroppedUpTo are the values of the sender's Deduper.refusedUpTo and Deduper.droppedUpTo, in Unix
	// milliseconds. They cover the keys whose records the sender removed.
	RefusedBefore int64 `cbor:"9,keyasint,omitempty"`
	DroppedUpTo   int64 `cbor:"10,keyasint,omitempty"`
	// Late is true for the outcome of a call that was still running when its key was exported. Such a message is not
	// part of an export.
	Late bool `cbor:"11,keyasint,omitempty"`
}

// Check returns an error if the message is malformed.
func (m Handover) Check() error {
	if m.Epoch == 0 || m.Parts == 0 || m.Parts > maxHandoverParts || m.Part >= m.Parts {
		return errors.Errorf("handover: epoch %d, part %d of %d: out of range", m.Epoch, m.Part, m.Parts)
	}
	if len(m.Records) > maxHandoverRecords {
		return errors.Errorf("handover: %d records: must be at most %d", len(m.Records), maxHandoverRecords)
	}
	for i := range m.Records {
		if err := m.Records[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (h *HandoverRecord) check() error {
	if h.Key == "" || len(h.Key) > maxKeyLength || len(h.ContentType) > maxKeyLength {
		return errors.New("handover: key must have 1 to 128 bytes, content type at most 128")
	}
	if h.State > StateUnknown {
		return errors.Errorf("handover: invalid state %d: must be 0 to %d", h.State, StateUnknown)
	}
	if h.State == StateAnswered && h.Code.Claim() != hornbeamcroft.ClaimRan {
		return errors.Errorf("handover: state is answered but code %s does not mean that the key ran", h.Code)
	}
	return nil
}

func (h *HandoverRecord) size() int {
	return handoverOverhead + len(h.Key) + len(h.ContentType) + len(h.Body)
}

// ExportHeader holds the fields that all parts of an export share and that the exporting node supplies.
type ExportHeader struct {
	Epoch                 uint64
	Incarnation           uint64
	Horizon               int64
	UntimedBeforeTakeover bool
}

func (r *record) handoverRecord() HandoverRecord {
	h := HandoverRecord{Key: r.key, Fingerprint: r.fingerprint, State: r.state, Code: r.code, RefusedAt: r.refusedAt}
	if r.answer != nil {
		h.Status, h.ContentType, h.Body = r.answer.status, r.answer.contentType, r.answer.body
		h.Truncated = r.answer.truncated
	}
	if h.size() > MaxHandoverBytes-handoverOverhead {
		h.Body, h.Truncated = nil, true
	}
	return h
}

// Export returns the handover messages for each of the new homes. HomeOf returns the home of a key by the epoch of the
// header. Exported records are marked as moved and stay until they expire. Export may be called again for the same
// epoch when messages were lost. It must be called after the node adopted the epoch, so that no call with a key of
// another home can start on this node any more.
func (d *Deduper) Export(m ExportHeader, homes []string, homeOf func(key string) string) map[string][]Handover {
	d.initialize()
	d.exportCount++
	byHome := map[string][]HandoverRecord{}
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		r := d.records[key]
		home := homeOf(key)
		if !slices.Contains(homes, home) || (r.movedEpoch != 0 && r.movedEpoch != m.Epoch) {
			continue
		}
		r.movedEpoch = m.Epoch
		byHome[home] = append(byHome[home], r.handoverRecord())
	}
	out := make(map[string][]Handover, len(homes))
	for _, home := range homes {
		out[home] = d.splitParts(m, byHome[home])
	}
	return out
}

// splitParts distributes the records over as many messages as the size limits require; at least one, even without
// records.
func (d *Deduper) splitParts(m ExportHeader, records []HandoverRecord) []Handover {
	var parts []Handover
	for {
		n, size := 0, handoverOverhead
		for n < len(records) && n < maxHandoverRecords && size+records[n].size() <= MaxHandoverBytes {
			size += records[n].size()
			n++
		}
		part := d.newHandover(m)
		part.Part, part.Records = uint32(len(parts)), records[:n]
		parts = append(parts, part)
		records = records[n:]
		if len(records) == 0 {
			break
		}
	}
	for i := range parts {
		parts[i].Parts = uint32(len(parts))
	}
	return parts
}

func (d *Deduper) newHandover(m ExportHeader) Handover {
	return Handover{
		Epoch: m.Epoch, Incarnation: m.Incarnation, Export: d.exportCount, Parts: 1, Horizon: m.Horizon,
		UntimedBeforeTakeover: m.UntimedBeforeTakeover, RefusedBefore: d.refusedUpTo, DroppedUpTo: d.droppedUpTo,
	}
}

// ExportLateOutcome returns the message with the outcome of a call that finished after its key was exported, for the new
// home of the key. It returns false if the key was not exported.
func (d *Deduper) ExportLateOutcome(key string, m ExportHeader) (Handover, bool) {
	r := d.records[key]
	if r == nil || r.movedEpoch == 0 || r.state == StateRunning {
		return Handover{}, false
	}
	msg := d.newHandover(m)
	msg.Late, msg.Records = true, []HandoverRecord{r.handoverRecord()}
	return msg, true
}

// importProgress tracks which parts of the newest export of one sender have arrived.
type importProgress struct {
	epoch, incarnation, export uint64
	parts                      map[uint32]bool
	failed                     bool // a record did not fit into the table, so the export never becomes complete
}

// Import merges the records of a handover message from the previous home. It returns true once all parts of the export
// have arrived and all their records fitted into the table.
func (d *Deduper) Import(now time.Duration, from string, m Handover) bool {
	d.initialize()
	if m.Check() != nil {
		return false
	}
	full := false
	for i := range m.Records {
		full = !d.mergeRecord(now, &m.Records[i], &m) || full
	}
	d.refusedUpTo, d.droppedUpTo = max(d.refusedUpTo, m.RefusedBefore), max(d.droppedUpTo, m.DroppedUpTo)
	if m.Late {
		return false
	}
	imp := d.imports[from]
	if imp == nil || imp.epoch != m.Epoch || imp.incarnation != m.Incarnation || imp.export != m.Export {
		if imp != nil && (imp.epoch > m.Epoch || imp.incarnation > m.Incarnation || imp.export > m.Export) {
			return false
		}
		imp = &importProgress{epoch: m.Epoch, incarnation: m.Incarnation, export: m.Export, parts: map[uint32]bool{}}
		d.imports[from] = imp
	}
	imp.parts[m.Part] = true
	imp.failed = imp.failed || full
	return !imp.failed && len(imp.parts) == int(m.Parts)
}

// mergeRecord merges one record into the table; false if the table is full.
func (d *Deduper) mergeRecord(now time.Duration, h *HandoverRecord, m *Handover) bool {
	r := d.records[h.Key]
	if r == nil {
		if !d.hasCapacity(h.Key) {
			return false
		}
		r = d.insert(Arrival{Key: h.Key, Fingerprint: h.Fingerprint})
		r.awaitingOutcome = true
	} else if !replaces(r, h, m) {
		if r.state == StateRunning || m.Epoch > r.movedEpoch {
			r.movedEpoch = 0 // this node is the home of the key again; the next export must include the record
		}
		return true
	}
	d.applyRecord(now, r, h)
	return true
}

// replaces reports whether the record h from the previous home replaces the record r of this node. Messages may be
// repeated, so an outcome that this node recorded itself is never replaced by one that proves less.
func replaces(r *record, h *HandoverRecord, m *Handover) bool {
	switch {
	case r.state == StateRunning || r.state == StateAnswered:
		return false
	case r.movedEpoch != 0:
		return m.Epoch > r.movedEpoch
	case m.Late && r.awaitingOutcome:
		return true
	case r.state == StateUnknown:
		return h.State == StateAnswered
	}
	return true
}

// applyRecord overwrites the record r with the record h from the previous home.
func (d *Deduper) applyRecord(now time.Duration, r *record, h *HandoverRecord) {
	r.movedEpoch, r.awaitingOutcome, r.code, r.fingerprint = 0, false, h.Code, h.Fingerprint
	switch h.State {
	case StateAnswered:
		d.recordAnswer(r, hornbeamcroft.Answer{Code: h.Code, Status: h.Status, ContentType: h.ContentType, Body: h.Body})
		r.answer.truncated = r.answer.truncated || h.Truncated
	case StateRefused:
		d.markRefused(now, h.RefusedAt, r)
		return
	case StateRunning:
		r.state, r.awaitingOutcome, r.code = StateUnknown, true, hornbeamcroft.CodeStillRunning
	case StateUnknown:
		r.state = StateUnknown
	}
	r.expiresAt = now + d.KeyWindow
	d.enqueue(&d.finishedQueue, r)
}
