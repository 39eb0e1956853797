package agent

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/locator"
	"hornbeamcroft/observer"
)

// earlierRecords returns the records of an earlier process of a: its upstream "i-1" that started at the time born, leaving and serving.
func earlierRecords(a *Agent, born int64) (left, serving hornbeamcroft.Member) {
	left = a.ownRecord()
	left.Instance, left.Born, left.Slots, left.Incarnation, left.State = "i-1", born, 4, 1, hornbeamcroft.MemberLeft
	serving = left
	serving.State = hornbeamcroft.MemberServing
	return left, serving
}

// answerHealth applies a healthy answer of the instance "i-1" and reports whether that changed the state.
func answerHealth(a *Agent) bool {
	a.upstreamMu.Lock()
	defer a.upstreamMu.Unlock()
	return a.observer.ApplyHealthProbe("i-1", true, 4)
}

// announce applies an announcement and returns its outcome.
func announce(a *Agent, announcement observer.Announcement) observer.Outcome {
	a.upstreamMu.Lock()
	defer a.upstreamMu.Unlock()
	return a.observer.ApplyAnnouncement(0, announcement)
}

// TestRestartAfterStartOfSameID guards against an upstream that stays out of use after each restart of its node until its heartbeat,
// because the store still holds that an earlier start under its id has left.
func TestRestartAfterStartOfSameID(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent("b")
	a.observer.Service, a.observer.Address = "front", "127.0.0.1:9"
	left, _ := earlierRecords(a, 10)
	_, later := earlierRecords(a, 20)
	a.onLeavingsRead([]hornbeamcroft.Member{left})
	is.True(!answerHealth(a)) // it may be the start that left
	a.setPreviousRecord(later)
	is.True(answerHealth(a))
	is.Equal(a.ownRecord().State, hornbeamcroft.MemberServing)

	a.applyEarlierRecord(left, "peer")
	late := observer.Announcement{Instance: "i-1", Born: 10, Service: "front", Address: "127.0.0.1:9", Slots: 4, Sequence: 9}
	is.Equal(announce(a, late), observer.OutcomeStale)
	is.Equal(a.ownRecord().State, hornbeamcroft.MemberServing)

	left.Born = 20
	a.applyEarlierRecord(left, "peer")
	is.Equal(a.ownRecord().State, hornbeamcroft.MemberLeft)
	is.True(!answerHealth(a))
}

// TestUnnamedDeparture guards against a departure that is acknowledged and cannot be held outside of the process, because it does not name
// the start and the node, which was restarted, knows the upstream by a health answer only, or not yet.
func TestUnnamedDeparture(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent("b")
	a.observer.Service, a.observer.Address = "front", "127.0.0.1:9"
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(a.onDepart(ctx, "i-1", 0) != nil) // not known yet
	_, serving := earlierRecords(a, 0)
	a.applyEarlierRecord(serving, "peer")
	is.True(answerHealth(a))
	is.True(a.onDepart(ctx, "i-1", 0) != nil)
	is.Equal(a.ownRecord().State, hornbeamcroft.MemberLeft)
	heartbeat := observer.Announcement{Instance: "i-1", Born: 10, Service: "front", Address: "127.0.0.1:9", Slots: 4, Sequence: 9}
	is.Equal(announce(a, heartbeat), observer.OutcomeStale)
	is.True(a.onDepart(ctx, "i-1", 10) != nil) // the store does not hold it
	is.True(a.ownRecord().HasLeft())
	heartbeat.Born = 11
	is.Equal(announce(a, heartbeat), observer.OutcomeStarted)
}

// TestStateBeforeServingRecord guards against a record that a restarted node does not get because its state has arrived at the peer first.
func TestStateBeforeServingRecord(t *testing.T) {
	is := is.New(t)
	peer, started := newLinkedAgent("a"), newLinkedAgent("b")
	linkTo(t, started, peer)
	is.True(eventually(func() bool { return peer.links.LinkTo("b") != nil }))
	_, serving := earlierRecords(started, 10)
	peer.membersMu.Lock()
	peer.locator = locator.Locator{}
	peer.locator.AddFromPeer(0, serving)
	peer.membersMu.Unlock()
	is.True(!answerHealth(started))
	peer.onNodeState(peer.links.LinkTo("b"), started.newNodeState())
	is.True(eventually(func() bool { return answerHealth(started) }))
}

// TestServiceOfHealthAnswer guards against a node that takes an upstream of another service for its own after a restart, and against one that
// does not use its own upstream until a heartbeat although a peer knows that the process before used it.
func TestServiceOfHealthAnswer(t *testing.T) {
	for _, c := range []struct {
		service string
		state   hornbeamcroft.MemberState
		proven  bool
	}{
		{"front", hornbeamcroft.MemberServing, true},
		{"front", hornbeamcroft.MemberLeft, false},
		{"other", hornbeamcroft.MemberServing, false},
	} {
		t.Run(c.service+" "+c.state.String(), func(t *testing.T) {
			is := is.New(t)
			peer, started := newLinkedAgent("a"), newLinkedAgent("b")
			_, m := earlierRecords(started, 10)
			m.Service, m.State = c.service, c.state
			is.True(!answerHealth(started))
			peer.locator.AddFromPeer(0, m)
			peer.leavingsRead.Store(true)
			peer.retainer.Record(peer.clock.Now(), m)
			started.startInquiry()
			linkTo(t, started, peer)
			is.True(eventually(func() bool { return heardPeers(started) == 1 }))
			is.Equal(answerHealth(started), c.proven)
		})
	}
}

// TestLeavingOfUnknownStart guards against a leaving that is acknowledged although nothing holds it: its start is neither the present one,
// nor has it ended, so that a late heartbeat brings it into service after a restart of the node.
func TestLeavingOfUnknownStart(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent("b")
	a.observer.Service, a.observer.Address = "front", "127.0.0.1:9"
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, serving := earlierRecords(a, 10)
	a.applyEarlierRecord(serving, "store")
	is.True(answerHealth(a))
	is.True(a.onDepart(ctx, "i-2", 20) != nil) // it may be later than i-1
	is.NoErr(a.onDepart(ctx, "i-1", 5))        // an earlier start of i-1
	is.Equal(a.ownRecord().State, hornbeamcroft.MemberServing)
	draining := observer.Announcement{Instance: "i-3", Born: 30, Service: "front", Address: "127.0.0.1:8", Slots: 4, Draining: true}
	is.True(a.onHeartbeat(ctx, draining) != nil) // it is not beside this node

	heartbeat := observer.Announcement{Instance: "i-1", Born: 10, Service: "front", Address: "127.0.0.1:9", Slots: 4, Sequence: 9}
	is.Equal(announce(a, heartbeat), observer.OutcomeConfirmed)
	is.NoErr(a.onDepart(ctx, "i-0", 9))        // it has ended
	is.True(a.onDepart(ctx, "i-1", 11) != nil) // the present start from now on; the store does not hold it
	is.True(a.ownRecord().HasLeft())
	is.Equal(a.ownRecord().Born, int64(11))
}

// TestLeavingUnderOtherSettings guards against a leaving that a node has forgotten because the settings named another service before.
func TestLeavingUnderOtherSettings(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent("b")
	a.observer.Service, a.observer.Address = "front", "127.0.0.1:9"
	left, _ := earlierRecords(a, 10)
	left.Service = "before"
	a.onLeavingsRead([]hornbeamcroft.Member{left})
	late := observer.Announcement{Instance: "i-1", Born: 10, Service: "front", Address: "127.0.0.1:9", Slots: 4, Sequence: 9}
	is.Equal(announce(a, late), observer.OutcomeStale)
}
