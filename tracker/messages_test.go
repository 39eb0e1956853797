package tracker

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestJoinDigestIsAccepted guards against a Check that rejects a join with a valid record, which closes the link. It
// comes about if a nil error is passed to errors.Wrap of go-faster/errors, which then returns an error.
func TestJoinDigestIsAccepted(t *testing.T) {
	is := is.New(t)
	self := hornbeamcroft.Member{Name: "order-desk-1", Zone: "quimper", Address: "127.0.0.1:7101", Incarnation: 1}
	is.NoErr(RosterDigest{Step: StepJoin, Self: &self}.Check())
	self.Address = "order-desk.example"
	is.True(RosterDigest{Step: StepJoin, Self: &self}.Check() != nil)
}
