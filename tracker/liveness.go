package tracker

import (
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

// reportedTo is the number of members of lowest rank that get a first report; with both relays dead, the next two
// decide.
const reportedTo = 4

type liveness struct {
	lastTick time.Duration
	lastBeat time.Duration
	// lastDeadProbe is when a dead member was probed last.
	lastDeadProbe time.Duration
	// silent holds the members that this node monitors.
	silent map[string]*silence
	// suspects holds the reports that this node, as a relay, is checking.
	suspects map[string]*suspicion
}

type silence struct {
	heard    time.Duration
	reported time.Duration
	reports  int
}

type suspicion struct {
	reporters map[string]bool
	deadline  time.Duration
}

func newLiveness(now time.Duration) liveness {
	return liveness{
		lastTick: now, lastBeat: now - heartbeatInterval,
		silent: map[string]*silence{}, suspects: map[string]*suspicion{},
	}
}

// guardPause voids all waiting if this node itself stood still.
func (t *Tracker) guardPause(now time.Duration) {
	gap := now - t.liveness.lastTick
	t.liveness.lastTick = now
	if gap < pauseGap || t.cfg.Off.PauseGuard {
		return
	}
	for _, s := range t.liveness.silent {
		*s = silence{heard: now}
	}
	clear(t.liveness.suspects)
	t.watch.reset(now)
}

func (t *Tracker) beat(now time.Duration) []Outgoing {
	if now-t.liveness.lastBeat < heartbeatInterval {
		return nil
	}
	t.liveness.lastBeat = now
	var out []Outgoing
	for _, e := range t.zone(t.self.Zone).neighbours(t.self.Name, 1) {
		out = append(out, t.to(e, t.heartbeat(PurposeBeat)))
	}
	return out
}

func (t *Tracker) heartbeat(p Purpose) Heartbeat {
	return Heartbeat{
		Incarnation: t.self.Incarnation, Sequence: t.self.Sequence,
		Document: t.document, Epochs: t.epochs, Purpose: p,
	}
}

// suspectSilent reports the ring predecessors that were silent for too long.
func (t *Tracker) suspectSilent(now time.Duration) []Outgoing {
	var out []Outgoing
	l := &t.liveness
	watched := t.zone(t.self.Zone).neighbours(t.self.Name, -1)
	for _, e := range watched {
		s := l.silent[e.Name]
		if s == nil {
			s = &silence{heard: now}
			l.silent[e.Name] = s
		}
		if now-s.heard < suspectAfter || now-s.reported < suspectRepeat {
			continue
		}
		s.reported = now
		s.reports++
		out = append(out, t.report(now, e, s.reports)...)
	}
	if len(l.silent) > len(watched) {
		maps.DeleteFunc(l.silent, func(name string, _ *silence) bool {
			return !slices.ContainsFunc(watched, func(e *entry) bool { return e.Name == name })
		})
	}
	return out
}

// report sends a suspicion to the members of lowest rank. Each repetition goes to two more of them, in case those
// before are dead too.
func (t *Tracker) report(now time.Duration, e *entry, reports int) []Outgoing {
	limit := reportedTo + 2*(reports-1)
	if t.cfg.Off.Widen {
		limit = relayCount
	}
	m := Suspect{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence}
	var out []Outgoing
	for i, to := range t.zone(t.self.Zone).live() {
		switch {
		case i >= limit:
			return out
		case to.Name == t.self.Name:
			out = append(out, t.onSuspect(now, t.self.Name, m)...)
		case to.Name != e.Name:
			out = append(out, t.to(to, m))
		}
	}
	return out
}

func (t *Tracker) onHeartbeat(now time.Duration, from string, h Heartbeat) []Outgoing {
	e := t.members[from]
	if e == nil {
		return t.askRecord(from)
	}
	var out []Outgoing
	if h.Purpose == PurposeProbe {
		out = append(out, t.to(e, t.heartbeat(PurposeProbeReply)))
	}
	t.noteVersions(from, h.Document, h.Epochs)
	switch {
	case h.Incarnation > e.Incarnation || (h.Incarnation == e.Incarnation && h.Sequence > e.Sequence):
		out = append(out, t.to(e, RosterDigest{Step: StepWant, Want: []uint64{e.rank}}))
	case h.Incarnation < e.Incarnation || !e.live():
		// The sender does not know its own death, or that it was replaced.
		return append(out, t.to(e, RosterChange{Members: []hornbeamcroft.Member{e.Member}}))
	}
	if s := t.liveness.silent[from]; s != nil {
		*s = silence{heard: now}
	}
	delete(t.liveness.suspects, from)
	return out
}

// onSuspect counts the reports about a member. Two reporters are enough; after one, the member is probed.
func (t *Tracker) onSuspect(now time.Duration, from string, s Suspect) []Outgoing {
	e, reporter := t.members[s.Name], t.members[from]
	if e == nil || reporter == nil || !reporter.live() || e.Zone != t.self.Zone || reporter.Zone != e.Zone {
		return nil
	}
	if !e.live() || e.Incarnation != s.Incarnation || e.Sequence > s.Sequence || e.Name == t.self.Name {
		if from == t.self.Name {
			return nil
		}
		return []Outgoing{t.to(reporter, RosterChange{Members: []hornbeamcroft.Member{e.Member}})}
	}
	if t.cfg.Off.Confirm {
		return t.declareDead(now, e)
	}
	return t.suspect(now, e, from)
}

func (t *Tracker) suspect(now time.Duration, e *entry, reporter string) []Outgoing {
	s := t.liveness.suspects[e.Name]
	if s == nil {
		s = &suspicion{reporters: map[string]bool{reporter: true}, deadline: now + probeTime}
		t.liveness.suspects[e.Name] = s
		return []Outgoing{t.to(e, t.heartbeat(PurposeProbe))}
	}
	s.reporters[reporter] = true
	if len(s.reporters) < monitorCount {
		return nil
	}
	return t.declareDead(now, e)
}

// endProbes declares those dead who did not answer a probe. Until then it repeats the probe at each tick, so that one
// lost message decides nothing.
func (t *Tracker) endProbes(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(t.liveness.suspects)) {
		s, e := t.liveness.suspects[name], t.members[name]
		switch {
		case s == nil:
		case e == nil || !e.live():
			delete(t.liveness.suspects, name)
		case now < s.deadline && t.cfg.Off.Repeat:
		case now < s.deadline:
			out = append(out, t.to(e, t.heartbeat(PurposeProbe)))
		default:
			out = append(out, t.declareDead(now, e)...)
		}
	}
	return out
}

// declareDead announces a death and probes the members that the dead one monitored: if several neighbours die at once,
// none may be left to report them.
func (t *Tracker) declareDead(now time.Duration, e *entry) []Outgoing {
	orphans := t.zone(e.Zone).neighbours(e.Name, -1)
	delete(t.liveness.suspects, e.Name)
	m := e.Member
	m.State = hornbeamcroft.MemberDead
	t.merge(now, m)
	out := t.push([]hornbeamcroft.Member{m}, "")
	for _, o := range orphans {
		if !t.cfg.Off.Orphans && o.Name != t.self.Name && t.liveness.suspects[o.Name] == nil {
			out = append(out, t.suspect(now, o, t.self.Name)...)
		}
	}
	return out
}

// probeDead lets a relay probe one dead member a second, of its own zone or of a zone where it reaches nobody. After a
// split of a zone, each side takes the other for dead and nobody would ever speak to the other side again.
func (t *Tracker) probeDead(now time.Duration, r hornbeamcroft.Rand) []Outgoing {
	l := &t.liveness
	if len(t.gone) == 0 || now-l.lastDeadProbe < deadProbeInterval || t.cfg.Off.DeadProbe || !t.IsRelay() {
		return nil
	}
	l.lastDeadProbe = now
	var dead []*entry
	for _, name := range t.gone {
		e := t.members[name]
		if e == nil || e.State != hornbeamcroft.MemberDead {
			continue
		}
		if e.Zone == t.self.Zone || t.watch.lost[e.Zone] || len(t.zones[e.Zone].live()) == 0 {
			dead = append(dead, e)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []Outgoing{t.to(dead[r.IntN(len(dead))], t.heartbeat(PurposeProbe))}
}
