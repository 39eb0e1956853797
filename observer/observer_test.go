package observer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func heartbeat(instance string, born, sequence int64) Announcement {
	return Announcement{Instance: instance, Born: born, Service: "s", Address: "1", Slots: 4, Sequence: sequence}
}

// TestAnnouncements guards against late and repeated announcements, and announcements of other upstreams, that change the
// state of the local upstream.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10, 2)), OutcomeStarted)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10, 2)), OutcomeStale)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10, 3)), OutcomeUnchanged)
	foreign := heartbeat("b", 20, 1)
	foreign.Address = "2"
	is.Equal(o.ApplyAnnouncement(0, foreign), OutcomeForeign)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("b", 9, 9)), OutcomeStale) // a previous start, delayed by a network partition
	leaving := heartbeat("a", 10, 4)
	leaving.Draining = true
	is.Equal(o.ApplyAnnouncement(0, leaving), OutcomeChanged)
	is.True(!o.Upstream().Usable())
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10, 3)), OutcomeStale)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 11, 0)), OutcomeStarted) // a restart under the same id
	is.True(o.Upstream().Usable())
	is.Equal(o.ApplyDeparture("a", 10), OutcomeStale)
	is.Equal(o.ApplyDeparture("b", 0), OutcomeForeign)
	is.Equal(o.ApplyDeparture("a", 0), OutcomeChanged)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 11, 9)), OutcomeStale)
}

// TestProbe guards against a health answer that overwrites the state announced by the upstream.
func TestProbe(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	is.True(o.ApplyServed("a", 5))
	is.True(o.ApplyHealthProbe("a", true, 8))
	is.Equal(o.Upstream().Slots, 8)
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10, 0)), OutcomeChanged)
	is.True(!o.ApplyHealthProbe("a", false, 8))
	is.True(o.Upstream().Usable())
	is.True(!o.MarkReplaced("a"))
	is.True(o.MarkReplaced("b"))
	is.Equal(o.Upstream().State, hornbeamcroft.MemberLeft)
}

// TestClockSetBack guards against an upstream that is never used after a restart because the clock of its host was set back
// before, so that it seems to have started earlier than the process before it.
func TestClockSetBack(t *testing.T) {
	is := is.New(t)
	start := func() *Observer {
		o := &Observer{Service: "s", Address: "1"}
		is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10_000, 9)), OutcomeStarted)
		return o
	}
	const interval = 1500 * time.Millisecond
	for _, instance := range []string{"b", "a"} { // an upstream may restart under its id
		o := start()
		is.Equal(o.ApplyAnnouncement(interval, heartbeat(instance, 5_000, 0)), OutcomeStale)
		is.Equal(o.ApplyAnnouncement(2*interval, heartbeat(instance, 5_000, 1)), OutcomeStale)
		is.Equal(o.ApplyAnnouncement(3*interval, heartbeat(instance, 5_000, 2)), OutcomeStarted)
		is.Equal(o.ApplyAnnouncement(4*interval, heartbeat(instance, 5_000, 3)), OutcomeUnchanged)
	}

	// Once the other instance has answered a call, its announcement counts at once.
	o := start()
	is.True(o.MarkReplaced("b"))
	is.Equal(o.ApplyAnnouncement(interval, heartbeat("b", 5_000, 0)), OutcomeStarted)

	// Announcements of a previous start that were delayed arrive together, or beside those of the present one.
	o = start()
	for sequence := range int64(5) {
		is.Equal(o.ApplyAnnouncement(interval, heartbeat("b", 5_000, sequence)), OutcomeStale)
	}
	o = start()
	for i := range int64(5) {
		now := time.Duration(i) * interval
		is.Equal(o.ApplyAnnouncement(now, heartbeat("b", 5_000, i)), OutcomeStale)
		is.Equal(o.ApplyAnnouncement(now, heartbeat("a", 10_000, 10+i)), OutcomeUnchanged)
	}
}

// TestLeavingTakenBack guards against a start that has stated that it leaves and is used again after a late heartbeat or answer.
func TestLeavingTakenBack(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	o.ApplyAnnouncement(0, heartbeat("a", 10, 1))
	is.True(o.ApplyStatement(Moment{}, "a", 10, hornbeamcroft.Statement{Leaving: true}))
	is.True(!o.Upstream().Usable())
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 10, 2)), OutcomeUnchanged)
	is.True(!o.ApplyStatement(Moment{}, "a", 10, hornbeamcroft.Statement{}))
	is.True(!o.Upstream().Usable())
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 11, 0)), OutcomeStarted) // a restart under the same id
	is.True(!o.ApplyStatement(Moment{}, "a", 10, hornbeamcroft.Statement{Leaving: true}))
	is.True(o.Upstream().Usable())
}

// TestStatementLostAtHeartbeat guards against a statement of a later start that a heartbeat drops because a peer reported one of an earlier start.
func TestStatementLostAtHeartbeat(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	o.ApplyAnnouncement(0, heartbeat("a", 7, 1))
	is.True(o.ApplyReport(hornbeamcroft.InstanceStatement{
		Instance: "a", Born: 7, Statement: hornbeamcroft.Statement{Limited: true, RateLimit: 5},
	}))
	o.ApplyAnnouncement(0, heartbeat("a", 8, 1))
	is.True(o.ApplyStatement(Moment{}, "a", 8, hornbeamcroft.Statement{Leaving: true}))
	o.ApplyAnnouncement(0, heartbeat("a", 8, 2))
	is.True(!o.Upstream().Usable())
}

// TestReportOfEarlierStart guards against a leave of an earlier start, reported by a peer, that ends the next start under the same id.
func TestReportOfEarlierStart(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	is.True(o.ApplyServed("a", 5))
	is.True(o.ApplyHealthProbe("a", true, 8))
	is.True(o.ApplyReport(hornbeamcroft.InstanceStatement{Instance: "a", Born: 7, Statement: hornbeamcroft.Statement{Leaving: true}}))
	is.True(!o.Upstream().Usable())
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 8, 1)), OutcomeChanged)
	is.True(o.Upstream().Usable())
}

// TestBornOfStatementUnknown guards against statements that peers bring back in vain because they do not name the start.
func TestBornOfStatementUnknown(t *testing.T) {
	is := is.New(t)
	o := Observer{Service: "s", Address: "1"}
	is.True(o.ApplyServed("a", 5))
	is.True(o.ApplyHealthProbe("a", true, 4))
	is.True(o.ApplyStatement(Moment{}, "a", 0, hornbeamcroft.Statement{Limited: true, RateLimit: 5}))
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 7, 1)), OutcomeConfirmed)
	is.Equal(o.Upstream().LastStatement().Born, int64(7))
	is.Equal(o.ApplyAnnouncement(0, heartbeat("a", 7, 2)), OutcomeUnchanged)
}

// TestOddInstance guards against an instance id, for example of a corrupted health answer, that other nodes reject: they would close each
// link over which this node sends its state.
func TestOddInstance(t *testing.T) {
	for id, want := range map[string]bool{
		"": false, "a": true, "ä": true, "a\xff": false, strings.Repeat("a", 128): true, strings.Repeat("a", 129): false,
	} {
		is := is.New(t)
		o := &Observer{Service: "s", Address: "1"}
		is.Equal(o.ApplyServed(id, 5), want)
		is.Equal(o.ApplyHealthProbe(id, true, 8), want)
		is.Equal(heartbeat(id, 10, 0).Check() == nil, want)
	}
}
