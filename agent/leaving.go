package agent

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/assigner"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/leavingkeeper"
)

const (
	// leavingsPrefix precedes the name of a node in the store key that holds which start of its upstream has announced that it leaves.
	leavingsPrefix = "hornbeamcroft/leavings/"
	// holdTimeout is the maximum time for which the acknowledgement of a leaving waits until the leaving is held outside of this
	// process. It is below the second within which the upstream needs the acknowledgement.
	holdTimeout = 800 * time.Millisecond
)

// errLeavingNotHeld means that a leaving is in force, but would be forgotten if this process ended now.
var errLeavingNotHeld = errors.New("the leaving is in force, but the store, most linked nodes and most replicas do not hold it yet")

// errLeavingUnknown means that a leaving cannot be acknowledged because its start is neither the present one nor known to have ended: a
// later process of this node might use it.
var errLeavingUnknown = errors.New("the leaving is about a start that this node does not know")

// awaitLeaving returns nil if the leaving of a start binds this process and later ones: the start has ended, or it is the present one
// and its leaving is held outside of this process. The time born is zero if the upstream has not named the start.
func (a *Agent) awaitLeaving(ctx context.Context, instance string, born int64) error {
	a.upstreamMu.Lock()
	u := a.observer.Upstream()
	ended := a.observer.Ended(instance, born)
	a.upstreamMu.Unlock()
	switch {
	case ended:
		return nil
	case u.Instance == instance && (born == 0 || u.Born == born):
		return a.awaitLeavingHeld(ctx)
	}
	a.metrics.count("upstream/leavings-unknown")
	a.Log.Warn().Str("instance", instance).Int64("born", born).Str("known", u.Instance).Int64("known-born", u.Born).
		Msg("observer: leaving of an unknown start not acknowledged")
	return errLeavingUnknown
}

// awaitLeavingHeld waits until the store, most linked nodes and most replicas hold the record of this node if its upstream has left. An
// acknowledgement binds later processes of this node too: they know of it from the store, whatever has ended, and from the replicas while
// the store does not answer.
func (a *Agent) awaitLeavingHeld(ctx context.Context) error {
	record := a.ownRecord()
	if record.State == hornbeamcroft.MemberLeft && record.Born == 0 {
		return errLeavingNotHeld // it cannot be told from a later start
	}
	if !record.HasLeft() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	begin := a.clock.Now()
	if a.leavings.Keep(record) {
		a.confirmer.Stored(record.Sequence)
	}
	replicas := a.linkReplicas(ctx)
	peers := a.links.PeerNames()
	held := a.confirmer.Wait(ctx, record.Sequence, peers, replicas)
	stored, nodes := a.confirmer.Holders(record.Sequence, peers)
	_, holding := a.confirmer.Holders(record.Sequence, replicas)
	a.Log.Info().Str("instance", record.Instance).Int64("born", record.Born).Bool("acknowledged", held).Bool("stored", stored).
		Int("nodes", nodes).Int("linked", len(peers)).Int("replicas-holding", holding).Int("replicas-linked", len(replicas)).
		Int64("took-ms", (a.clock.Now() - begin).Milliseconds()).Msg("observer: leaving")
	if !held {
		a.metrics.count("upstream/leavings-not-held")
		return errLeavingNotHeld
	}
	return nil
}

// newLeavingKeeper returns the keeper of what this node has to know of its upstream after a restart.
func (a *Agent) newLeavingKeeper() *leavingkeeper.Keeper {
	return &leavingkeeper.Keeper{
		// An upstream waits for the write, so that it is tried although the store does not answer.
		Store: a.storeBreaker, Urgent: a.store, Prefix: leavingsPrefix, Name: a.Settings.Agent.Name,
		OnRead: a.onLeavingsRead, OnKept: a.onLeavingKept, OnMalformed: a.logMalformedLeaving,
		OnFailed: func(error) { a.metrics.count("store/leavings-failed") },
	}
}

// onLeavingKept records that the store holds the leaving that the record m names, if the present start of the upstream is the one.
func (a *Agent) onLeavingKept(m hornbeamcroft.Member) {
	if own := a.ownRecord(); own.Instance == m.Instance && own.Born == m.Born {
		a.confirmer.Stored(own.Sequence)
	}
}

// onLeavingsRead applies the leavings that the store holds: that of the upstream of this node, and those that other nodes may have to be
// told. From then on this node knows all that were acknowledged before.
func (a *Agent) onLeavingsRead(members []hornbeamcroft.Member) {
	a.Log.Info().Int("members", len(members)).Msg("observer: leavings read")
	for _, m := range members {
		if m.Name == a.Settings.Agent.Name {
			a.applyEarlierRecord(m, "leavings")
			a.onLeavingKept(m)
			continue
		}
		a.membersMu.Lock()
		a.retainer.Record(a.clock.Now(), m)
		a.membersMu.Unlock()
	}
	for _, l := range a.links.Links() {
		a.sendEarlierRecords(l)
	}
	a.leavingsRead.Store(true)
	a.broadcastNodeState()
	a.relist()
}

// logMalformedLeaving logs that the key of a leaving cannot be read.
func (a *Agent) logMalformedLeaving(e hornbeamcroft.Entry, err error) {
	a.metrics.count("store/malformed-records")
	a.Log.Warn().Str("key", e.Key).Int64("revision", e.ModRevision).Err(err).Msg("members: malformed leaving")
}

// onRecordFound applies the record that an earlier process of this node left in the store, which is nil if there is none.
func (a *Agent) onRecordFound(value []byte) {
	if value == nil {
		a.onQuotaSuccession(false)
		return
	}
	m, err := decodeMember(value)
	if err != nil {
		a.Log.Warn().Err(err).Msg("members: malformed record of an earlier process")
		return
	}
	a.setPreviousRecord(m)
	a.onQuotaSuccession(m.Incarnation != a.incarnation && assigner.Eligible(m))
}

// decodeMember decodes a member record.
func decodeMember(value []byte) (hornbeamcroft.Member, error) {
	var m hornbeamcroft.Member
	if err := cbor.Unmarshal(value, &m); err != nil {
		return m, err
	}
	return m, m.Check()
}

// setPreviousRecord keeps the record m of this node if an earlier process wrote it, and applies what it says of the upstream.
func (a *Agent) setPreviousRecord(m hornbeamcroft.Member) {
	if m.Name != a.Settings.Agent.Name || m.Incarnation == a.incarnation {
		return
	}
	a.membersMu.Lock()
	isNew := m != a.previousRecord
	a.previousRecord = m
	a.membersMu.Unlock()
	if isNew {
		a.applyEarlierRecord(m, "store")
	}
}

// applyEarlierRecord applies a record of an earlier process of this node. If it says that its upstream leaves, that start is
// not used any more, whatever service the node had. If it says that its upstream serves, that start is later than one that left before, and
// its instance is one of the service in the record.
func (a *Agent) applyEarlierRecord(m hornbeamcroft.Member, source string) {
	changed, found := false, false
	a.upstreamMu.Lock()
	switch {
	case m.HasLeft():
		changed = a.observer.ApplyLeft(m.Instance, m.Born, m.Slots)
	case m.State == hornbeamcroft.MemberServing && m.Service == a.Settings.Agent.Service:
		found = a.observer.ApplyServed(m.Instance, m.Born)
	}
	a.upstreamMu.Unlock()
	a.Log.Info().Str("source", source).Str("service", m.Service).Uint64("incarnation", m.Incarnation).Uint64("sequence", m.Sequence).
		Str("instance", m.Instance).Int64("born", m.Born).Str("state", m.State.String()).Bool("changed", changed).
		Msg("observer: record of an earlier process")
	if changed {
		a.applyUpstream(false)
	}
	if found {
		select {
		case a.servedFound <- struct{}{}:
		default: // the health probes have not taken the last one yet
		}
	}
}

// keepsRecord reports whether the record of this node stays in the store after a planned stop, so that the next process knows
// that the upstream has left.
func (a *Agent) keepsRecord() bool { return a.ownRecord().HasLeft() }

// holdRecord keeps the record of a peer whose upstream leaves, and acknowledges it.
func (a *Agent) holdRecord(l *connector.Link, m hornbeamcroft.Member) {
	if !m.HasLeft() {
		return
	}
	a.membersMu.Lock()
	a.retainer.Record(a.clock.Now(), m)
	a.membersMu.Unlock()
	a.send(l, framer.TypeRecordHeld, recordHeld{Incarnation: m.Incarnation, Sequence: m.Sequence})
}

// onRecordHeld records that a peer holds a record of this node.
func (a *Agent) onRecordHeld(l *connector.Link, h recordHeld) {
	if h.Incarnation == a.incarnation {
		a.confirmer.Acknowledged(l.Peer.Name, h.Sequence)
	}
}

// sendEarlierRecords sends the peer of a link that was opened what an earlier process of it announced: of an upstream that leaves, and
// which upstream it used last, as the peer cannot read that in the store while that does not answer.
func (a *Agent) sendEarlierRecords(l *connector.Link) {
	a.membersMu.Lock()
	left, hasLeft := a.retainer.Left(a.clock.Now(), l.Peer.Name)
	last, known := a.locator.Member(l.Peer.Name)
	a.membersMu.Unlock()
	if hasLeft && left.Incarnation != l.Peer.Incarnation {
		a.send(l, framer.TypeEarlierRecord, earlierRecord{Member: left})
	}
	if known {
		a.sendServingRecord(l, last)
	}
}

// sendServingRecord sends the peer of a link the record m of it if an earlier process wrote it and its upstream was serving.
func (a *Agent) sendServingRecord(l *connector.Link, m hornbeamcroft.Member) {
	if m.Incarnation != l.Peer.Incarnation && m.State == hornbeamcroft.MemberServing && m.Instance != "" {
		a.send(l, framer.TypeEarlierRecord, earlierRecord{Member: m})
	}
}

// onEarlierRecord applies what a peer knows of an earlier process of this node.
func (a *Agent) onEarlierRecord(l *connector.Link, r earlierRecord) {
	if r.Member.Name == a.Settings.Agent.Name && r.Member.Incarnation != a.incarnation {
		a.applyEarlierRecord(r.Member, l.Peer.Name)
	}
}
