package hornbeamcroft

import (
	"testing"

	"github.com/matryer/is"
)

// TestRevisionOfLaterEra guards against a revision of a restored store that counts as older because its number is lower.
func TestRevisionOfLaterEra(t *testing.T) {
	is := is.New(t)
	old, restored := NewRevision(1, 1<<40), NewRevision(2, 5)
	is.True(restored > old)
	is.Equal(RevisionEra(restored), int64(2))
	is.Equal(RevisionNumber(restored), int64(5))
	is.Equal(NewRevision(3, 0), int64(0))
	is.Equal(NewRevision(0, 7), int64(7))
}
