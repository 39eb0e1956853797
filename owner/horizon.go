package owner

import (
	"slices"
	"time"

	"hornbeamcroft"
)

// keyMove is a change of epoch by which this node may have gained keys: a gained key has this node as its home now, and
// another or an unknown home before. The horizon is the time at which this node began to serve the gained keys plus twice
// the clock skew; a gained key that has no record and was issued up to the horizon is from before the takeover, that is,
// it may have run at an earlier home. The margin is needed because an earlier home can be paused between its permit check
// and its dispatch, and may then have dispatched such a key late.
type keyMove struct {
	epoch uint64
	// unknownOrigin is true if the node cannot tell which keys it had before, because it restarted or missed an epoch.
	// It then counts all of its keys as gained.
	unknownOrigin bool
	roster        roster
	previous      roster
	serving       bool
	servingSince  time.Duration
	horizon       int64 // latest issue time of keys before the takeover, in Unix milliseconds
	handovers     map[string]handoverReport
}

// handoverReport is what a previous home reports about the keys without a record in a complete handover.
type handoverReport struct {
	horizon               int64
	untimedBeforeTakeover bool // keys without an issue time count as before the takeover
}

// Verdict is the decision about a key.
type Verdict struct {
	// Serve is true if this node is the home of the key and may run it now.
	Serve bool
	// Code is the reason if Serve is false. A node may answer with it only for a first send, see deduper.Arrival.
	Code hornbeamcroft.Code
	// Home is the home of the key by this node's epoch, and Epoch is the number of that epoch.
	Home  string
	Epoch uint64
	// BeforeTakeover is true if an earlier home may have run the key. If the deduper has no record of the key, the
	// outcome is unknown.
	BeforeTakeover bool
	// PermitEnd is the end of the permit on the node's monotonic clock.
	PermitEnd time.Duration
}

// Decide returns whether this node may run the key now. Wall is the wall-clock time in Unix milliseconds. Issued is the
// issue time of the key in Unix milliseconds, zero for a key without one.
func (o *Owner) Decide(now time.Duration, wall int64, key string, issued int64) Verdict {
	v := o.check(now, key)
	if !v.Serve {
		return v
	}
	o.startServing(now, wall)
	for i := range o.keyMoves {
		beforeTakeover, awaitHandover := o.classifyKey(&o.keyMoves[i], now, key, issued)
		if awaitHandover {
			v.Serve, v.Code = false, hornbeamcroft.CodeNoPermit
			return v
		}
		v.BeforeTakeover = v.BeforeTakeover || beforeTakeover
	}
	return v
}

// MayDispatch reports, right before dispatch, whether this node may still run the key. It returns the end of the permit on
// the node's monotonic clock.
func (o *Owner) MayDispatch(now time.Duration, key string) (time.Duration, bool) {
	v := o.check(now, key)
	return v.PermitEnd, v.Serve
}

// check decides whether this node is the home of the key and holds a permit, and whether the key need not wait for the
// epoch to be settled.
func (o *Owner) check(now time.Duration, key string) Verdict {
	v := Verdict{Home: o.roster.home(key), Epoch: o.epoch.Number, PermitEnd: o.permitUntil}
	switch {
	case o.epoch.Number == 0 || !o.started:
		v.Code = hornbeamcroft.CodeNoPermit
	case v.Home != o.Self:
		v.Code = hornbeamcroft.CodeHomeMoved
	case !o.permitted(now):
		v.Code = hornbeamcroft.CodeNoPermit
	case !o.epoch.Settled && !o.mutation.serveUnsettled && !o.servableBeforeSettled(key):
		v.Code = hornbeamcroft.CodeNoPermit
	default:
		v.Serve = true
	}
	return v
}

// servableBeforeSettled reports whether the key may be served before the epoch is settled: its previous home is this
// node, or has handed over all of its records for this epoch. The handover proves that the previous home knows the
// epoch and starts no further call of the key, so there is no need to wait for its permit to end. Earlier homes cannot
// run the key either, since the previous epoch was settled before this one was written.
func (o *Owner) servableBeforeSettled(key string) bool {
	previousHome := o.previousRoster.home(key)
	if previousHome == o.Self {
		return true
	}
	for i := range o.keyMoves {
		if m := &o.keyMoves[i]; m.epoch == o.epoch.Number && !m.unknownOrigin {
			_, ok := m.handovers[previousHome]
			return ok
		}
	}
	return false
}

// addKeyMoves records the change to the current epoch. Keys of unknown origin get a keyMove of their own, because the
// node serves them as soon as it holds a permit, but serves the keys that moved only when the epoch is settled.
func (o *Owner) addKeyMoves(originUnknown bool) {
	m := keyMove{
		epoch: o.epoch.Number, roster: o.roster, previous: o.previousRoster, handovers: map[string]handoverReport{},
	}
	if len(o.epoch.Previous) > 0 {
		o.keyMoves = append(o.keyMoves, m)
	}
	if originUnknown {
		m.unknownOrigin = true
		o.keyMoves = append(o.keyMoves, m)
	}
}

// dropUnknownOrigins drops the keyMoves of unknown origin of a node that is not in the roster. It is called when a read
// of the store from after the node's start shows that its epoch is the newest. Such a node is the home of no key, and
// any epoch that adds it is written after its start, so the previous homes of all keys that it will gain are known. An
// example is a node that restarts after its earlier process left the roster.
func (o *Owner) dropUnknownOrigins() {
	if contains(o.epoch.Roster, o.Self) {
		return
	}
	o.keyMoves = slices.DeleteFunc(o.keyMoves, func(m keyMove) bool {
		return m.unknownOrigin && !contains(m.roster.names, o.Self)
	})
}

// HandoverReceivers returns the members to which the node hands over records for the newest epoch: all members of the roster if
// the node left it, and otherwise those that joined, since keys do not move between members that stay. A node that left
// and did not hold the epoch before, as after a restart, has no records of its earlier process and returns none.
func (o *Owner) HandoverReceivers() []string {
	if !contains(o.epoch.Previous, o.Self) {
		return nil
	}
	if !contains(o.epoch.Roster, o.Self) {
		if !o.adoptedPrevious {
			return nil
		}
		return o.epoch.Roster
	}
	var joined []string
	for _, name := range o.epoch.Roster {
		if !contains(o.epoch.Previous, name) {
			joined = append(joined, name)
		}
	}
	return joined
}

// gainedFrom reports whether the node gained the key by the move, and returns the previous home; empty if it is not
// known.
func (o *Owner) gainedFrom(m *keyMove, key string) (string, bool) {
	if m.unknownOrigin {
		return "", true
	}
	if m.roster.home(key) != o.Self {
		return "", false
	}
	from := m.previous.home(key)
	return from, from != o.Self
}

// classifyKey reports whether the key is from before the takeover by the move, or has to wait for the handover of its
// previous home.
func (o *Owner) classifyKey(m *keyMove, now time.Duration, key string, issued int64) (beforeTakeover, awaitHandover bool) {
	previousHome, ok := o.gainedFrom(m, key)
	if !ok {
		return false, false
	}
	if h, ok := m.handovers[previousHome]; ok && previousHome != "" {
		if issued == 0 {
			return h.untimedBeforeTakeover && (!m.serving || now-m.servingSince < o.KeyWindow), false
		}
		return issued <= h.horizon, false
	}
	if m.epoch == o.epoch.Number && contains(o.epoch.Roster, previousHome) && now-o.settledOrAdoptedAt < o.permitTime() {
		return false, true // its handover is expected soon and shows whether the key ran
	}
	if issued == 0 {
		return now-m.servingSince < o.KeyWindow, false
	}
	return issued <= m.horizon, false
}

// startServing sets the horizons of the moves whose keys the node may serve from now on. The keys of the current epoch
// wait until it is settled, except those of unknown origin.
func (o *Owner) startServing(now time.Duration, wall int64) {
	if !o.permitted(now) {
		return
	}
	for i := range o.keyMoves {
		m := &o.keyMoves[i]
		if m.serving || (m.epoch == o.epoch.Number && !o.epoch.Settled && !m.unknownOrigin) {
			continue
		}
		m.serving, m.servingSince, m.horizon = true, now, o.horizonFrom(wall)
	}
}

// horizonFrom returns the horizon of a move that the node begins to serve at the given wall-clock time. Both are in
// Unix milliseconds.
func (o *Owner) horizonFrom(wall int64) int64 { return wall + 2*o.ClockSkew.Milliseconds() }

// dropExpiredMoves drops the moves whose keys from before the takeover are all older than KeyWindow, by the monotonic and
// by the wall clock.
func (o *Owner) dropExpiredMoves(now time.Duration, wall int64) {
	kept := o.keyMoves[:0]
	for _, m := range o.keyMoves {
		retention := o.KeyWindow + 2*o.ClockSkew
		if !m.serving || now-m.servingSince <= retention || wall-m.horizon <= o.KeyWindow.Milliseconds() {
			kept = append(kept, m)
		}
	}
	o.keyMoves = kept
}

// Horizon returns the latest horizon of all moves, in Unix milliseconds, and whether keys without an issue time are
// from before the takeover. Both are sent with a handover, see deduper.ExportHeader. A move that the node does not serve
// yet counts as served from now.
func (o *Owner) Horizon(now time.Duration, wall int64) (int64, bool) {
	horizon, untimed := int64(0), false
	for _, m := range o.keyMoves {
		if m.epoch == o.epoch.Number && !m.unknownOrigin {
			continue // the node does not hand over the keys that it gained by the current epoch
		}
		moveHorizon, moveUntimed := o.horizonOf(&m, now, wall)
		horizon, untimed = max(horizon, moveHorizon), untimed || moveUntimed
	}
	return horizon, untimed
}

// horizonOf returns the latest horizon of one move: for each previous home that handed over, the one that it reported,
// and for the others the move's own. It also returns whether keys without an issue time count as before the takeover.
func (o *Owner) horizonOf(m *keyMove, now time.Duration, wall int64) (horizon int64, untimed bool) {
	defaultHorizon, defaultUntimed := m.horizon, !m.serving || now-m.servingSince < o.KeyWindow
	if !m.serving {
		defaultHorizon = o.horizonFrom(wall)
	}
	if m.unknownOrigin {
		return defaultHorizon, defaultUntimed
	}
	for _, previousHome := range m.previous.names {
		// Keys do not move between members that stay.
		if previousHome == o.Self || (contains(m.roster.names, previousHome) && contains(m.previous.names, o.Self)) {
			continue
		}
		h, complete := m.handovers[previousHome]
		if !complete {
			h = handoverReport{horizon: defaultHorizon, untimedBeforeTakeover: defaultUntimed}
		}
		horizon, untimed = max(horizon, h.horizon), untimed || (h.untimedBeforeTakeover && defaultUntimed)
	}
	return horizon, untimed
}

// RecordHandover records that the previous home from handed over all of its records for the epoch, with the results of
// its Horizon. From now on, a key of that home without a record is from before the takeover only by that horizon.
func (o *Owner) RecordHandover(from string, epoch uint64, horizon int64, untimedBeforeTakeover bool) {
	for i := range o.keyMoves {
		m := &o.keyMoves[i]
		if m.epoch == epoch && !m.unknownOrigin && contains(m.previous.names, from) {
			m.handovers[from] = handoverReport{horizon: horizon, untimedBeforeTakeover: untimedBeforeTakeover}
		}
	}
}
