package agent

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/inquirer"
	"hornbeamcroft/publisher"
)

const (
	// introducersDelay is how long a starting node waits for the store's configuration before it dials introducers.
	introducersDelay = 400 * time.Millisecond
	// introducersInterval is the time between two rounds of dialing introducers.
	introducersInterval = time.Second
	// dialTimeout is the maximum time for opening a link in the background.
	dialTimeout = 2 * time.Second
)

// onRecords replaces the listed members by the node records read from the store at the given revision. If the record of
// this node is missing, the enroller is asked to write it again.
func (a *Agent) onRecords(entries []hornbeamcroft.Entry, revision int64) {
	var members []hornbeamcroft.Member
	ownListed := false
	malformed := make(map[string]int64)
	for _, e := range entries {
		m, err := decodeRecord(e)
		if err != nil {
			a.logMalformed(e, err)
			malformed[e.Key] = e.ModRevision
			continue
		}
		if m.Name == a.Settings.Agent.Name {
			ownListed = true
			a.setPreviousRecord(m)
		}
		members = append(members, m)
	}
	a.malformedRecords = malformed
	era := hornbeamcroft.RevisionEra(revision)
	a.membersMu.Lock()
	restored := a.recordsEra != 0 && era != a.recordsEra
	if restored {
		a.restoredEra = era
	}
	if era != a.recordsEra {
		a.recordsEra = era
		a.locator.ForgetRecords()
	}
	a.locator.ReplaceRecords(a.clock.Now(), members)
	for _, m := range members {
		a.retainer.Record(a.clock.Now(), m)
	}
	a.membersMu.Unlock()
	if restored {
		a.onQuotaRestore(0)
		a.leavings.Restored()
	}
	if !ownListed {
		a.enroller.ReportMissing(revision)
	}
	a.members.Update()
	a.setQuotaListed(ownListed, revision)
	a.onListed(members)
	if ownListed {
		a.quotas.ownRead.Store(true)
	}
}

// decodeRecord returns the member in a store entry. An entry that cannot be read, or is stored under another name than its own,
// is an error; another writer may have left it.
func decodeRecord(e hornbeamcroft.Entry) (hornbeamcroft.Member, error) {
	m, err := decodeMember(e.Value)
	if err == nil && m.Name != strings.TrimPrefix(e.Key, keyPrefix) {
		err = errors.Errorf("record of member %s is stored under another name", m.Name)
	}
	return m, err
}

// logMalformed logs that an entry cannot be read, unless the list before had it too.
func (a *Agent) logMalformed(e hornbeamcroft.Entry, err error) {
	a.metrics.count("store/malformed-records")
	if a.malformedRecords[e.Key] == e.ModRevision {
		return
	}
	a.Log.Warn().Str("key", e.Key).Int64("revision", e.ModRevision).Err(err).Msg("members: malformed record")
}

// newMembersPublisher returns the publisher that passes the members to the courier and the number of the service's hosts to the
// runner.
func (a *Agent) newMembersPublisher() *publisher.Publisher[[]hornbeamcroft.Member] {
	return &publisher.Publisher[[]hornbeamcroft.Member]{
		Version: func() uint64 {
			a.membersMu.Lock()
			defer a.membersMu.Unlock()
			return a.locator.Version()
		},
		Load: func() []hornbeamcroft.Member {
			a.membersMu.Lock()
			defer a.membersMu.Unlock()
			return a.locator.Members()
		},
		Publish: func(members []hornbeamcroft.Member) {
			a.courier.Update(members)
			a.proof.setMembers(members)
			a.updateQuotaMembers()
			hosts := 0
			for _, m := range members {
				if m.Service == a.Settings.Agent.Service {
					hosts++
				}
			}
			a.runner.SetHosts(hosts)
		},
	}
}

// tickMembers drops the members that have been missing for too long.
func (a *Agent) tickMembers() {
	a.membersMu.Lock()
	a.locator.Tick(a.clock.Now(), a.storeUnreachable.Load())
	a.membersMu.Unlock()
	a.members.Update()
}

// onNodeState updates what is known of a member from the state that it sent over a link. A state about another member than
// the link's peer is ignored.
func (a *Agent) onNodeState(l *connector.Link, n nodeState) {
	if n.Member.Name != l.Peer.Name {
		return
	}
	a.membersMu.Lock()
	before, known := a.locator.Member(n.Member.Name)
	a.locator.ApplyNotice(a.clock.Now(), n.Member)
	a.membersMu.Unlock()
	if known {
		a.sendServingRecord(l, before) // the state may have overtaken onUp, which would no longer find it
	}
	if !known || before.State != n.Member.State || before.Incarnation != n.Member.Incarnation {
		a.Log.Info().Str("member", n.Member.Name).Str("service", n.Member.Service).Str("state", n.Member.State.String()).
			Uint64("incarnation", n.Member.Incarnation).Uint64("sequence", n.Member.Sequence).Msg("members: heard over a link")
	}
	a.onPeerEra(n)
	a.holdRecord(l, n.Member)
	a.members.Update()
	a.courier.SetLinked(n.Member.Name, !l.Ended())
	a.courier.RecordLoad(n.Member.Name, n.Load)
	a.compareRoutes(l, n.Routes)
	// The state is the last of the messages that tell what the peer knows of this node. A peer that has started as well may know nothing.
	if n.LeavingsRead {
		a.updateInquiry(func(i *inquirer.Inquirer, _ time.Duration) { i.Heard(l.Peer.Name) })
	}
}

// onUp sends the peer of a link that was opened what it may not know after a start: what its earlier process announced, the suspects, the
// state of this node, and the child calls of routes.
func (a *Agent) onUp(l *connector.Link) {
	a.Log.Info().Str("peer", l.Peer.Name).Bool("dialed", l.Dialed).Uint64("incarnation", l.Peer.Incarnation).
		Msg("links: open")
	a.membersMu.Lock()
	a.locator.Introduce(l.Peer.Name, l.Peer.Incarnation)
	a.membersMu.Unlock()
	a.sendEarlierRecords(l)
	a.sendSuspects(l)
	// From here on, changes of the state are sent over the link. An earlier one would precede what the state has to follow.
	a.introduced.Store(l, true)
	if l.Ended() {
		a.introduced.Delete(l) // onDown may have come before
	}
	a.send(l, framer.TypeNodeState, a.newNodeState())
	a.onQuotaLink(l.Peer.Name)
	a.updateInquiry(func(i *inquirer.Inquirer, now time.Duration) { i.Linked(now) })
	if m := (childCalls{Routes: a.courier.LearnedRoutes()}); len(m.Routes) > 0 && m.Check() == nil {
		a.send(l, framer.TypeChildCalls, m)
	}
}

// onDown handles the end of a link. If it was the last one with the peer, the member is marked as not linked and is dialed
// again, unless a planned stop has begun.
func (a *Agent) onDown(l *connector.Link) {
	a.Log.Info().Str("peer", l.Peer.Name).Bool("dialed", l.Dialed).Err(l.Err()).Msg("links: ended")
	a.introduced.Delete(l)
	if a.links.LinkTo(l.Peer.Name) != nil {
		return
	}
	a.courier.SetLinked(l.Peer.Name, false)
	a.onQuotaLinkLost(l.Peer.Name)
	a.membersMu.Lock()
	a.locator.Unlink(a.clock.Now(), l.Peer.Name)
	m, known := a.locator.Member(l.Peer.Name)
	a.membersMu.Unlock()
	if known && !a.stopping.Load() {
		a.dial(m)
	}
}

// dial opens a link to a member in the background. It does nothing if the member's address is already being dialed.
func (a *Agent) dial(m hornbeamcroft.Member) {
	if m.Name == a.Settings.Agent.Name {
		return
	}
	if _, busy := a.dialing.LoadOrStore(m.Address, true); busy {
		return
	}
	go func() {
		defer a.dialing.Delete(m.Address)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if _, err := a.links.Link(ctx, m.Address); err != nil {
			a.Log.Debug().Str("peer", m.Name).Err(err).Msg("links: dialing failed")
		}
	}()
}

// dialIntroducers dials the introducers named in the settings until a configuration is in force, so that a node can start
// while the store is unreachable. Introducers are given by their announcements addresses; their link address is assumed
// to have the same IP address and the port of this node's links.
func (a *Agent) dialIntroducers(ctx context.Context) {
	wait := introducersDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if a.routes.Load() != nil {
			return
		}
		wait = introducersInterval
		_, port, _ := net.SplitHostPort(a.Settings.Agent.Links)
		for _, address := range a.Settings.Agent.Introducers {
			host, _, _ := net.SplitHostPort(address)
			if peer := net.JoinHostPort(host, port); peer != a.Settings.Agent.Links {
				a.dial(hornbeamcroft.Member{Name: peer, Address: peer})
			}
		}
	}
}

// newNodeState returns the present state of this node.
func (a *Agent) newNodeState() nodeState {
	n := nodeState{Member: a.ownRecord(), Load: a.runner.Load(), Routes: a.routesVersion(), LeavingsRead: a.leavingsRead.Load()}
	a.membersMu.Lock()
	n.Era = a.recordsEra
	a.membersMu.Unlock()
	a.quotas.mu.Lock()
	n.Restored = a.quotas.lender.Restored(a.quotaNow())
	a.quotas.mu.Unlock()
	return n
}

// broadcastNodeState sends the present node state to all peers, except over links that onUp sends it over soon.
func (a *Agent) broadcastNodeState() {
	n := a.newNodeState()
	for _, l := range a.links.Links() {
		if _, ok := a.introduced.Load(l); ok {
			go a.send(l, framer.TypeNodeState, n)
		}
	}
}

// send sends a message over the link and logs a failure. The message is not sent again: a link that fails is closed, and
// the new link starts with the node state.
func (a *Agent) send(l *connector.Link, t framer.Type, message any) {
	if err := l.Send(t, message); err != nil {
		a.Log.Debug().Str("peer", l.Peer.Name).Err(err).Msg("links: message not sent")
	}
}
