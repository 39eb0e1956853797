package tracker

import (
	"time"

	"hornbeamcroft"

	"github.com/go-faster/errors"
)

// Times of the protocol. A death must be known everywhere within 2 s: suspectAfter + probeTime + two pushes.
const (
	// TickInterval is how often the node calls Tick.
	TickInterval = 50 * time.Millisecond

	heartbeatInterval = 250 * time.Millisecond
	// suspectAfter is four heartbeats, so that three lost in a row raise no suspicion.
	suspectAfter = time.Second
	// suspectRepeat is how often a monitor repeats a report that had no effect.
	suspectRepeat = 250 * time.Millisecond
	probeTime     = 250 * time.Millisecond
	// pauseGap is the time between two ticks from which the node counts as having been paused. What it did not hear
	// in that time tells nothing about others.
	pauseGap = 400 * time.Millisecond

	deadProbeInterval = time.Second

	digestInterval      = 2 * time.Second
	relayDigestInterval = time.Second
	// zoneSilence is the time without any message of a zone after which relays probe it; more than
	// relayDigestInterval.
	zoneSilence = 1100 * time.Millisecond
	// zoneProbeTime covers a new connection and a round trip between regions.
	zoneProbeTime     = 400 * time.Millisecond
	zoneProbes        = 3
	zoneProbeInterval = time.Second

	joinInterval  = 500 * time.Millisecond
	goneRetention = 10 * time.Minute
)

// Switches turn single mechanisms off, for scenarios that show what each is for. All are false in a node.
type Switches struct {
	// Confirm off: one monitor's report is a death.
	Confirm bool
	// Repeat off: a suspect is probed once.
	Repeat bool
	// Orphans off: the members that a dead one monitored wait for new monitors.
	Orphans bool
	// DeadProbe off: nobody speaks to the dead.
	DeadProbe bool
	// Refute off: a member does not answer a report of its own death.
	Refute bool
	// Widen off: reports go to the two relays only, whether they live or not.
	Widen bool
	// ZoneWatch off: silent zones are not noticed.
	ZoneWatch bool
	// PauseGuard off: a node that was paused takes its own silence for that of others.
	PauseGuard bool
	// Push off: changes travel with digests only.
	Push bool
	// Digest off: what a push misses is never repaired.
	Digest bool
}

// Config is what a Tracker starts with.
type Config struct {
	// Self is the node's own record; State is MemberStarting or MemberServing, Sequence is 0.
	Self hornbeamcroft.Member
	// Peers are addresses to find the first members at; none of them needs to be reachable.
	Peers []string
	// Off is for measurements.
	Off Switches
}

// Tracker is the member table of one node with the protocol that keeps it up to date.
type Tracker struct {
	cfg     Config
	self    hornbeamcroft.Member
	version uint64

	members   map[string]*entry
	zones     map[string]*zone
	zoneNames []string
	hash      uint64
	gone      []string

	document, epochs uint64
	behind           Peer
	superseded       bool

	liveness liveness
	spread   spread
	watch    watch
	store    storeState
}

// New returns a Tracker that knows only the node itself.
func New(now time.Duration, cfg Config) (*Tracker, error) {
	if err := cfg.Self.Check(); err != nil {
		return nil, errors.Wrap(err, "tracker")
	}
	if cfg.Self.Zone == "" || !isLive(cfg.Self.State) {
		return nil, errors.New("tracker: the own record needs a zone and a live state")
	}
	t := &Tracker{cfg: cfg, self: cfg.Self, members: map[string]*entry{}, zones: map[string]*zone{}}
	t.liveness = newLiveness(now)
	t.spread = newSpread(now)
	t.watch = newWatch()
	t.store = newStoreState(now)
	t.merge(now, t.self)
	return t, nil
}

// Tick lets time pass.
func (t *Tracker) Tick(now time.Duration, r hornbeamcroft.Rand) []Outgoing {
	if t.superseded {
		return nil
	}
	t.guardPause(now)
	out := t.beat(now)
	out = append(out, t.suspectSilent(now)...)
	out = append(out, t.endProbes(now)...)
	out = append(out, t.followRelays(now)...)
	out = append(out, t.compareDue(now)...)
	out = append(out, t.joinDue(now)...)
	out = append(out, t.watchZones(now, r)...)
	out = append(out, t.probeDead(now, r)...)
	t.forget(now)
	return out
}

// Receive handles a message of the member from. The message has passed Check.
func (t *Tracker) Receive(now time.Duration, from string, m Message) []Outgoing {
	if t.superseded {
		return nil
	}
	out := t.heardZone(now, from)
	switch m := m.(type) {
	case Heartbeat:
		return append(out, t.onHeartbeat(now, from, m)...)
	case Suspect:
		return append(out, t.onSuspect(now, from, m)...)
	case RosterChange:
		return append(out, t.mergeAll(now, from, m.Members)...)
	case RosterDigest:
		return append(out, t.onDigest(now, from, m)...)
	}
	return out
}

// LinkUp tells that a link to a member is up. The two compare at once what they know, so that nodes that lost each
// other agree again without waiting for the next digest.
func (t *Tracker) LinkUp(_ time.Duration, name string) []Outgoing {
	e := t.members[name]
	if e == nil || !t.comparesWith(e) {
		return nil
	}
	return t.compare(e)
}

// Announce changes the own state, for example to MemberDraining at the start of a planned stop. coldFor is the age of
// the upstream.
func (t *Tracker) Announce(now time.Duration, s hornbeamcroft.MemberState, coldFor time.Duration) []Outgoing {
	if t.self.State == s || s > hornbeamcroft.MemberLeft {
		return nil
	}
	t.self.State = s
	t.self.ColdFor = uint32(max(0, min(coldFor, time.Hour)) / time.Millisecond)
	return t.announceSelf(now)
}

func (t *Tracker) announceSelf(now time.Duration) []Outgoing {
	t.self.Sequence++
	t.merge(now, t.self)
	return t.push([]hornbeamcroft.Member{t.self}, "")
}

// SetVersions sets the two numbers that heartbeats and digests carry for others: the document revision and a hash of
// the roster epochs. The tracker does not interpret them beyond comparing.
func (t *Tracker) SetVersions(document, epochs uint64) {
	t.document, t.epochs = document, epochs
	if t.behind.Document <= document && t.behind.Epochs == epochs {
		t.behind = Peer{}
	}
}
