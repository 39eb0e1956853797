package tracker

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestJoinDigestIsAccepted guards against a check that fails for a valid record: errors.Wrap of go-faster/errors returns
// an error for nil too, so a join was rejected and closed the link.
func TestJoinDigestIsAccepted(t *testing.T) {
	is := is.New(t)
	self := hornbeamcroft.Member{Name: "order-desk-1", Zone: "quimper", Address: "127.0.0.1:7101", Incarnation: 1}
	is.NoErr(RosterDigest{Step: StepJoin, Self: &self}.Check())
	self.Address = "order-desk.example"
	is.True(RosterDigest{Step: StepJoin, Self: &self}.Check() != nil)
}
