package tracker

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// View is what this node knows of a member.
type View struct {
	hornbeamcroft.Member
	// Lost is true if the relays of this node's zone cannot reach the member's zone. It says nothing about the member
	// itself, which may serve callers on its side of a partition.
	Lost bool
	// Learned is when this version of the record arrived, on this node's clock.
	Learned time.Duration
}

// Routable reports whether the member may get new work.
func (v View) Routable() bool { return !v.Lost && v.State == hornbeamcroft.MemberServing }

// Peer is a member to keep a link to, or one that knows more.
type Peer struct {
	Name     string
	Address  string
	Document uint64
	Epochs   uint64
}

// Version rises when Members, Links or WantsLease may have changed.
func (t *Tracker) Version() uint64 { return t.version }

// Self returns the own record as it is announced.
func (t *Tracker) Self() hornbeamcroft.Member { return t.self }

// Superseded reports whether a newer process with the same name lives elsewhere; this one must stop.
func (t *Tracker) Superseded() bool { return t.superseded }

// Members returns all known members by name, dead and departed ones for goneRetention.
func (t *Tracker) Members() []View {
	out := make([]View, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, t.view(e))
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Lookup returns the view of one member.
func (t *Tracker) Lookup(name string) (View, bool) {
	e := t.members[name]
	if e == nil {
		return View{}, false
	}
	return t.view(e), true
}

func (t *Tracker) view(e *entry) View {
	return View{Member: e.Member, Lost: t.zoneLost(e.Zone), Learned: e.learned}
}

// Relays returns the relays of the node's zone by rank.
func (t *Tracker) Relays() []Peer {
	var out []Peer
	for _, e := range t.zone(t.self.Zone).relays() {
		out = append(out, Peer{Name: e.Name, Address: e.Address})
	}
	return out
}

// IsRelay reports whether this node is a relay of its zone.
func (t *Tracker) IsRelay() bool { return t.isRelay(t.self.Name) }

func (t *Tracker) isRelay(name string) bool {
	return slices.ContainsFunc(t.zone(t.self.Zone).relays(), func(e *entry) bool { return e.Name == name })
}

// Behind returns a member with a higher document revision or other epochs than SetVersions gave.
func (t *Tracker) Behind() (Peer, bool) { return t.behind, t.behind.Name != "" }

// Links returns the members to keep links to: the own monitors and relays, and for a relay those of other zones.
func (t *Tracker) Links() []Peer {
	z := t.zone(t.self.Zone)
	want := append(z.neighbours(t.self.Name, 1), z.relays()...)
	if t.IsRelay() {
		want = append(want, t.remoteRelays()...)
	}
	var out []Peer
	for _, e := range want {
		if e.Name != t.self.Name && !slices.ContainsFunc(out, func(p Peer) bool { return p.Name == e.Name }) {
			out = append(out, Peer{Name: e.Name, Address: e.Address})
		}
	}
	return out
}

func (t *Tracker) noteVersions(from string, document, epochs uint64) {
	e := t.members[from]
	if e == nil || (document <= t.document && epochs == t.epochs) || document < t.behind.Document {
		return
	}
	t.behind = Peer{Name: from, Address: e.Address, Document: document, Epochs: epochs}
}
