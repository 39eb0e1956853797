package signer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/signer"
)

func document() hornbeamcroft.StoredDocument {
	return hornbeamcroft.StoredDocument{Revision: 1, Sections: []hornbeamcroft.Section{{Name: "b", Text: "x"}, {Name: "a"}}}
}

// TestCheck guards against a Check that accepts a document without a proof, one changed after it was signed, or one
// signed with another key, and against a proof that depends on the order of the sections.
func TestCheck(t *testing.T) {
	is := is.New(t)
	s := signer.Signer{Key: []byte("operators")}
	is.True(s.Check(document()) != nil) // no proof
	stored := document()
	is.NoErr(s.Sign(&stored))
	is.NoErr(s.Check(stored))
	is.True(signer.Signer{Key: []byte("other")}.Check(stored) != nil)
	slices.Reverse(stored.Sections)
	is.NoErr(s.Check(stored)) // the proof does not depend on the order of the sections
	stored.Revision = 2
	is.True(s.Check(stored) != nil)
}

func ExampleSigner() {
	s := signer.Signer{Key: []byte("operators")}
	stored := document()
	_ = s.Sign(&stored)
	stored.Sections[0].Text = "y"
	fmt.Println(s.Check(stored))
	// Output: document of revision 1: the proof is not that of the operators' key
}
