package hornbeamcroft

import (
	"net/netip"

	"github.com/go-faster/errors"
)

// MemberState is the state of an upstream and its node.
type MemberState uint8

// The member states. MemberDead is set by other nodes; a member announces the other states itself.
const (
	MemberStarting MemberState = iota
	MemberServing
	MemberDraining
	MemberLeft
	MemberDead
)

// String returns the name of the state in logs and in the output of hornbeamctl show.
func (s MemberState) String() string {
	names := [...]string{"starting", "serving", "draining", "left", "dead"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Member is the record of one upstream and its node. Two records of a member merge by (Incarnation, Sequence): the higher
// one wins, whatever the order of arrival.
type Member struct {
	// Name is unique in the system and stays the same across restarts.
	Name    string `cbor:"1,keyasint" json:"name"`
	Service string `cbor:"2,keyasint" json:"service"`
	Zone    string `cbor:"3,keyasint" json:"zone"`
	// Address is the IP address and port at which the node accepts links, which carry calls, from other nodes.
	Address string `cbor:"4,keyasint" json:"address"`
	// Incarnation rises with every start of the node.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	// Sequence rises with every change that the member announces in this incarnation.
	Sequence uint64      `cbor:"6,keyasint" json:"sequence"`
	State    MemberState `cbor:"7,keyasint" json:"state"`
	// SinceStart is the number of milliseconds since the upstream started, at most one hour. Peers use it for slow
	// start.
	SinceStart uint32 `cbor:"8,keyasint,omitempty" json:"cold-for,omitempty"`
	// Slots is the number of requests that the upstream runs at once; zero if the member does not announce it.
	Slots int `cbor:"9,keyasint,omitempty" json:"slots,omitempty"`
	// Instance is the id of the present start of the upstream; empty if the member does not announce it.
	Instance string `cbor:"10,keyasint,omitempty" json:"instance,omitempty"`
	// Stopping is true if the node is about to exit while its upstream keeps running. The member gets calls only if no other
	// member can take them.
	Stopping bool `cbor:"11,keyasint,omitempty" json:"stopping,omitempty"`
	// Born is the time at which Instance started, in Unix milliseconds; zero if the member does not announce it.
	Born int64 `cbor:"12,keyasint,omitempty" json:"born,omitempty"`
}

// HasLeft reports whether the record says that an identified start of the upstream has announced that it leaves. Only a later
// start may be used again.
func (m Member) HasLeft() bool {
	return m.Instance != "" && m.Born > 0 && (m.State == MemberDraining || m.State == MemberLeft)
}

const (
	// MaxSlots is the maximum number of slots of an upstream.
	MaxSlots = 1 << 20
	// MaxBorn is the latest time of a start, in Unix milliseconds: the end of the year 9999.
	MaxBorn = 253_402_300_799_999
)

// maxNameLength is the maximum length of names and ids received from other processes, in bytes.
const maxNameLength = 128

// Check returns an error if the record is malformed.
func (m Member) Check() error {
	if m.Name == "" || len(m.Name) > maxNameLength {
		return errors.Errorf("member name: length %d: must be 1 to %d bytes", len(m.Name), maxNameLength)
	}
	if len(m.Service) > maxNameLength || len(m.Zone) > maxNameLength {
		return errors.Errorf("member %s: service or zone longer than %d bytes", m.Name, maxNameLength)
	}
	if address, err := netip.ParseAddrPort(m.Address); err != nil || address.Port() == 0 {
		return errors.Errorf("member %s: address %q: need an IP address and a port", m.Name, m.Address)
	}
	if m.State > MemberDead {
		return errors.Errorf("member %s: state %d: must be 0 to %d", m.Name, m.State, MemberDead)
	}
	if m.Slots < 0 || m.Slots > MaxSlots {
		return errors.Errorf("member %s: %d slots: must be 0 to %d", m.Name, m.Slots, MaxSlots)
	}
	if m.Born < 0 || m.Born > MaxBorn {
		return errors.Errorf("member %s: born %d: must be 0 to %d", m.Name, m.Born, MaxBorn)
	}
	return nil
}

// Newer reports whether m replaces old in a merge. If incarnation and sequence are equal, the higher state wins, so that a
// report that a member is dead replaces the record that it refers to.
func (m Member) Newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.State > old.State
}
