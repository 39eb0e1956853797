package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
)

// countingUpstream counts the requests that reach it.
type countingUpstream struct{ requests int }

func (*countingUpstream) Alive(context.Context) bool { return true }

func (u *countingUpstream) Exchange(context.Context, exchanger.Request) exchanger.Result {
	u.requests++
	return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: 200}
}

// TestCallBeforePeersAreHeard guards against a node that runs requests at an upstream that has left, because it has believed a late
// heartbeat and its peers have not told it yet what its earlier process acknowledged.
func TestCallBeforePeersAreHeard(t *testing.T) {
	is := is.New(t)
	holder, started := newLinkedAgent("a"), newLinkedAgent("b")
	holder.leavingsRead.Store(true)
	started.observer.Service = "front"
	left := started.ownRecord()
	left.Instance, left.Born, left.State, left.Slots, left.Incarnation = "i-1", 5, hornbeamcroft.MemberLeft, 4, 1
	is.NoErr(left.Check())
	holder.retainer.Record(holder.clock.Now(), left)
	u := &countingUpstream{}
	started.runner.Service, started.runner.Exchanger = "front", u
	started.startInquiry()
	started.applyAnnouncement(observer.Announcement{Instance: "i-1", Born: 5, Service: "front", Slots: 4, Sequence: 1})
	is.True(started.ownRecord().State == hornbeamcroft.MemberServing)
	answer := make(chan hornbeamcroft.Answer)
	run := func(ctx context.Context) hornbeamcroft.Answer {
		return started.runner.Run(ctx, hornbeamcroft.Call{
			Attempt: "a", Service: "front", Type: "pay", Depth: 1, Remaining: 5 * time.Second, Objective: time.Second,
			Message: &hornbeamcroft.Message{},
		})
	}
	go func() { answer <- run(t.Context()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(run(ctx).Code.Claim(), hornbeamcroft.ClaimNotRun) // its caller waits no longer
	linkTo(t, started, holder)
	started.inquiry.storeLost = true // with a store that answers, the record there tells it
	started.onListed([]hornbeamcroft.Member{{Name: "a"}, {Name: "b"}})
	is.Equal((<-answer).Code, hornbeamcroft.CodeDraining)
	is.Equal(u.requests, 0)
}

// heardPeers returns the number of peers that the agent has heard since its start.
func heardPeers(a *Agent) int {
	a.inquiry.mu.Lock()
	defer a.inquiry.mu.Unlock()
	return a.inquiry.inquirer.Count()
}

// TestPeerThatKnowsNothing guards against a node that runs calls at an upstream that has left because it has heard peers that were killed
// together with it: they know of the leaving only once they have read it in the store, and tell it then.
func TestPeerThatKnowsNothing(t *testing.T) {
	is := is.New(t)
	peer, started := newLinkedAgent("a"), newLinkedAgent("b")
	started.observer.Service = "front"
	started.startInquiry()
	left := started.ownRecord()
	left.Instance, left.Born, left.State, left.Slots, left.Incarnation = "i-1", 5, hornbeamcroft.MemberLeft, 4, 1
	linkTo(t, started, peer)
	is.True(eventually(func() bool { return peer.links.Count() == 1 }))
	peer.broadcastNodeState()
	started.onListed([]hornbeamcroft.Member{{Name: "a"}, {Name: "b"}})
	time.Sleep(100 * time.Millisecond)
	is.Equal(heardPeers(started), 0)
	is.True(started.inquiry.pending()) // the list of the records may be older than the leaving
	peer.onLeavingsRead([]hornbeamcroft.Member{left})
	is.True(eventually(func() bool { return heardPeers(started) == 1 && !started.inquiry.pending() }))
	is.Equal(started.ownRecord().State, hornbeamcroft.MemberLeft)
}

// TestStateBeforeEarlierRecord guards against a change of a peer's state that overtakes, on a new link, what the peer knows of the node:
// the node would count the peer as heard.
func TestStateBeforeEarlierRecord(t *testing.T) {
	is := is.New(t)
	peer, started := newLinkedAgent("a"), newLinkedAgent("b")
	peer.leavingsRead.Store(true)
	started.startInquiry()
	heard := func() int { return heardPeers(started) }
	peer.suspectsMu.Lock() // onUp of the peer needs it
	linkTo(t, started, peer)
	is.True(eventually(func() bool { return peer.links.Count() == 1 }))
	peer.broadcastNodeState()
	time.Sleep(100 * time.Millisecond)
	is.Equal(heard(), 0)
	peer.suspectsMu.Unlock()
	is.True(eventually(func() bool { return heard() == 1 }))
}
