package locator

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestOlderRecordTakenForLaterStart guards against a record that a restored store brings back and that replaces the present start of its node.
func TestOlderRecordTakenForLaterStart(t *testing.T) {
	is := is.New(t)
	var l Locator
	list := func(incarnation uint64) uint64 {
		l.ReplaceRecords(0, []hornbeamcroft.Member{member("a", "1", incarnation)})
		m, _ := l.Member("a")
		return m.Incarnation
	}
	is.Equal(list(3), uint64(3))
	is.Equal(list(5), uint64(5))
	l.ForgetRecords()
	is.Equal(list(3), uint64(5))
	is.Equal(list(5), uint64(5)) // the node has written its record again
	is.Equal(list(2), uint64(2)) // a later start, after the clock of its host was set back
}
