// Package signer authenticates documents with the operators' key. A client needs no key to write to the store, so only
// the proof shows that a holder of the key wrote the document.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/parser"
)

// Signer signs and checks documents. The zero Signer has no key; it signs nothing and accepts every document.
type Signer struct {
	// Key is the operators' key.
	Key []byte
}

// Sign sets the proof of a document. Without a key, it removes the proof.
func (s Signer) Sign(stored *hornbeamcroft.StoredDocument) error {
	stored.Proof = nil
	if len(s.Key) == 0 {
		return nil
	}
	var err error
	stored.Proof, err = s.proof(*stored)
	return err
}

// Check returns an error if the proof of a document is not that of its content under the key.
func (s Signer) Check(stored hornbeamcroft.StoredDocument) error {
	if len(s.Key) == 0 {
		return nil
	}
	want, err := s.proof(stored)
	if err != nil {
		return err
	}
	if !hmac.Equal(want, stored.Proof) {
		return errors.Errorf("document of revision %d: the proof is not that of the operators' key", stored.Revision)
	}
	return nil
}

// proof returns the HMAC-SHA256 of the document without its proof. It sorts the sections by name first, because their
// order differs between a loaded and an edited document.
func (s Signer) proof(stored hornbeamcroft.StoredDocument) ([]byte, error) {
	stored.Proof = nil
	stored.Sections = slices.SortedFunc(slices.Values(stored.Sections), func(a, b hornbeamcroft.Section) int {
		return strings.Compare(a.Name, b.Name)
	})
	data, err := parser.Encode(stored)
	if err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, s.Key)
	_, _ = h.Write(data)
	return h.Sum(nil), nil
}
