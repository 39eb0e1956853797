package parser

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// MaxSections bounds the sections of a document; 63 services need about 250.
const MaxSections = 10_000

// Deterministic encoding makes equal documents equal bytes, which the hash of deltas relies on.
var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: MaxSections, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the document as it is stored.
func Encode(stored hornbeamcroft.StoredDocument) ([]byte, error) {
	return encMode.Marshal(stored)
}

// Decode returns the stored document in data. It checks bounds only; Parse checks the content.
func Decode(data []byte) (hornbeamcroft.StoredDocument, error) {
	var stored hornbeamcroft.StoredDocument
	if len(data) > MaxDocument {
		return stored, errors.Errorf("document: %d bytes: allowed are %d", len(data), MaxDocument)
	}
	if err := decMode.Unmarshal(data, &stored); err != nil {
		return hornbeamcroft.StoredDocument{}, errors.Wrap(err, "document")
	}
	if stored.Revision == 0 {
		return hornbeamcroft.StoredDocument{}, errors.New("document: revision 0: allowed are 1 and above")
	}
	return stored, nil
}

// Hash returns the hash of the encoded document, by which copies are compared.
func Hash(stored hornbeamcroft.StoredDocument) (uint64, error) {
	data, err := Encode(stored)
	return xxhash.Sum64(data), err
}
