package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/inquirer"
	"hornbeamcroft/observer"
	"hornbeamcroft/replicapicker"
)

// replicaFleet is a fleet of agents that accept links and have none yet.
type replicaFleet struct {
	agents map[string]*Agent
	// members are the records of the agents.
	members []hornbeamcroft.Member
}

func newReplicaFleet(t *testing.T, n int) *replicaFleet {
	f := &replicaFleet{agents: make(map[string]*Agent)}
	for i := range n {
		f.start(t, fmt.Sprint("node-", i))
	}
	for _, a := range f.agents {
		a.leavingsRead.Store(true)
	}
	return f
}

// start starts the agent with the name, or the next process of it.
func (f *replicaFleet) start(t *testing.T, name string) *Agent {
	t.Helper()
	a := newLinkedAgent(name)
	s := httptest.NewServer(http.HandlerFunc(a.links.Accept))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	a.Settings.Agent.LinksAnnounced = strings.TrimPrefix(s.URL, "http://")
	a.observer.Service, a.observer.Address = "front", "127.0.0.1:9"
	if f.agents[name] == nil {
		f.members = append(f.members, a.ownRecord())
	}
	f.agents[name] = a
	return a
}

// others returns the names of the agents, but for those of the replicas of the named one and itself.
func (f *replicaFleet) others(name string) []string {
	isReplica := make(map[string]bool)
	for _, m := range (replicapicker.ReplicaPicker{}).Pick(name, f.members) {
		isReplica[m.Name] = true
	}
	var names []string
	for other := range f.agents {
		if other != name && !isReplica[other] {
			names = append(names, other)
		}
	}
	return names
}

// link opens a link from a to the named agent.
func (f *replicaFleet) link(t *testing.T, a *Agent, name string) {
	t.Helper()
	if _, err := a.links.Link(t.Context(), f.agents[name].Settings.Agent.LinksAnnounced); err != nil {
		t.Fatal(err)
	}
}

// depart applies that a start of the upstream leaves, without an acknowledgement.
func depart(a *Agent, instance string, born int64) {
	a.upstreamMu.Lock()
	a.observer.ApplyDeparture(instance, born)
	a.upstreamMu.Unlock()
	a.applyUpstream(false)
}

// TestAcknowledgedLeavingReachesNextProcess guards against a node that uses an upstream whose leaving its earlier process has acknowledged: the
// store does not answer, and the peers that it hears first never had a link with that process.
func TestAcknowledgedLeavingReachesNextProcess(t *testing.T) {
	const name = "node-0"
	is := is.New(t)
	f := newReplicaFleet(t, 12)
	leaver := f.agents[name]
	leaver.locator.ReplaceRecords(0, f.members)
	leaver.applyAnnouncement(observer.Announcement{Instance: "i-1", Born: 5, Service: "front", Address: "127.0.0.1:9", Slots: 4})
	depart(leaver, "i-1", 5)
	leaver.onLeavingKept(leaver.ownRecord()) // the store holds it
	is.Equal(leaver.links.Count(), 0)
	is.NoErr(leaver.awaitLeaving(t.Context(), "i-1", 5))
	is.True(leaver.links.Count() > replicapicker.Replicas/2)

	started := f.start(t, name)
	started.incarnation++
	started.startInquiry()
	started.inquiry.storeLost = true
	strangers := f.others(name)
	is.Equal(len(strangers), 6)
	for _, other := range strangers {
		f.link(t, started, other)
	}
	is.True(eventually(func() bool { return heardPeers(started) == len(strangers) }))
	is.True(started.inquiry.pending()) // they cannot know
	started.learnMembers(f.members)
	is.True(eventually(func() bool { return !started.inquiry.pending() }))
	is.Equal(started.ownRecord().State, hornbeamcroft.MemberLeft)
}

// TestReplicasDown guards against a leaving that is never acknowledged because replicas are down, and against one that is acknowledged although
// those that are linked do not hold it.
func TestReplicasDown(t *testing.T) {
	is := is.New(t)
	f := newReplicaFleet(t, 3)
	leaver := f.agents["node-0"]
	members := append([]hornbeamcroft.Member{}, f.members...)
	for i := range 8 {
		m := f.members[0]
		m.Name, m.Address = fmt.Sprint("down-", i), "127.0.0.1:1"
		members = append(members, m)
	}
	leaver.locator.ReplaceRecords(0, members)
	leaver.applyAnnouncement(observer.Announcement{Instance: "i-1", Born: 5, Service: "front", Address: "127.0.0.1:9", Slots: 4})
	depart(leaver, "i-1", 5)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(leaver.awaitLeaving(ctx, "i-1", 5) != nil) // the store does not hold it
	leaver.onLeavingKept(leaver.ownRecord())
	is.NoErr(leaver.awaitLeaving(t.Context(), "i-1", 5))
}

// TestCallsWhileReplicasAreSilent guards against calls that wait at a node which has heard nobody for long, and against a node that does not take
// calls again once its upstream has sent a heartbeat.
func TestCallsWhileReplicasAreSilent(t *testing.T) {
	is := is.New(t)
	a := newLinkedAgent("b")
	a.observer.Service, a.observer.Address = "front", "127.0.0.1:9"
	a.runner.Service, a.runner.Exchanger = "front", &countingUpstream{}
	a.startInquiry()
	_, serving := earlierRecords(a, 5)
	a.applyEarlierRecord(serving, "peer")
	is.True(answerHealth(a))
	a.applyUpstream(true)
	a.updateInquiry(func(i *inquirer.Inquirer, now time.Duration) { i.Configured(now - time.Minute) })
	run := func() hornbeamcroft.Answer {
		return a.runner.Run(t.Context(), hornbeamcroft.Call{
			Attempt: "a", Service: "front", Type: "pay", Depth: 1, Remaining: 5 * time.Second, Objective: time.Second,
			Message: &hornbeamcroft.Message{},
		})
	}
	is.Equal(run().Code, hornbeamcroft.CodeUpstreamNotRegistered)
	is.Equal(a.runner.Load().Limit, 0)
	a.applyAnnouncement(observer.Announcement{Instance: "i-1", Born: 5, Service: "front", Address: "127.0.0.1:9", Slots: 4})
	is.Equal(run().Code, hornbeamcroft.CodeAnswered)
	is.True(a.runner.Load().Limit > 0)
}
