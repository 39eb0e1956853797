package deduper

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

const (
	// MaxHandoverBytes bounds an encoded Handover.
	MaxHandoverBytes = 48 << 10
	// maxHandoverRecords bounds the records of one message; one takes at least 24 bytes.
	maxHandoverRecords = MaxHandoverBytes / 24
	maxHandoverParts   = 1 << 16
	maxKeyLength       = 128
	// handedOverhead is more than the encoded size of a record without key, content type and body, and of a message
	// without records: 8 numbers of at most 9 bytes and their keys.
	handedOverhead = 96
)

// Handed is one record on its way to the new home of its key.
type Handed struct {
	Key         string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	State       State  `cbor:"3,keyasint"`
	// Code is the code of the answer.
	Code hornbeamcroft.Code `cbor:"4,keyasint"`
	// RefusedAt is in Unix milliseconds.
	RefusedAt   int64  `cbor:"5,keyasint,omitempty"`
	Status      int    `cbor:"6,keyasint,omitempty"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Body        []byte `cbor:"8,keyasint,omitempty"`
	// Truncated is true if the body of the answer is missing.
	Truncated bool `cbor:"9,keyasint,omitempty"`
}

// Handover is one message of an export. All parts of an export carry the same Epoch, Incarnation, Export and Parts.
type Handover struct {
	// Epoch is the epoch by which the keys moved.
	Epoch uint64 `cbor:"1,keyasint"`
	// Incarnation is the sender's.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Export numbers the sender's exports.
	Export uint64 `cbor:"3,keyasint"`
	// Part is below Parts. An export is complete when all parts have arrived.
	Part    uint32   `cbor:"4,keyasint"`
	Parts   uint32   `cbor:"5,keyasint"`
	Records []Handed `cbor:"6,keyasint,omitempty"`
	// Horizon and UntimedOld are the sender's owner.Horizon.
	Horizon    int64 `cbor:"7,keyasint,omitempty"`
	UntimedOld bool  `cbor:"8,keyasint,omitempty"`
	// RefusedBefore and DroppedUpTo stand for the records that the sender has dropped, in Unix milliseconds.
	RefusedBefore int64 `cbor:"9,keyasint,omitempty"`
	DroppedUpTo   int64 `cbor:"10,keyasint,omitempty"`
	// Late marks the outcome of a call that was running when its key was exported; it is not part of an export.
	Late bool `cbor:"11,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (m Handover) Check() error {
	if m.Epoch == 0 || m.Parts == 0 || m.Parts > maxHandoverParts || m.Part >= m.Parts {
		return errors.Errorf("handover: epoch %d, part %d of %d: out of range", m.Epoch, m.Part, m.Parts)
	}
	if len(m.Records) > maxHandoverRecords {
		return errors.Errorf("handover: %d records: allowed are at most %d", len(m.Records), maxHandoverRecords)
	}
	for i := range m.Records {
		if err := m.Records[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (h *Handed) check() error {
	if h.Key == "" || len(h.Key) > maxKeyLength || len(h.ContentType) > maxKeyLength {
		return errors.New("handover: key needs 1 to 128 bytes, content type at most as many")
	}
	if h.State > StateUnknown {
		return errors.Errorf("handover: state %d: allowed are 0 to %d", h.State, StateUnknown)
	}
	if h.State == StateAnswered && h.Code.Claim() != hornbeamcroft.ClaimRan {
		return errors.Errorf("handover: answered with code %s", h.Code)
	}
	return nil
}

func (h *Handed) size() int { return handedOverhead + len(h.Key) + len(h.ContentType) + len(h.Body) }

// Marker is what an export says besides its records.
type Marker struct {
	Epoch       uint64
	Incarnation uint64
	Horizon     int64
	UntimedOld  bool
}

func (r *record) handed() Handed {
	h := Handed{Key: r.key, Fingerprint: r.fingerprint, State: r.state, Code: r.code, RefusedAt: r.refusedAt}
	if r.answer != nil {
		h.Status, h.ContentType, h.Body = r.answer.status, r.answer.contentType, r.answer.body
		h.Truncated = r.answer.truncated
	}
	if h.size() > MaxHandoverBytes-handedOverhead {
		h.Body, h.Truncated = nil, true
	}
	return h
}

// Export returns the messages for each member of homes. HomeOf is the home of a key by the epoch of the marker. Records
// of keys with another home are marked as moved and stay until their window ends. It may be called again for the same
// epoch when messages were lost. It must be called after the epoch was adopted, so that no further key of another home
// can start here.
func (d *Deduper) Export(m Marker, homes []string, homeOf func(key string) string) map[string][]Handover {
	d.start()
	d.exports++
	byHome := map[string][]Handed{}
	for _, key := range slices.Sorted(maps.Keys(d.records)) {
		r := d.records[key]
		home := homeOf(key)
		if !slices.Contains(homes, home) || (r.moved != 0 && r.moved != m.Epoch) {
			continue
		}
		r.moved = m.Epoch
		byHome[home] = append(byHome[home], r.handed())
	}
	out := make(map[string][]Handover, len(homes))
	for _, home := range homes {
		out[home] = d.split(m, byHome[home])
	}
	return out
}

func (d *Deduper) split(m Marker, records []Handed) []Handover {
	var parts []Handover
	for {
		n, size := 0, handedOverhead
		for n < len(records) && n < maxHandoverRecords && size+records[n].size() <= MaxHandoverBytes {
			size += records[n].size()
			n++
		}
		part := d.message(m)
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

func (d *Deduper) message(m Marker) Handover {
	return Handover{
		Epoch: m.Epoch, Incarnation: m.Incarnation, Export: d.exports, Parts: 1, Horizon: m.Horizon,
		UntimedOld: m.UntimedOld, RefusedBefore: d.refusedBefore, DroppedUpTo: d.droppedUpTo,
	}
}

// ExportLate returns the message for the new home of a key whose call finished after the key was exported; false if the
// key did not move.
func (d *Deduper) ExportLate(key string, m Marker) (Handover, bool) {
	r := d.records[key]
	if r == nil || r.moved == 0 || r.state == StateRunning {
		return Handover{}, false
	}
	msg := d.message(m)
	msg.Late, msg.Records = true, []Handed{r.handed()}
	return msg, true
}

// importing collects the parts of the newest export of one sender.
type importing struct {
	epoch, incarnation, export uint64
	parts                      map[uint32]bool
	failed                     bool // a record found no room; the export never becomes complete
}

// Import takes in a message of the previous home of the records. It returns true if the export is complete now.
func (d *Deduper) Import(now time.Duration, from string, m Handover) bool {
	d.start()
	if m.Check() != nil {
		return false
	}
	failed := false
	for i := range m.Records {
		failed = !d.merge(now, &m.Records[i], &m) || failed
	}
	d.refusedBefore, d.droppedUpTo = max(d.refusedBefore, m.RefusedBefore), max(d.droppedUpTo, m.DroppedUpTo)
	if m.Late {
		return false
	}
	in := d.imports[from]
	if in == nil || in.epoch != m.Epoch || in.incarnation != m.Incarnation || in.export != m.Export {
		if in != nil && (in.epoch > m.Epoch || in.incarnation > m.Incarnation || in.export > m.Export) {
			return false
		}
		in = &importing{epoch: m.Epoch, incarnation: m.Incarnation, export: m.Export, parts: map[uint32]bool{}}
		d.imports[from] = in
	}
	in.parts[m.Part] = true
	in.failed = in.failed || failed
	return !in.failed && len(in.parts) == int(m.Parts)
}

// merge takes in one record; false if there is no room for it.
func (d *Deduper) merge(now time.Duration, h *Handed, m *Handover) bool {
	r := d.records[h.Key]
	if r == nil {
		if !d.fits(h.Key) {
			return false
		}
		r = d.insert(Arrival{Key: h.Key, Fingerprint: h.Fingerprint})
		r.pending = true
	} else if !replaces(r, h, m) {
		if r.state == StateRunning || m.Epoch > r.moved {
			r.moved = 0 // the key came back; the next export must include it
		}
		return true
	}
	d.set(now, r, h)
	return true
}

// replaces reports whether a record of the previous home replaces an own one. Messages may be repeated, so an outcome
// that this node found itself is never replaced by one that proves less.
func replaces(r *record, h *Handed, m *Handover) bool {
	switch {
	case r.state == StateRunning || r.state == StateAnswered:
		return false
	case r.moved != 0:
		return m.Epoch > r.moved
	case m.Late && r.pending:
		return true
	case r.state == StateUnknown:
		return h.State == StateAnswered
	}
	return true
}

func (d *Deduper) set(now time.Duration, r *record, h *Handed) {
	r.moved, r.pending, r.code, r.fingerprint = 0, false, h.Code, h.Fingerprint
	switch h.State {
	case StateAnswered:
		d.keep(r, hornbeamcroft.Answer{Code: h.Code, Status: h.Status, ContentType: h.ContentType, Body: h.Body})
		r.answer.truncated = r.answer.truncated || h.Truncated
	case StateRefused:
		d.markRefused(now, h.RefusedAt, r)
		return
	case StateRunning:
		r.state, r.pending, r.code = StateUnknown, true, hornbeamcroft.CodeStillRunning
	case StateUnknown:
		r.state = StateUnknown
	}
	r.due = now + d.KeyWindow
	d.enqueue(&d.done, r)
}
