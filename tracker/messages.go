package tracker

import (
	"slices"

	"hornbeamcroft"

	"github.com/go-faster/errors"
)

// Bounds of messages from outside. A frame is at most 64 KiB; the largest record takes about 480 bytes.
const (
	maxMembersPerChange = 128
	// maxZones lets a digest name all zones as lost twice, with names of the greatest length.
	maxZones = 240
	// maxVersions bounds the members of one zone that can be compared; 33 bytes each fill a frame.
	maxVersions   = 1900
	maxNameLength = 128
)

// Message is one of Heartbeat, Suspect, RosterChange and RosterDigest.
type Message interface {
	Check() error
}

// Outgoing is a message to send.
type Outgoing struct {
	// To is the name of the member; empty while only the address is known.
	To string
	// Address is where To can be dialled; empty if only a link that To opened can be used.
	Address string
	Message Message
}

// Purpose tells a heartbeat from a probe.
type Purpose uint8

// The purposes of a Heartbeat. A probe is answered at once by a probe reply.
const (
	PurposeBeat Purpose = iota
	PurposeProbe
	PurposeProbeReply
)

// Heartbeat tells that its sender lives and which version of itself it announces.
type Heartbeat struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Sequence    uint64  `cbor:"2,keyasint"`
	Document    uint64  `cbor:"3,keyasint,omitempty"`
	Epochs      uint64  `cbor:"4,keyasint,omitempty"`
	Purpose     Purpose `cbor:"5,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (h Heartbeat) Check() error {
	if h.Purpose > PurposeProbeReply {
		return errors.Errorf("heartbeat: purpose %d: allowed are 0 to %d", h.Purpose, PurposeProbeReply)
	}
	return nil
}

// Suspect reports that its sender has heard nothing from a member it monitors.
type Suspect struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation and Sequence are the version that the sender knows; a report about an older one is void.
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
}

// Check reports whether the message is well formed.
func (s Suspect) Check() error {
	if s.Name == "" || len(s.Name) > maxNameLength {
		return errors.Errorf("suspect: name of %d bytes: allowed are 1 to %d", len(s.Name), maxNameLength)
	}
	return nil
}

// RosterChange carries whole records; the receiver merges them.
type RosterChange struct {
	Members []hornbeamcroft.Member `cbor:"1,keyasint"`
}

// Check reports whether the message is well formed.
func (c RosterChange) Check() error {
	if len(c.Members) > maxMembersPerChange {
		return errors.Errorf("roster change: %d members: allowed are at most %d", len(c.Members), maxMembersPerChange)
	}
	for _, m := range c.Members {
		if err := m.Check(); err != nil {
			return errors.Wrap(err, "roster change")
		}
	}
	return nil
}

// Step is the stage of a comparison of two rosters.
type Step uint8

// The steps of a comparison. Each is sent only if the one before showed a difference.
const (
	// StepCompare carries the hash of the whole roster; the receiver answers if its own differs.
	StepCompare Step = iota
	// StepCompared is the answer to StepCompare.
	StepCompared
	// StepZones carries the hash of each zone's roster.
	StepZones
	// StepVersions carries the version of each member of one zone.
	StepVersions
	// StepWant names the members whose records the sender wants, by hash.
	StepWant
	// StepJoin asks for the whole roster; it is sent by a node that knows no other member.
	StepJoin
)

// ZoneDigest is the hash of the live members of one zone.
type ZoneDigest struct {
	Zone string `cbor:"1,keyasint"`
	Hash uint64 `cbor:"2,keyasint"`
}

// Version is the version of one member's record.
type Version struct {
	// Name is the hash of the member's name.
	Name        uint64                    `cbor:"1,keyasint"`
	Incarnation uint64                    `cbor:"2,keyasint"`
	Sequence    uint64                    `cbor:"3,keyasint"`
	State       hornbeamcroft.MemberState `cbor:"4,keyasint"`
}

// RosterDigest compares what two nodes know.
type RosterDigest struct {
	Step Step `cbor:"1,keyasint,omitempty"`
	// Roster is the hash of all live members; set in StepCompare and StepCompared.
	Roster uint64 `cbor:"2,keyasint,omitempty"`
	// Document and Epochs are set by others, see Tracker.SetVersions.
	Document uint64 `cbor:"3,keyasint,omitempty"`
	Epochs   uint64 `cbor:"4,keyasint,omitempty"`
	// Lost names the zones that the sender, a relay, cannot reach.
	Lost []string `cbor:"5,keyasint,omitempty"`
	// Zones is set in StepZones.
	Zones []ZoneDigest `cbor:"6,keyasint,omitempty"`
	// Zone and Versions are set in StepVersions.
	Zone     string    `cbor:"7,keyasint,omitempty"`
	Versions []Version `cbor:"8,keyasint,omitempty"`
	// Want is set in StepWant.
	Want []uint64 `cbor:"9,keyasint,omitempty"`
	// Told names the zones that the receiver, a relay, reported as lost, so that a report that did not arrive is noticed.
	Told []string `cbor:"11,keyasint,omitempty"`
	// Self is the sender's own record, set in StepJoin.
	Self *hornbeamcroft.Member `cbor:"10,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (d RosterDigest) Check() error {
	if d.Step > StepJoin {
		return errors.Errorf("roster digest: step %d: allowed are 0 to %d", d.Step, StepJoin)
	}
	zones := max(len(d.Lost), len(d.Told), len(d.Zones))
	if zones > maxZones || len(d.Versions) > maxVersions || len(d.Want) > maxVersions {
		return errors.Errorf("roster digest: more than %d zones or %d versions", maxZones, maxVersions)
	}
	for _, z := range slices.Concat(d.Lost, d.Told) {
		if len(z) > maxNameLength {
			return errors.Errorf("roster digest: zone of %d bytes: allowed are at most %d", len(z), maxNameLength)
		}
	}
	for _, z := range d.Zones {
		if len(z.Zone) > maxNameLength {
			return errors.Errorf("roster digest: zone of %d bytes: allowed are at most %d", len(z.Zone), maxNameLength)
		}
	}
	if (d.Step == StepJoin) != (d.Self != nil) || len(d.Zone) > maxNameLength {
		return errors.New("roster digest: the own record belongs to a join only, and the zone's name is bounded")
	}
	if d.Self == nil {
		return nil
	}
	if err := d.Self.Check(); err != nil {
		return errors.Wrap(err, "roster digest")
	}
	return nil
}
