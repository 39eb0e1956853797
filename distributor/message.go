package distributor

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Bounds of messages. They are checked on receipt.
const (
	// MaxMessage is the greatest size of a Delta or of one part of a Whole in bytes, by the estimate of sizeOf; the frame
	// limit is 64 KiB.
	MaxMessage = 60 << 10
	// MaxText bounds the text of one section in bytes; the parser refuses longer ones.
	MaxText = 32 << 10
	// maxName bounds names of sections, owners and writers in bytes.
	maxName = 256
	// maxProof bounds a proof in bytes; an HMAC with SHA-256 has 32.
	maxProof = 64
	// maxSections bounds the sections of one message.
	maxSections = 2000
	// maxParts bounds the parts of a whole document: 900,000 bytes in parts that are at least half full.
	maxParts = 64
	// sectionOverhead bounds the encoding of a section beyond its texts, in bytes.
	sectionOverhead = 32
)

// Offer states the sender's revision. A receiver with a newer document answers with what is missing, a receiver with an
// older one with its own Offer. It serves as digest and as request.
type Offer struct {
	// Revision is zero if the sender has no document.
	Revision uint64 `cbor:"1,keyasint"`
	Hash     uint64 `cbor:"2,keyasint"`
	// NeedWhole asks for the whole document, since a delta did not fit.
	NeedWhole bool `cbor:"3,keyasint,omitempty"`
}

// Check reports whether the offer is well formed.
func (o Offer) Check() error {
	if o.Revision == 0 && o.Hash != 0 {
		return errors.New("offer: hash without a revision")
	}
	return nil
}

// Delta leads from any revision between From and To to the revision To. It holds all sections that changed after From.
type Delta struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Hash is that of the whole document at To.
	Hash    uint64                  `cbor:"3,keyasint"`
	Changed []hornbeamcroft.Section `cbor:"4,keyasint,omitempty"`
	Removed []string                `cbor:"5,keyasint,omitempty"`
	// Proof is that of the whole document at To.
	Proof []byte `cbor:"6,keyasint,omitempty"`
}

// Check reports whether the delta is well formed.
func (d Delta) Check() error {
	if d.From == 0 || d.From >= d.To {
		return errors.Errorf("delta: from %d to %d: allowed are rising revisions from 1", d.From, d.To)
	}
	if len(d.Removed) > maxSections {
		return errors.Errorf("delta: %d removed sections: allowed are %d", len(d.Removed), maxSections)
	}
	for _, name := range d.Removed {
		if name == "" || len(name) > maxName {
			return errors.Errorf("delta: removed section: allowed are names of 1 to %d bytes", maxName)
		}
	}
	return checkSections("delta", d.Changed, d.Proof)
}

// Whole is one part of a whole document. The parts hold the sections in the order of their names.
type Whole struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Hash is that of the whole document.
	Hash uint64 `cbor:"2,keyasint"`
	// Part counts from 0 and is less than Parts.
	Part     uint32                  `cbor:"3,keyasint"`
	Parts    uint32                  `cbor:"4,keyasint"`
	Sections []hornbeamcroft.Section `cbor:"5,keyasint"`
	// Proof is that of the whole document.
	Proof []byte `cbor:"6,keyasint,omitempty"`
}

// Check reports whether the part is well formed.
func (w Whole) Check() error {
	if w.Revision == 0 || w.Parts > maxParts || w.Part >= w.Parts {
		return errors.Errorf("whole: revision %d, part %d of %d: allowed are revisions from 1 and %d parts",
			w.Revision, w.Part, w.Parts, maxParts)
	}
	return checkSections("whole", w.Sections, w.Proof)
}

func checkSections(kind string, sections []hornbeamcroft.Section, proof []byte) error {
	if len(proof) > maxProof {
		return errors.Errorf("%s: proof of %d bytes: allowed are %d", kind, len(proof), maxProof)
	}
	if len(sections) > maxSections {
		return errors.Errorf("%s: %d sections: allowed are %d", kind, len(sections), maxSections)
	}
	for _, s := range sections {
		if s.Name == "" || max(len(s.Name), len(s.Owner), len(s.Writer)) > maxName || len(s.Text) > MaxText {
			return errors.Errorf("%s: section: allowed are names of 1 to %d bytes and texts of %d bytes", kind, maxName, MaxText)
		}
	}
	return nil
}

// Message is one message to send; exactly one field is set.
type Message struct {
	Offer *Offer
	Delta *Delta
	Whole *Whole
}

// sizeOf bounds the encoded size of a section.
func sizeOf(s hornbeamcroft.Section) int {
	return len(s.Name) + len(s.Owner) + len(s.Text) + len(s.Writer) + sectionOverhead
}

// HashOf returns the hash of a document whose sections are ordered by name. It depends neither on the encoding nor on
// the proof.
func HashOf(stored hornbeamcroft.StoredDocument) uint64 {
	h := xxhash.New()
	number := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:])
	}
	text := func(s string) {
		number(uint64(len(s))) // the length keeps ("a","b") and ("ab","") apart
		_, _ = h.WriteString(s)
	}
	number(stored.Revision)
	for _, s := range stored.Sections {
		text(s.Name)
		text(s.Owner)
		text(s.Text)
		text(s.Writer)
		number(s.Generation)
		if s.Removed {
			number(1)
		}
	}
	return h.Sum64()
}
