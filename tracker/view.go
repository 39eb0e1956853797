package tracker

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// View is what this node knows about a member.
type View struct {
	hornbeamcroft.Member
	// ZoneLost is true if no relay of this node's zone can reach the member's zone. The member itself may be live and
	// serve callers on its side of a partition.
	ZoneLost bool
	// LearnedAt is the time on this node's clock at which this version of the record arrived.
	LearnedAt time.Duration
}

// Routable reports whether new work may be sent to the member.
func (v View) Routable() bool { return !v.ZoneLost && v.State == hornbeamcroft.MemberServing }

// Peer is another member: one to keep a link to, a relay of the zone, or the result of NewerPeer.
type Peer struct {
	Name    string
	Address string
	// Document and Epochs are the document revision and the hash of the epochs that the member reported. They are set
	// only in the result of NewerPeer.
	Document uint64
	Epochs   uint64
}

// ChangeCount returns a counter that increases whenever the results of Members, Links or WantsLease may have changed.
func (t *Tracker) ChangeCount() uint64 { return t.changeCount }

// Self returns this node's own record as announced to other members.
func (t *Tracker) Self() hornbeamcroft.Member { return t.self }

// Superseded reports whether a newer process runs under the same name at another address. This process must then stop.
func (t *Tracker) Superseded() bool { return t.superseded }

// Members returns all known members sorted by name. Dead members and those that left are included for
// tombstoneRetention.
func (t *Tracker) Members() []View {
	out := make([]View, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, t.view(e))
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Lookup returns the view of the named member; the second result is false if the member is not known.
func (t *Tracker) Lookup(name string) (View, bool) {
	e := t.members[name]
	if e == nil {
		return View{}, false
	}
	return t.view(e), true
}

func (t *Tracker) view(e *entry) View {
	return View{Member: e.Member, ZoneLost: t.zoneLost(e.Zone), LearnedAt: e.learnedAt}
}

// Relays returns the relays of this node's zone by rank.
func (t *Tracker) Relays() []Peer {
	var out []Peer
	for _, e := range t.zone(t.self.Zone).relays() {
		out = append(out, Peer{Name: e.Name, Address: e.Address})
	}
	return out
}

// IsRelay reports whether this node is a relay of its zone: one of the relayCount live members of lowest rank.
func (t *Tracker) IsRelay() bool { return t.isRelay(t.self.Name) }

func (t *Tracker) isRelay(name string) bool {
	return slices.ContainsFunc(t.zone(t.self.Zone).relays(), func(e *entry) bool { return e.Name == name })
}

// NewerPeer returns a member that reported a higher document revision or another hash of the epochs than SetVersions
// set.
func (t *Tracker) NewerPeer() (Peer, bool) { return t.newerPeer, t.newerPeer.Name != "" }

// Links returns the members to keep links to: this node's monitors, the relays of its zone and, if this node is a
// relay, the relays of the other zones.
func (t *Tracker) Links() []Peer {
	z := t.zone(t.self.Zone)
	targets := append(z.neighbours(t.self.Name, 1), z.relays()...)
	if t.IsRelay() {
		targets = append(targets, t.remoteRelays()...)
	}
	var out []Peer
	for _, e := range targets {
		if e.Name != t.self.Name && !slices.ContainsFunc(out, func(p Peer) bool { return p.Name == e.Name }) {
			out = append(out, Peer{Name: e.Name, Address: e.Address})
		}
	}
	return out
}

// updateNewerPeer sets newerPeer to the member named from if its document is newer than this node's or its epochs differ,
// unless newerPeer has a still newer document.
func (t *Tracker) updateNewerPeer(from string, documentRevision, epochsHash uint64) {
	e := t.members[from]
	if e == nil || (documentRevision <= t.documentRevision && epochsHash == t.epochsHash) || documentRevision < t.newerPeer.Document {
		return
	}
	t.newerPeer = Peer{Name: from, Address: e.Address, Document: documentRevision, Epochs: epochsHash}
}
