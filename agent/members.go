package agent

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
)

const (
	// introduceWait is how long a starting node waits for the store before it asks other nodes.
	introduceWait = 400 * time.Millisecond
	// introducePause is the wait between two tries.
	introducePause = time.Second
	// dialTime bounds a link that is opened in the background.
	dialTime = 2 * time.Second
)

// onRecords takes all records of the store, as they were at the revision.
func (a *Agent) onRecords(entries []hornbeamcroft.Entry, revision int64) {
	var members []hornbeamcroft.Member
	own := false
	for _, e := range entries {
		m, ok := a.decodeRecord(e)
		if !ok {
			continue
		}
		if m.Name == a.Settings.Agent.Name {
			own = true
			a.setEarlier(m)
		}
		members = append(members, m)
	}
	a.membersMu.Lock()
	a.locator.List(a.clock.Now(), members)
	a.membersMu.Unlock()
	if !own {
		a.enroller.Missing(revision)
	}
	a.publishMembers()
}

// setEarlier keeps the record of an earlier process of this node.
func (a *Agent) setEarlier(m hornbeamcroft.Member) {
	a.membersMu.Lock()
	defer a.membersMu.Unlock()
	if m.Incarnation < a.incarnation {
		a.earlier = m
	}
}

func (a *Agent) decodeRecord(e hornbeamcroft.Entry) (hornbeamcroft.Member, bool) {
	var m hornbeamcroft.Member
	err := cbor.Unmarshal(e.Value, &m)
	if err == nil {
		err = m.Check()
	}
	if err != nil || m.Name != strings.TrimPrefix(e.Key, keyPrefix) {
		a.Log.Warn().Str("key", e.Key).Int64("revision", e.ModRevision).Err(err).Msg("members: record not understood")
		return m, false
	}
	return m, true
}

// publishMembers passes the members to the courier if they have changed.
func (a *Agent) publishMembers() {
	a.membersMu.Lock()
	version := a.locator.Version()
	if version == a.published {
		a.membersMu.Unlock()
		return
	}
	a.published = version
	members := a.locator.Members()
	a.membersMu.Unlock()
	a.courier.Update(members)
	hosts := 0
	for _, m := range members {
		if m.Service == a.Settings.Agent.Service {
			hosts++
		}
	}
	a.runner.SetHosts(hosts)
}

func (a *Agent) tickMembers() {
	a.membersMu.Lock()
	a.locator.Tick(a.clock.Now(), a.storeAway.Load())
	a.membersMu.Unlock()
	a.publishMembers()
}

// hear takes what a member said of itself over a link.
func (a *Agent) hear(l *connector.Link, n notice) {
	if n.Member.Name != l.Peer.Name {
		return
	}
	a.membersMu.Lock()
	before, known := a.locator.Member(n.Member.Name)
	a.locator.Hear(a.clock.Now(), n.Member)
	a.membersMu.Unlock()
	if !known || before.State != n.Member.State || before.Incarnation != n.Member.Incarnation {
		a.Log.Info().Str("member", n.Member.Name).Str("service", n.Member.Service).Str("state", n.Member.State.String()).
			Uint64("incarnation", n.Member.Incarnation).Uint64("sequence", n.Member.Sequence).Msg("members: heard over a link")
	}
	a.publishMembers()
	a.courier.SetLinked(n.Member.Name, !l.Ended())
	a.courier.Report(n.Member.Name, n.Load)
	a.compareRoutes(l, n.Routes)
}

// onUp tells a new peer about this node.
func (a *Agent) onUp(l *connector.Link) {
	a.Log.Info().Str("peer", l.Peer.Name).Bool("dialed", l.Dialed).Uint64("incarnation", l.Peer.Incarnation).
		Msg("links: open")
	a.send(l, framer.TypeNotice, a.notice())
	if m := (learned{Routes: a.courier.Learned()}); len(m.Routes) > 0 && m.Check() == nil {
		a.send(l, framer.TypeLearned, m)
	}
}

func (a *Agent) onDown(l *connector.Link) {
	a.Log.Info().Str("peer", l.Peer.Name).Bool("dialed", l.Dialed).Err(l.Err()).Msg("links: ended")
	if a.links.Peer(l.Peer.Name) != nil {
		return
	}
	a.courier.SetLinked(l.Peer.Name, false)
	a.membersMu.Lock()
	a.locator.Unlink(a.clock.Now(), l.Peer.Name)
	m, known := a.locator.Member(l.Peer.Name)
	a.membersMu.Unlock()
	if known && !a.stopping.Load() {
		a.dial(m)
	}
}

// dial opens a link to a member in the background, once at a time.
func (a *Agent) dial(m hornbeamcroft.Member) {
	if m.Name == a.Settings.Agent.Name {
		return
	}
	if _, busy := a.dialing.LoadOrStore(m.Address, true); busy {
		return
	}
	go func() {
		defer a.dialing.Delete(m.Address)
		ctx, cancel := context.WithTimeout(context.Background(), dialTime)
		defer cancel()
		if _, err := a.links.Link(ctx, m.Address); err != nil {
			a.Log.Debug().Str("peer", m.Name).Err(err).Msg("links: not opened")
		}
	}()
}

// introduce asks nodes named in the settings for the configuration and the members while the store does not give them.
func (a *Agent) introduce(ctx context.Context) {
	wait := introduceWait
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if a.routes.Load() != nil {
			return
		}
		wait = introducePause
		_, port, _ := net.SplitHostPort(a.Settings.Agent.Links)
		for _, address := range a.Settings.Agent.Introducers {
			host, _, _ := net.SplitHostPort(address)
			if peer := net.JoinHostPort(host, port); peer != a.Settings.Agent.Links {
				a.dial(hornbeamcroft.Member{Name: peer, Address: peer})
			}
		}
	}
}

// notice returns what this node says of itself.
func (a *Agent) notice() notice {
	return notice{Member: a.self(), Load: a.runner.Load(), Routes: a.routesVersion()}
}

// announce tells all peers that something about this node has changed.
func (a *Agent) announce() {
	n := a.notice()
	for _, l := range a.links.Open() {
		go a.send(l, framer.TypeNotice, n)
	}
}

// send sends a message; a link that fails is closed and opened again, and then starts with a notice.
func (a *Agent) send(l *connector.Link, t framer.Type, message any) {
	if err := l.Send(t, message); err != nil {
		a.Log.Debug().Str("peer", l.Peer.Name).Err(err).Msg("links: message not sent")
	}
}
