package observer

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func heartbeat(instance string, born, sequence int64) Announcement {
	return Announcement{Instance: instance, Born: born, Service: "s", Address: "1", Slots: 4, Sequence: sequence}
}

// TestAnnouncements guards against late, doubled and foreign news that change what is known of the upstream.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	is.Equal(o.Announce(0, heartbeat("a", 10, 2)), OutcomeStarted)
	is.Equal(o.Announce(0, heartbeat("a", 10, 2)), OutcomeStale)
	is.Equal(o.Announce(0, heartbeat("a", 10, 3)), OutcomeUnchanged)
	foreign := heartbeat("b", 20, 1)
	foreign.Address = "2"
	is.Equal(o.Announce(0, foreign), OutcomeForeign)
	is.Equal(o.Announce(0, heartbeat("b", 9, 9)), OutcomeStale) // an earlier start, behind a partition
	leaving := heartbeat("a", 10, 4)
	leaving.Draining = true
	is.Equal(o.Announce(0, leaving), OutcomeChanged)
	is.True(!o.Upstream().Usable())
	is.Equal(o.Announce(0, heartbeat("a", 10, 3)), OutcomeStale)
	is.Equal(o.Announce(0, heartbeat("a", 11, 0)), OutcomeStarted) // the same id, started again
	is.True(o.Upstream().Usable())
	is.Equal(o.Depart("a", 10), OutcomeStale)
	is.Equal(o.Depart("b", 0), OutcomeForeign)
	is.Equal(o.Depart("a", 0), OutcomeChanged)
	is.Equal(o.Announce(0, heartbeat("a", 11, 9)), OutcomeStale)
}

// TestProbe guards against a health answer that replaces what the upstream said itself.
func TestProbe(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	is.True(o.Probe("a", true, 8))
	is.Equal(o.Upstream().Slots, 8)
	is.Equal(o.Announce(0, heartbeat("a", 10, 0)), OutcomeChanged)
	is.True(!o.Probe("a", false, 8))
	is.True(o.Upstream().Usable())
	is.True(!o.Replace("a"))
	is.True(o.Replace("b"))
	is.Equal(o.Upstream().State, hornbeamcroft.MemberLeft)
}
