package tracker

import (
	"slices"

	"hornbeamcroft"

	"github.com/go-faster/errors"
)

// Limits on messages from peers. They keep every message below the frame limit of 64 KiB; the largest record takes
// about 480 bytes.
const (
	// maxMembersPerChange is the largest number of records in one RosterChange.
	maxMembersPerChange = 128
	// maxZones is the largest number of zones. A digest with maxZones names of maxNameLength bytes in both Lost and
	// ReportedLost still fits into a frame.
	maxZones = 240
	// maxVersions is the largest number of members of one zone that can be compared. At up to 33 bytes each, they fill
	// a frame.
	maxVersions = 1900
	// maxNameLength is the largest length of the name of a member or zone, in bytes.
	maxNameLength = 128
)

// Message is a message between trackers: a Heartbeat, Suspicion, RosterChange or RosterDigest.
type Message interface {
	Check() error
}

// Outgoing is a message to send to a member.
type Outgoing struct {
	// To is the name of the member; empty while only its address is known.
	To string
	// Address is the address at which the member can be dialed; empty if only a link that the member opened can be
	// used.
	Address string
	Message Message
}

// Purpose distinguishes periodic heartbeats, probes and replies to probes.
type Purpose uint8

// The purposes of a Heartbeat.
const (
	// PurposeHeartbeat marks a periodic heartbeat.
	PurposeHeartbeat Purpose = iota
	// PurposeProbe asks the receiver to answer at once with a PurposeProbeReply.
	PurposeProbe
	// PurposeProbeReply answers a probe.
	PurposeProbeReply
)

// Heartbeat states that its sender is live, and the version of its record and data. Document and Epochs are the values
// that the sender passed to Tracker.SetVersions.
type Heartbeat struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Sequence    uint64  `cbor:"2,keyasint"`
	Document    uint64  `cbor:"3,keyasint,omitempty"`
	Epochs      uint64  `cbor:"4,keyasint,omitempty"`
	Purpose     Purpose `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if the message is not well formed.
func (h Heartbeat) Check() error {
	if h.Purpose > PurposeProbeReply {
		return errors.Errorf("heartbeat: purpose %d: must be 0 to %d", h.Purpose, PurposeProbeReply)
	}
	return nil
}

// Suspicion reports that its sender receives no heartbeats from a member that it monitors.
type Suspicion struct {
	Name string `cbor:"1,keyasint"`
	// Incarnation and Sequence are the version of the record that the sender knows. The receiver answers a report
	// about an outdated version with the current record.
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
}

// Check returns an error if the message is not well formed.
func (s Suspicion) Check() error {
	if s.Name == "" || len(s.Name) > maxNameLength {
		return errors.Errorf("suspicion: name of %d bytes: must be 1 to %d", len(s.Name), maxNameLength)
	}
	return nil
}

// RosterChange carries complete records, which the receiver merges into its roster.
type RosterChange struct {
	Members []hornbeamcroft.Member `cbor:"1,keyasint"`
}

// Check returns an error if the message is not well formed.
func (c RosterChange) Check() error {
	if len(c.Members) > maxMembersPerChange {
		return errors.Errorf("roster change: %d members: must be at most %d", len(c.Members), maxMembersPerChange)
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

// The steps of a comparison. StepCompareReply, StepZones and StepVersions are each sent only if the step before it
// showed a difference.
const (
	// StepCompare carries the hash of the whole roster, the data versions and the lost zones. The receiver answers with
	// a StepCompareReply unless that would tell the sender nothing new.
	StepCompare Step = iota
	// StepCompareReply carries the same as StepCompare, without ReportedLost, and is not itself answered with a
	// StepCompareReply. It answers a StepCompare; a relay also sends it unasked to announce a change of its lost zones.
	StepCompareReply
	// StepZones carries the hash of each zone's live members.
	StepZones
	// StepVersions carries the version of each record of one zone.
	StepVersions
	// StepRequest requests records by the hashes of the members' names.
	StepRequest
	// StepJoin requests the whole roster. A node that knows no other member sends it.
	StepJoin
)

// ZoneDigest carries the hash of the live members of one zone.
type ZoneDigest struct {
	Zone string `cbor:"1,keyasint"`
	Hash uint64 `cbor:"2,keyasint"`
}

// RecordVersion is the version of one member's record.
type RecordVersion struct {
	// NameHash is the hash of the member's name.
	NameHash    uint64                    `cbor:"1,keyasint"`
	Incarnation uint64                    `cbor:"2,keyasint"`
	Sequence    uint64                    `cbor:"3,keyasint"`
	State       hornbeamcroft.MemberState `cbor:"4,keyasint"`
}

// RosterDigest is a message of a comparison of two nodes' rosters, or of a join. Which fields are set depends on Step.
type RosterDigest struct {
	Step Step `cbor:"1,keyasint,omitempty"`
	// Roster is the hash of all live members; set in StepCompare and StepCompareReply.
	Roster uint64 `cbor:"2,keyasint,omitempty"`
	// Document and Epochs are the values passed to Tracker.SetVersions; set in StepCompare and StepCompareReply.
	Document uint64 `cbor:"3,keyasint,omitempty"`
	Epochs   uint64 `cbor:"4,keyasint,omitempty"`
	// Lost names the zones that the sender cannot reach; set in StepCompare and StepCompareReply if it is a relay.
	Lost []string `cbor:"5,keyasint,omitempty"`
	// Zones is set in StepZones.
	Zones []ZoneDigest `cbor:"6,keyasint,omitempty"`
	// Zone and Versions are set in StepVersions.
	Zone     string          `cbor:"7,keyasint,omitempty"`
	Versions []RecordVersion `cbor:"8,keyasint,omitempty"`
	// Requested holds the hashes of the members' names; set in StepRequest.
	Requested []uint64 `cbor:"9,keyasint,omitempty"`
	// ReportedLost names the zones that the receiver, a relay, last reported as lost to the sender. The receiver
	// replies if the list is outdated, so that a lost report is repeated. Set in StepCompare.
	ReportedLost []string `cbor:"11,keyasint,omitempty"`
	// Self is the sender's own record; set in StepJoin.
	Self *hornbeamcroft.Member `cbor:"10,keyasint,omitempty"`
}

// Check returns an error if the message is not well formed.
func (d RosterDigest) Check() error {
	if d.Step > StepJoin {
		return errors.Errorf("roster digest: step %d: must be 0 to %d", d.Step, StepJoin)
	}
	zones := max(len(d.Lost), len(d.ReportedLost), len(d.Zones))
	if zones > maxZones || len(d.Versions) > maxVersions || len(d.Requested) > maxVersions {
		return errors.Errorf("roster digest: more than %d zones or %d versions", maxZones, maxVersions)
	}
	for _, z := range slices.Concat(d.Lost, d.ReportedLost) {
		if len(z) > maxNameLength {
			return errors.Errorf("roster digest: zone of %d bytes: must be at most %d", len(z), maxNameLength)
		}
	}
	for _, z := range d.Zones {
		if len(z.Zone) > maxNameLength {
			return errors.Errorf("roster digest: zone of %d bytes: must be at most %d", len(z.Zone), maxNameLength)
		}
	}
	if (d.Step == StepJoin) != (d.Self != nil) || len(d.Zone) > maxNameLength {
		return errors.New("roster digest: self must be set in a join and only there; a zone name has at most 128 bytes")
	}
	if d.Self == nil {
		return nil
	}
	if err := d.Self.Check(); err != nil {
		return errors.Wrap(err, "roster digest")
	}
	return nil
}
