package tracker

import (
	"maps"
	"slices"
	"time"

	"hornbeamcroft"
)

// firstReportRecipients is the number of members of lowest rank that receive the first report about a silent member. It
// is more than relayCount, so that two more members can declare a death if both relays are dead.
const firstReportRecipients = 4

// liveness holds the state of failure detection within this node's zone.
type liveness struct {
	lastTick      time.Duration
	lastHeartbeat time.Duration
	// lastDeadProbe is the time at which a dead member was last probed.
	lastDeadProbe time.Duration
	// monitored holds the members that this node monitors, its ring predecessors, by name.
	monitored map[string]*monitoring
	// suspects holds the reported members whose death this node has not yet confirmed or ruled out, by name.
	suspects map[string]*suspicion
}

// monitoring is the state of one monitored member.
type monitoring struct {
	// lastHeard is the time of the last heartbeat.
	lastHeard time.Duration
	// lastReported is the time of the last report; zero if none was sent since the last heartbeat.
	lastReported time.Duration
	// reports is the number of reports since the last heartbeat.
	reports int
}

// suspicion collects the reports about one member.
type suspicion struct {
	reporters map[string]bool
	// deadline is the time by which the member must answer a probe.
	deadline time.Duration
}

func newLiveness(now time.Duration) liveness {
	return liveness{
		lastTick: now, lastHeartbeat: now - heartbeatInterval,
		monitored: map[string]*monitoring{}, suspects: map[string]*suspicion{},
	}
}

// resetAfterPause restarts the silence timers and discards all suspicions if this node was paused for at least
// pauseThreshold. Otherwise it would treat messages that it could not receive while paused as the silence of others.
func (t *Tracker) resetAfterPause(now time.Duration) {
	gap := now - t.liveness.lastTick
	t.liveness.lastTick = now
	if gap < pauseThreshold || t.cfg.Disabled.PauseDetection {
		return
	}
	for _, m := range t.liveness.monitored {
		*m = monitoring{lastHeard: now}
	}
	clear(t.liveness.suspects)
	t.zoneMonitor.resetTimers(now)
}

// sendHeartbeats sends a heartbeat to the ring successors every heartbeatInterval.
func (t *Tracker) sendHeartbeats(now time.Duration) []Outgoing {
	if now-t.liveness.lastHeartbeat < heartbeatInterval {
		return nil
	}
	t.liveness.lastHeartbeat = now
	var out []Outgoing
	for _, e := range t.zone(t.self.Zone).neighbours(t.self.Name, 1) {
		out = append(out, t.messageTo(e, t.heartbeat(PurposeHeartbeat)))
	}
	return out
}

func (t *Tracker) heartbeat(p Purpose) Heartbeat {
	return Heartbeat{
		Incarnation: t.self.Incarnation, Sequence: t.self.Sequence,
		Document: t.documentRevision, Epochs: t.epochsHash, Purpose: p,
	}
}

// reportSilentMembers reports each ring predecessor that has been silent for suspicionTimeout and repeats the report
// every reportInterval.
func (t *Tracker) reportSilentMembers(now time.Duration) []Outgoing {
	var out []Outgoing
	l := &t.liveness
	predecessors := t.zone(t.self.Zone).neighbours(t.self.Name, -1)
	for _, e := range predecessors {
		m := l.monitored[e.Name]
		if m == nil {
			m = &monitoring{lastHeard: now}
			l.monitored[e.Name] = m
		}
		if now-m.lastHeard < suspicionTimeout || now-m.lastReported < reportInterval {
			continue
		}
		m.lastReported = now
		m.reports++
		out = append(out, t.reportSuspicion(now, e, m.reports)...)
	}
	if len(l.monitored) > len(predecessors) {
		maps.DeleteFunc(l.monitored, func(name string, _ *monitoring) bool {
			return !slices.ContainsFunc(predecessors, func(e *entry) bool { return e.Name == name })
		})
	}
	return out
}

// reportSuspicion sends a report about e to the live members of lowest rank. reports counts the reports about e,
// including this one: each repetition goes to two more members, in case the previous recipients are dead too.
func (t *Tracker) reportSuspicion(now time.Duration, e *entry, reports int) []Outgoing {
	limit := firstReportRecipients + 2*(reports-1)
	if t.cfg.Disabled.ReportWidening {
		limit = relayCount
	}
	m := Suspicion{Name: e.Name, Incarnation: e.Incarnation, Sequence: e.Sequence}
	var out []Outgoing
	for i, to := range t.zone(t.self.Zone).live() {
		switch {
		case i >= limit:
			return out
		case to.Name == t.self.Name:
			out = append(out, t.onSuspicion(now, t.self.Name, m)...)
		case to.Name != e.Name:
			out = append(out, t.messageTo(to, m))
		}
	}
	return out
}

// onHeartbeat answers a probe and clears suspicion of the sender. It requests the sender's record if the sender
// announces a newer version, and sends the sender its record if the sender was declared dead, left or was replaced.
func (t *Tracker) onHeartbeat(now time.Duration, from string, h Heartbeat) []Outgoing {
	e := t.members[from]
	if e == nil {
		return t.requestRecord(from)
	}
	var out []Outgoing
	if h.Purpose == PurposeProbe {
		out = append(out, t.messageTo(e, t.heartbeat(PurposeProbeReply)))
	}
	t.updateNewerPeer(from, h.Document, h.Epochs)
	switch {
	case h.Incarnation > e.Incarnation || (h.Incarnation == e.Incarnation && h.Sequence > e.Sequence):
		out = append(out, t.messageTo(e, RosterDigest{Step: StepRequest, Requested: []uint64{e.nameHash}}))
	case h.Incarnation < e.Incarnation || !e.live():
		// The sender does not know that it was declared dead or was replaced by a newer process.
		return append(out, t.messageTo(e, RosterChange{Members: []hornbeamcroft.Member{e.Member}}))
	}
	if s := t.liveness.monitored[from]; s != nil {
		*s = monitoring{lastHeard: now}
	}
	delete(t.liveness.suspects, from)
	return out
}

// onSuspicion processes a report that a member of this zone is silent. The first report starts a probe of the member;
// when monitorCount members have reported it, it is declared dead at once. A report about this node, or about a record
// that is outdated or no longer live, is answered with the record that this node holds.
func (t *Tracker) onSuspicion(now time.Duration, from string, s Suspicion) []Outgoing {
	e, reporter := t.members[s.Name], t.members[from]
	if e == nil || reporter == nil || !reporter.live() || e.Zone != t.self.Zone || reporter.Zone != e.Zone {
		return nil
	}
	if !e.live() || e.Incarnation != s.Incarnation || e.Sequence > s.Sequence || e.Name == t.self.Name {
		if from == t.self.Name {
			return nil
		}
		return []Outgoing{t.messageTo(reporter, RosterChange{Members: []hornbeamcroft.Member{e.Member}})}
	}
	if t.cfg.Disabled.Confirmation {
		return t.declareDead(now, e)
	}
	return t.recordSuspicion(now, e, from)
}

// recordSuspicion records that reporter suspects e. It probes e on the first report and declares it dead at the report
// of the monitorCount-th reporter.
func (t *Tracker) recordSuspicion(now time.Duration, e *entry, reporter string) []Outgoing {
	s := t.liveness.suspects[e.Name]
	if s == nil {
		s = &suspicion{reporters: map[string]bool{reporter: true}, deadline: now + probeTimeout}
		t.liveness.suspects[e.Name] = s
		return []Outgoing{t.messageTo(e, t.heartbeat(PurposeProbe))}
	}
	s.reporters[reporter] = true
	if len(s.reporters) < monitorCount {
		return nil
	}
	return t.declareDead(now, e)
}

// resolveSuspicions declares the suspects dead that did not answer a probe within probeTimeout. Until then it repeats
// the probe at each tick, so that a single lost message does not cause a false death.
func (t *Tracker) resolveSuspicions(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, name := range slices.Sorted(maps.Keys(t.liveness.suspects)) {
		s, e := t.liveness.suspects[name], t.members[name]
		switch {
		case s == nil:
		case e == nil || !e.live():
			delete(t.liveness.suspects, name)
		case now < s.deadline && t.cfg.Disabled.ProbeRepetition:
		case now < s.deadline:
			out = append(out, t.messageTo(e, t.heartbeat(PurposeProbe)))
		default:
			out = append(out, t.declareDead(now, e)...)
		}
	}
	return out
}

// declareDead announces that e is dead and probes the members that e monitored: if several neighbours in the ring die
// at once, no monitor may be left to report them.
func (t *Tracker) declareDead(now time.Duration, e *entry) []Outgoing {
	orphans := t.zone(e.Zone).neighbours(e.Name, -1)
	delete(t.liveness.suspects, e.Name)
	m := e.Member
	m.State = hornbeamcroft.MemberDead
	t.merge(now, m)
	out := t.push([]hornbeamcroft.Member{m}, "")
	for _, o := range orphans {
		if !t.cfg.Disabled.OrphanProbes && o.Name != t.self.Name && t.liveness.suspects[o.Name] == nil {
			out = append(out, t.recordSuspicion(now, o, t.self.Name)...)
		}
	}
	return out
}

// probeDead probes one random dead member per deadProbeInterval, from this node's zone or from a zone in which it
// reaches no member. Only relays do this. After a partition within a zone, each side considers the other dead, and
// without these probes neither side would ever contact the other again.
func (t *Tracker) probeDead(now time.Duration, r hornbeamcroft.Rand) []Outgoing {
	l := &t.liveness
	if len(t.tombstones) == 0 || now-l.lastDeadProbe < deadProbeInterval || t.cfg.Disabled.DeadProbes || !t.IsRelay() {
		return nil
	}
	l.lastDeadProbe = now
	var dead []*entry
	for _, name := range t.tombstones {
		e := t.members[name]
		if e == nil || e.State != hornbeamcroft.MemberDead {
			continue
		}
		if e.Zone == t.self.Zone || t.zoneMonitor.lost[e.Zone] || len(t.zones[e.Zone].live()) == 0 {
			dead = append(dead, e)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []Outgoing{t.messageTo(dead[r.IntN(len(dead))], t.heartbeat(PurposeProbe))}
}
