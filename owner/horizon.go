package owner

import (
	"slices"
	"time"

	"hornbeamcroft"
)

// move is one change of epoch by which this node gained keys. The keys without a record are old if they were issued
// before the node began to serve them plus twice the skew: an earlier home may have dispatched them after a pause.
type move struct {
	epoch uint64
	// gap is true if the node cannot tell which keys it kept, after a restart or a missed epoch; it gained all then.
	gap      bool
	roster   roster
	previous roster
	begun    bool
	beganAt  time.Duration
	horizon  int64 // Unix milliseconds
	handed   map[string]handed
}

// handed is what a complete handover by a previous home says about its keys.
type handed struct {
	horizon    int64
	untimedOld bool
}

// Verdict is the decision about a key.
type Verdict struct {
	// Serve is true if this node is the home of the key and may run it now.
	Serve bool
	// Code is the reason if not. A node may pass it on only for a first send, see deduper.Arrival.
	Code hornbeamcroft.Code
	// Home and Epoch tell where the key belongs by this node's epoch.
	Home  string
	Epoch uint64
	// Old is true if an earlier home may have run the key; without a record the outcome is unknown.
	Old bool
	// PermitEnd is the end of the permit on the node's monotonic clock.
	PermitEnd time.Duration
}

// Decide tells whether this node may run the key now. Issued is the issue time of the key in Unix milliseconds, zero
// for a key without one.
func (o *Owner) Decide(now time.Duration, wall int64, key string, issued int64) Verdict {
	v := o.check(now, key)
	if !v.Serve {
		return v
	}
	o.begin(now, wall)
	for i := range o.moves {
		old, waiting := o.judge(&o.moves[i], now, key, issued)
		if waiting {
			v.Serve, v.Code = false, hornbeamcroft.CodeNoPermit
			return v
		}
		v.Old = v.Old || old
	}
	return v
}

// Check repeats the decision right before dispatch. It returns the end of the permit.
func (o *Owner) Check(now time.Duration, key string) (time.Duration, bool) {
	v := o.check(now, key)
	return v.PermitEnd, v.Serve
}

func (o *Owner) check(now time.Duration, key string) Verdict {
	v := Verdict{Home: o.current.home(key), Epoch: o.epoch.Number, PermitEnd: o.permitUntil}
	switch {
	case o.epoch.Number == 0 || !o.started:
		v.Code = hornbeamcroft.CodeNoPermit
	case v.Home != o.Self:
		v.Code = hornbeamcroft.CodeHomeMoved
	case !o.permitted(now):
		v.Code = hornbeamcroft.CodeNoPermit
	case !o.epoch.Settled && !o.relax.openMoved && !o.released(key):
		v.Code = hornbeamcroft.CodeNoPermit
	default:
		v.Serve = true
	}
	return v
}

// released reports whether the key may be served before the epoch is settled: its previous home is this node, or has
// handed over all of its records for this epoch. The handover proves that the previous home knows the epoch and starts
// no further call of the key, so the wait for its permit to end is not needed. Homes before it ended when the previous
// epoch was settled.
func (o *Owner) released(key string) bool {
	from := o.previous.home(key)
	if from == o.Self {
		return true
	}
	for i := range o.moves {
		if m := &o.moves[i]; m.epoch == o.epoch.Number && !m.gap {
			_, ok := m.handed[from]
			return ok
		}
	}
	return false
}

// addMove records the change to the current epoch. A gap is a move of its own, because it begins with the permit while
// the keys that moved begin when the epoch is settled.
func (o *Owner) addMove(gap bool) {
	m := move{epoch: o.epoch.Number, roster: o.current, previous: o.previous, handed: map[string]handed{}}
	if len(o.epoch.Previous) > 0 {
		o.moves = append(o.moves, m)
	}
	if gap {
		m.gap = true
		o.moves = append(o.moves, m)
	}
}

// dropGaps forgets the gaps of a node that is not in the roster, when a read from after its start shows the epoch as the
// newest. Such a node holds no key, and any epoch that adds it was written after its start, so all homes of the keys that
// it will gain are known. Example: a restart whose former process has left the roster.
func (o *Owner) dropGaps() {
	if contains(o.epoch.Roster, o.Self) {
		return
	}
	o.moves = slices.DeleteFunc(o.moves, func(m move) bool { return m.gap && !contains(m.roster.names, o.Self) })
}

// Receivers returns the members to which the node hands over records for the newest epoch: all members if it left the
// roster, and those that joined otherwise, since keys do not move between members that stay. A node that was started
// after it had left has nothing to say about its former process.
func (o *Owner) Receivers() []string {
	if !contains(o.epoch.Previous, o.Self) {
		return nil
	}
	if !contains(o.epoch.Roster, o.Self) {
		if !o.continuous {
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

// addMove records the node gained the key by the move, and from which home; empty if that is not known.
func (o *Owner) gained(m *move, key string) (string, bool) {
	if m.gap {
		return "", true
	}
	if m.roster.home(key) != o.Self {
		return "", false
	}
	from := m.previous.home(key)
	return from, from != o.Self
}

// judge tells whether the key is old by the move, or must wait for the handover of its previous home.
func (o *Owner) judge(m *move, now time.Duration, key string, issued int64) (old, waiting bool) {
	from, ok := o.gained(m, key)
	if !ok {
		return false, false
	}
	if h, ok := m.handed[from]; ok && from != "" {
		if issued == 0 {
			return h.untimedOld && (!m.begun || now-m.beganAt < o.KeyWindow), false
		}
		return issued <= h.horizon, false
	}
	if m.epoch == o.epoch.Number && contains(o.epoch.Roster, from) && now-o.settledAt < o.permitTime() {
		return false, true // a live previous home hands over soon, which makes the key's state exact
	}
	if issued == 0 {
		return now-m.beganAt < o.KeyWindow, false
	}
	return issued <= m.horizon, false
}

// begin fixes the horizons of the moves whose keys the node may serve from now on.
func (o *Owner) begin(now time.Duration, wall int64) {
	if !o.permitted(now) {
		return
	}
	for i := range o.moves {
		m := &o.moves[i]
		if m.begun || (m.epoch == o.epoch.Number && !o.epoch.Settled && !m.gap) {
			continue
		}
		m.begun, m.beganAt, m.horizon = true, now, o.freshHorizon(wall)
	}
}

func (o *Owner) freshHorizon(wall int64) int64 { return wall + 2*o.ClockSkew.Milliseconds() }

// dropMoves forgets moves whose old keys are all older than the window by now.
func (o *Owner) dropMoves(now time.Duration, wall int64) {
	kept := o.moves[:0]
	for _, m := range o.moves {
		age := o.KeyWindow + 2*o.ClockSkew
		if !m.begun || now-m.beganAt <= age || wall-m.horizon <= o.KeyWindow.Milliseconds() {
			kept = append(kept, m)
		}
	}
	o.moves = kept
}

// Horizon returns the latest horizon in force, in Unix milliseconds, and whether keys without an issue time are old.
// Both go into the completeness marker of a handover. A move that was not served yet counts from now.
func (o *Owner) Horizon(now time.Duration, wall int64) (int64, bool) {
	horizon, untimed := int64(0), false
	for _, m := range o.moves {
		if m.epoch == o.epoch.Number && !m.gap {
			continue // the keys gained by the current epoch are not those handed over by it
		}
		h, u := o.horizonOf(&m, now, wall)
		horizon, untimed = max(horizon, h), untimed || u
	}
	return horizon, untimed
}

// horizonOf returns the horizon of one move: that of the previous homes which handed over, and its own for the others.
func (o *Owner) horizonOf(m *move, now time.Duration, wall int64) (horizon int64, untimed bool) {
	own, ownUntimed := m.horizon, !m.begun || now-m.beganAt < o.KeyWindow
	if !m.begun {
		own = o.freshHorizon(wall)
	}
	if m.gap {
		return own, ownUntimed
	}
	for _, from := range m.previous.names {
		// Keys do not move between members that stay.
		if from == o.Self || (contains(m.roster.names, from) && contains(m.previous.names, o.Self)) {
			continue
		}
		h, done := m.handed[from]
		if !done {
			h = handed{horizon: own, untimedOld: ownUntimed}
		}
		horizon, untimed = max(horizon, h.horizon), untimed || (h.untimedOld && ownUntimed)
	}
	return horizon, untimed
}

// HandoverDone records that the previous home from handed over all of its records for the epoch, with the Horizon that
// it reported. Keys of that home are exact from now on.
func (o *Owner) HandoverDone(from string, epoch uint64, horizon int64, untimedOld bool) {
	for i := range o.moves {
		m := &o.moves[i]
		if m.epoch == epoch && !m.gap && contains(m.previous.names, from) {
			m.handed[from] = handed{horizon: horizon, untimedOld: untimedOld}
		}
	}
}
