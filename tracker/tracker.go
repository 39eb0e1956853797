package tracker

import (
	"time"

	"hornbeamcroft"

	"github.com/go-faster/errors"
)

// Intervals and timeouts of the protocol. Every member must learn of a death within 2 s, which covers suspicionTimeout,
// probeTimeout and two pushes.
const (
	// TickInterval is the interval at which the node calls Tick.
	TickInterval = 50 * time.Millisecond

	// heartbeatInterval is the interval at which a member sends heartbeats to its monitors.
	heartbeatInterval = 250 * time.Millisecond
	// suspicionTimeout is the silence after which a monitor reports a member. It is four heartbeat intervals, so that
	// three lost heartbeats in a row cause no report.
	suspicionTimeout = time.Second
	// reportInterval is the interval at which a monitor repeats a report while the member stays silent and is not
	// declared dead.
	reportInterval = 250 * time.Millisecond
	// probeTimeout is the time within which a suspect must answer a probe.
	probeTimeout = 250 * time.Millisecond
	// pauseThreshold is the time between two ticks from which on the node is considered to have been paused. The lack
	// of messages during a pause says nothing about other members.
	pauseThreshold = 400 * time.Millisecond

	// deadProbeInterval is the interval at which a relay probes a dead member.
	deadProbeInterval = time.Second

	// digestInterval is the interval of the comparisons with the relays of this node's zone, relayDigestInterval that
	// of the comparisons between relays of different zones.
	digestInterval      = 2 * time.Second
	relayDigestInterval = time.Second
	// zoneSilenceTimeout is the time without messages from a zone after which relays probe it. It is longer than
	// relayDigestInterval, at which relays of a zone that can be reached send digests.
	zoneSilenceTimeout = 1100 * time.Millisecond
	// zoneProbeTimeout is the time within which a silent zone must answer before it counts as lost. It covers a new
	// connection and a round trip between regions.
	zoneProbeTimeout = 400 * time.Millisecond
	// zoneProbeCount is the number of members of a silent zone that are probed at once.
	zoneProbeCount = 3
	// zoneProbeInterval is the interval at which a relay probes a lost zone.
	zoneProbeInterval = time.Second

	// joinInterval is the interval at which a node that knows no other member sends a join.
	joinInterval = 500 * time.Millisecond
	// tombstoneRetention is the time for which the records of members that died or left are kept.
	tombstoneRetention = 10 * time.Minute
)

// Mechanisms selects mechanisms of the protocol to disable, for test scenarios that show which failure each of them
// prevents. A field that is true disables its mechanism. No field is true in a production node.
type Mechanisms struct {
	// Confirmation requires an unanswered probe or a second reporter before a member is declared dead. Without it, the
	// report of one monitor is sufficient.
	Confirmation bool
	// ProbeRepetition repeats the probe of a suspect at each tick. Without it, a suspect is probed once.
	ProbeRepetition bool
	// OrphanProbes are probes of the members that a dead member monitored. Without them, the silence of these members
	// is reported only by their new monitors.
	OrphanProbes bool
	// DeadProbes are probes of dead members. Without them, no node contacts a member that was declared dead.
	DeadProbes bool
	// Refutation is the answer of a member to a report of its own death. Without it, the member stays dead for others.
	Refutation bool
	// ReportWidening sends reports to members beyond the relays. Without it, reports go to the two relays only, even if
	// both are dead.
	ReportWidening bool
	// ZoneMonitoring detects zones that cannot be reached. Without it, no zone is marked as lost.
	ZoneMonitoring bool
	// PauseDetection restarts the timers of a node that was paused. Without it, the node treats messages that it could
	// not receive while paused as the silence of others.
	PauseDetection bool
	// Push sends changed records at once. Without it, changes spread through comparisons of digests only.
	Push bool
	// Digests are comparisons of rosters. Without them, changes that a push did not deliver are never repaired.
	Digests bool
}

// Config is the configuration of a Tracker.
type Config struct {
	// Self is the node's own record. Its Zone must not be empty, and its State must be MemberStarting, MemberServing or
	// MemberDraining. Its Sequence is 0 at the start of a process.
	Self hornbeamcroft.Member
	// Peers are the addresses that the node sends joins to. None of them needs to be reachable, because the store is
	// read if no peer answers.
	Peers []string
	// Disabled is the set of disabled mechanisms, for tests only.
	Disabled Mechanisms
}

// Tracker holds one node's table of all members and runs the protocol that keeps the table up to date.
type Tracker struct {
	cfg  Config
	self hornbeamcroft.Member
	// changeCount is the result of ChangeCount.
	changeCount uint64

	// members holds all known members, including tombstones, by name.
	members map[string]*entry
	zones   map[string]*zone
	// zoneNames holds the keys of zones in ascending order.
	zoneNames []string
	// hash is the XOR of the hashes of all zones.
	hash uint64
	// tombstones holds the names of the members that died or left and whose records are still kept. Names of members
	// that are live again are removed at the next Tick.
	tombstones []string

	// documentRevision and epochsHash are the values passed to SetVersions.
	documentRevision, epochsHash uint64
	// newerPeer is the result of NewerPeer; its Name is empty if there is no such peer.
	newerPeer  Peer
	superseded bool

	liveness      liveness
	dissemination dissemination
	zoneMonitor   zoneMonitor
	store         storeState
}

// New returns a Tracker whose only member is the node itself.
func New(now time.Duration, cfg Config) (*Tracker, error) {
	if err := cfg.Self.Check(); err != nil {
		return nil, errors.Wrap(err, "tracker")
	}
	if cfg.Self.Zone == "" || !isLive(cfg.Self.State) {
		return nil, errors.New("tracker: Config.Self must have a zone and the state starting, serving or draining")
	}
	t := &Tracker{cfg: cfg, self: cfg.Self, members: map[string]*entry{}, zones: map[string]*zone{}}
	t.liveness = newLiveness(now)
	t.dissemination = newDissemination(now)
	t.zoneMonitor = newZoneMonitor()
	t.store = newStoreState(now)
	t.merge(now, t.self)
	return t, nil
}

// Tick runs the periodic work that is due at now and returns the messages to send.
func (t *Tracker) Tick(now time.Duration, r hornbeamcroft.Rand) []Outgoing {
	if t.superseded {
		return nil
	}
	t.resetAfterPause(now)
	out := t.sendHeartbeats(now)
	out = append(out, t.reportSilentMembers(now)...)
	out = append(out, t.resolveSuspicions(now)...)
	out = append(out, t.compareWithNewRelays(now)...)
	out = append(out, t.sendDueDigests(now)...)
	out = append(out, t.sendDueJoin(now)...)
	out = append(out, t.monitorZones(now, r)...)
	out = append(out, t.probeDead(now, r)...)
	t.removeExpiredTombstones(now)
	return out
}

// Receive processes a message of the member named from and returns the messages to send. The caller must have validated
// the message with Check.
func (t *Tracker) Receive(now time.Duration, from string, m Message) []Outgoing {
	if t.superseded {
		return nil
	}
	out := t.onZoneHeard(now, from)
	switch m := m.(type) {
	case Heartbeat:
		return append(out, t.onHeartbeat(now, from, m)...)
	case Suspicion:
		return append(out, t.onSuspicion(now, from, m)...)
	case RosterChange:
		return append(out, t.mergeAndPush(now, from, m.Members)...)
	case RosterDigest:
		return append(out, t.onDigest(now, from, m)...)
	}
	return out
}

// LinkUp reports that a link to the named member is established. If the two members compare rosters, they do so at
// once, so that they agree after a partition without waiting for the next periodic digest.
func (t *Tracker) LinkUp(_ time.Duration, name string) []Outgoing {
	e := t.members[name]
	if e == nil || !t.comparesWith(e) {
		return nil
	}
	return t.compare(e)
}

// Announce changes the state in this node's own record, for example to MemberDraining at the start of a planned stop.
// sinceStart is the time since the upstream started; it is announced in milliseconds and capped at one hour.
func (t *Tracker) Announce(now time.Duration, s hornbeamcroft.MemberState, sinceStart time.Duration) []Outgoing {
	if t.self.State == s || s > hornbeamcroft.MemberLeft {
		return nil
	}
	t.self.State = s
	t.self.SinceStart = uint32(max(0, min(sinceStart, time.Hour)) / time.Millisecond)
	return t.announceSelf(now)
}

// announceSelf raises the sequence of this node's own record and pushes the record.
func (t *Tracker) announceSelf(now time.Duration) []Outgoing {
	t.self.Sequence++
	t.merge(now, t.self)
	return t.push([]hornbeamcroft.Member{t.self}, "")
}

// SetVersions sets the document revision and the hash of the roster epochs, which heartbeats and digests carry. The
// tracker only compares these numbers with those of other members.
func (t *Tracker) SetVersions(documentRevision, epochsHash uint64) {
	t.documentRevision, t.epochsHash = documentRevision, epochsHash
	if t.newerPeer.Document <= documentRevision && t.newerPeer.Epochs == epochsHash {
		t.newerPeer = Peer{}
	}
}
