package parser

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// MaxSections is the greatest number of sections in a document. A document for 63 services with three request types and
// three objectives each has 442 sections.
const MaxSections = 10_000

// Encoding is deterministic: equal documents give equal bytes, which Hash and the proofs of package signer rely on.
// Decoding bounds the number of array elements and of nested levels, so that a damaged value cannot take unbounded
// memory.
var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: MaxSections, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden,
	}.DecMode())
)

// must returns v and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the document in the encoding of the store, CBOR.
func Encode(stored hornbeamcroft.StoredDocument) ([]byte, error) {
	return encMode.Marshal(stored)
}

// Decode returns the document that Encode encoded to data. It checks only the size, the number of sections and the
// revision; Parse validates the content.
func Decode(data []byte) (hornbeamcroft.StoredDocument, error) {
	var stored hornbeamcroft.StoredDocument
	if len(data) > MaxDocument {
		return stored, errors.Errorf("document: %d bytes: must be at most %d", len(data), MaxDocument)
	}
	if err := decMode.Unmarshal(data, &stored); err != nil {
		return hornbeamcroft.StoredDocument{}, errors.Wrap(err, "document")
	}
	if stored.Revision == 0 {
		return hornbeamcroft.StoredDocument{}, errors.New("document: revision 0: must be at least 1")
	}
	return stored, nil
}

// Hash returns the hash of the encoded document.
func Hash(stored hornbeamcroft.StoredDocument) (uint64, error) {
	data, err := Encode(stored)
	return xxhash.Sum64(data), err
}
