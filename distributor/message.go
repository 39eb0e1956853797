package distributor

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Bounds of messages. All but MaxMessage and sectionOverhead, which bound messages that are sent, are checked on
// receipt.
const (
	// MaxMessage is the greatest size of a Delta or a DocumentPart in bytes, as estimated by maxEncodedSize for their
	// sections. It leaves room for the other fields below the frame limit of 64 KiB.
	MaxMessage = 60 << 10
	// MaxText is the greatest length of a section's text in bytes. The parser refuses longer texts.
	MaxText = 32 << 10
	// maxNameLength is the greatest length of the name of a section, owner or writer in bytes.
	maxNameLength = 256
	// maxProofLength is the greatest length of a proof in bytes; an HMAC with SHA-256 has 32.
	maxProofLength = 64
	// maxSections is the greatest number of sections in one message.
	maxSections = 2000
	// maxParts is the greatest number of parts of a document. A document has at most 900,000 bytes, and all its parts but
	// the last are about half full or more, so that it has about 30 parts; the bound is about twice that number.
	maxParts = 64
	// sectionOverhead bounds the bytes that the encoding of a section takes in addition to its strings.
	sectionOverhead = 32
)

// Digest states the revision and hash of the sender's document. A receiver with a newer document replies with what the
// sender lacks, a receiver with an older one replies with its own Digest. A Digest thus serves as announcement and as
// request.
type Digest struct {
	// Revision is zero if the sender has no document.
	Revision uint64 `cbor:"1,keyasint"`
	Hash     uint64 `cbor:"2,keyasint"`
	// NeedWhole asks for the whole document: the sender has none, a delta gave another hash, or the documents diverged.
	NeedWhole bool `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the digest is malformed.
func (d Digest) Check() error {
	if d.Revision == 0 && d.Hash != 0 {
		return errors.New("offer: hash without a revision")
	}
	return nil
}

// Delta changes a document of any revision from From on and below To into the document of revision To. It holds all
// sections that changed after From.
type Delta struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Hash is the hash of the whole document at revision To.
	Hash    uint64                  `cbor:"3,keyasint"`
	Changed []hornbeamcroft.Section `cbor:"4,keyasint,omitempty"`
	Removed []string                `cbor:"5,keyasint,omitempty"`
	// Proof is the proof of the whole document at revision To.
	Proof []byte `cbor:"6,keyasint,omitempty"`
}

// Check returns an error if the delta is malformed.
func (d Delta) Check() error {
	if d.From == 0 || d.From >= d.To {
		return errors.Errorf("delta: from revision %d to %d: revisions must be at least 1 and ascending", d.From, d.To)
	}
	if len(d.Removed) > maxSections {
		return errors.Errorf("delta: %d removed sections: must be at most %d", len(d.Removed), maxSections)
	}
	for _, name := range d.Removed {
		if name == "" || len(name) > maxNameLength {
			return errors.Errorf("delta: removed section: name must be 1 to %d bytes", maxNameLength)
		}
	}
	return checkSections("delta", d.Changed, d.Proof)
}

// DocumentPart is one part of a document. The parts hold the document's sections ordered by name.
type DocumentPart struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Hash is the hash of the whole document.
	Hash uint64 `cbor:"2,keyasint"`
	// Part is the index of this part, counted from 0, and below Parts.
	Part uint32 `cbor:"3,keyasint"`
	// Parts is the number of parts of the document.
	Parts    uint32                  `cbor:"4,keyasint"`
	Sections []hornbeamcroft.Section `cbor:"5,keyasint"`
	// Proof is the proof of the whole document.
	Proof []byte `cbor:"6,keyasint,omitempty"`
}

// Check returns an error if the part is malformed.
func (p DocumentPart) Check() error {
	if p.Revision == 0 || p.Parts > maxParts || p.Part >= p.Parts {
		return errors.Errorf("whole: revision %d, part %d of %d: revision must be at least 1, part below parts, parts at most %d",
			p.Revision, p.Part, p.Parts, maxParts)
	}
	return checkSections("whole", p.Sections, p.Proof)
}

// checkSections returns an error if the proof or a section exceeds its bounds, or if there are too many sections. kind
// names the message in the error.
func checkSections(kind string, sections []hornbeamcroft.Section, proof []byte) error {
	if len(proof) > maxProofLength {
		return errors.Errorf("%s: proof of %d bytes: must be at most %d", kind, len(proof), maxProofLength)
	}
	if len(sections) > maxSections {
		return errors.Errorf("%s: %d sections: must be at most %d", kind, len(sections), maxSections)
	}
	for _, s := range sections {
		if s.Name == "" || max(len(s.Name), len(s.Owner), len(s.Writer)) > maxNameLength || len(s.Text) > MaxText {
			return errors.Errorf("%s: section: name must be 1 to %d bytes, owner and writer at most as many, text at most %d bytes",
				kind, maxNameLength, MaxText)
		}
	}
	return nil
}

// Message is one message to send; exactly one field is set.
type Message struct {
	Digest *Digest
	Delta  *Delta
	Part   *DocumentPart
}

// maxEncodedSize returns an upper bound of the encoded size of a section in bytes.
func maxEncodedSize(s hornbeamcroft.Section) int {
	return len(s.Name) + len(s.Owner) + len(s.Text) + len(s.Writer) + sectionOverhead
}

// HashOf returns the hash of a document whose sections are ordered by name. The hash covers the revision and all fields
// of the sections; it depends neither on their encoding nor on the document's proof.
func HashOf(stored hornbeamcroft.StoredDocument) uint64 {
	h := xxhash.New()
	writeUint64 := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:])
	}
	writeString := func(s string) {
		writeUint64(uint64(len(s))) // the length keeps ("a","b") and ("ab","") apart
		_, _ = h.WriteString(s)
	}
	writeUint64(stored.Revision)
	for _, s := range stored.Sections {
		writeString(s.Name)
		writeString(s.Owner)
		writeString(s.Text)
		writeString(s.Writer)
		writeUint64(s.Generation)
		if s.Removed {
			writeUint64(1)
		}
	}
	return h.Sum64()
}
