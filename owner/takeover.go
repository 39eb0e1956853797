package owner

import (
	"slices"
	"time"
)

// takeover gathers the acknowledgements of the current epoch.
type takeover struct {
	round   uint64
	sentAt  time.Duration
	offers  map[uint64]time.Duration // rounds and when they were sent
	held    map[string]holding
	written bool
}

// holding is the time, on this node's clock, during which a member is known to have held the epoch in one incarnation.
type holding struct {
	incarnation uint64
	from        time.Duration // when its first acknowledgement arrived
	to          time.Duration // when the offer of its latest acknowledgement was sent
}

// offersKept bounds the rounds that are remembered; acknowledgements of older rounds are ignored.
const offersKept = 64

// tickTakeover drives the change of the epoch: write, offer, count, wait, mark settled.
func (o *Owner) tickTakeover(now time.Duration) Output {
	switch {
	case o.epoch.Number == 0:
		return Output{}
	case o.epoch.Settled:
		return o.propose(now)
	case !o.drives(now):
		return Output{}
	}
	var out Output
	if o.takeover.round == 0 || now-o.takeover.sentAt >= o.permitTime()/6 {
		out.add(o.offer(now))
	}
	if at, ok := o.acknowledgedAt(now); ok && now >= at+o.wait() {
		out.add(o.settle(now))
	}
	return out
}

// wait is the permit time of the epoch before on the slowest allowed clock.
func (o *Owner) wait() time.Duration {
	if o.relax.noWait {
		return 0
	}
	return max(o.epoch.PreviousPermitTime, minPermitTime) * (100 + DriftPercent) / 100
}

// drives reports whether this node drives the unsettled epoch: its writer at once, others in turn if it stays
// unsettled, since the writer may be gone. Several drivers do no harm.
func (o *Owner) drives(now time.Duration) bool {
	if o.epoch.Writer == o.Self {
		return true
	}
	rank, ok := slices.BinarySearch(o.epoch.Roster, o.Self)
	return ok && now-o.learnedAt >= 2*o.permitTime()*time.Duration(1+min(rank, 4))
}

// propose writes the next epoch if the target differs and the store's revision of the current one is known.
func (o *Owner) propose(now time.Duration) Output {
	if !o.drive || len(o.target) == 0 || slices.Equal(o.target, o.epoch.Roster) || o.reads.writeID != 0 || o.modRevision == 0 {
		return Output{}
	}
	if o.behind || now-o.reads.succeededAt > o.permitTime() {
		return Output{}
	}
	next := o.epoch.next(o.target, o.Self, o.PermitTime)
	for _, name := range o.dead {
		if contains(next.Previous, name) && !contains(next.Roster, name) {
			next.Dead = append(next.Dead, name)
		}
	}
	if o.relax.ackBeforeWrite {
		revision := o.modRevision
		out := o.adopt(now, next)
		o.modRevision = revision
		return out
	}
	return o.write(now, next)
}

func (o *Owner) offer(now time.Duration) Output {
	t := &o.takeover
	if t.offers == nil {
		t.offers, t.held = map[uint64]time.Duration{}, map[string]holding{}
	}
	o.nextID++
	t.round, t.sentAt = o.nextID, now
	t.offers[t.round] = now
	for round, at := range t.offers {
		if now-at > offersKept*o.permitTime()/6 {
			delete(t.offers, round)
		}
	}
	var out Output
	for _, name := range union(o.epoch.Previous, o.epoch.Roster) {
		if name != o.Self {
			out.Send = append(out.Send, Send{To: name, Message: EpochOffer{Epoch: o.epoch, Round: t.round}})
		}
	}
	return out
}

func (o *Owner) receiveOffer(now time.Duration, from string, m EpochOffer) Output {
	out := o.adopt(now, m.Epoch)
	if o.epoch.Number >= m.Epoch.Number && o.epoch.Service == m.Epoch.Service && m.Round != 0 {
		ack := EpochAck{Number: o.epoch.Number, Round: m.Round, Incarnation: o.Incarnation}
		out.Send = append(out.Send, Send{To: from, Message: ack})
	}
	return out
}

func (o *Owner) receiveAck(now time.Duration, from string, m EpochAck) Output {
	sentAt, ok := o.takeover.offers[m.Round]
	if !ok || m.Number < o.epoch.Number || !contains(o.epoch.Previous, from) {
		return Output{}
	}
	h, ok := o.takeover.held[from]
	if !ok || h.incarnation < m.Incarnation {
		h = holding{incarnation: m.Incarnation, from: now, to: sentAt}
	}
	if h.incarnation == m.Incarnation {
		h.to = max(h.to, sentAt)
		o.takeover.held[from] = h
	}
	return Output{}
}

// acknowledgedAt returns the earliest time at which at least half of the previous roster held the epoch together.
//
// Acknowledgements that arrive one after another are not enough: a member may acknowledge, restart, hear the old
// epoch from a majority that has not acknowledged yet, and confirm permits of the old epoch again. So a member counts
// at a time only if it acknowledged before that time and, in the same incarnation, again to an offer sent after it.
func (o *Owner) acknowledgedAt(now time.Duration) (time.Duration, bool) {
	if o.relax.settleAnyCount {
		return o.learnedAt, true
	}
	best, found := time.Duration(0), false
	for _, at := range o.holdStarts() {
		if o.holders(at, now)*2 >= len(o.epoch.Previous) && (!found || at < best) {
			best, found = at, true
		}
	}
	return best, found
}

// holdStarts returns the times at which the number of holders rises.
func (o *Owner) holdStarts() []time.Duration {
	starts := []time.Duration{o.learnedAt}
	for _, h := range o.takeover.held {
		starts = append(starts, h.from)
	}
	return starts
}

// holders counts the members of the previous roster that held the epoch at the given time.
func (o *Owner) holders(at, now time.Duration) int {
	n := len(o.epoch.Dead)
	if contains(o.epoch.Previous, o.Self) && at <= now {
		n++
	}
	for name, h := range o.takeover.held {
		if contains(o.epoch.Dead, name) {
			continue
		}
		if h.from <= at && (at <= h.to || o.relax.ackOfAnyRestarted) {
			n++
		}
	}
	return n
}

// settle marks the epoch settled in the store.
func (o *Owner) settle(now time.Duration) Output {
	if o.reads.writeID != 0 && o.reads.writing.Number == o.epoch.Number {
		return Output{}
	}
	if o.modRevision == 0 {
		return Output{} // the next read tells the revision
	}
	if now-o.reads.succeededAt > o.permitTime() && !o.relax.ackBeforeWrite {
		return Output{} // the store does not answer
	}
	e := o.epoch
	e.Settled = true
	return o.write(now, e)
}

func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(a), b...))))
}
