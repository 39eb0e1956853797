package owner

import (
	"slices"
	"time"
)

// takeover collects the acknowledgements of the current epoch from the members of the previous roster.
type takeover struct {
	lastRound   uint64
	lastSentAt  time.Duration
	offerSentAt map[uint64]time.Duration // when the offers of each round were sent
	holdings    map[string]holding
	written     bool
}

// holding is the interval, on this node's monotonic clock, during which a member is known to have held the epoch
// without a restart in between.
type holding struct {
	incarnation uint64
	from        time.Duration // when the first acknowledgement of the incarnation arrived
	to          time.Duration // when the newest offer that it acknowledged was sent
}

// maxOfferRounds is the number of rounds of offers, at one for each sixth of the permit time, after which a round is
// forgotten and its acknowledgements are ignored.
const maxOfferRounds = 64

// tickTakeover drives the change to a new epoch. It writes the epoch to the store, offers it to the members every sixth
// of the permit time, counts the acknowledgements, waits for the permits of the epoch before to end, and then marks the
// epoch as settled in the store.
func (o *Owner) tickTakeover(now time.Duration) Output {
	switch {
	case o.epoch.Number == 0:
		return Output{}
	case o.epoch.Settled:
		return o.proposeEpoch(now)
	case !o.drivesTakeover(now):
		return Output{}
	}
	var out Output
	if o.takeover.lastRound == 0 || now-o.takeover.lastSentAt >= o.permitTime()/6 {
		out.add(o.sendOffers(now))
	}
	if heldAt, ok := o.quorumHeldAt(now); ok && now >= heldAt+o.settleDelay() {
		out.add(o.requestSettle(now))
	}
	return out
}

// settleDelay returns the time to wait after the acknowledgements until every permit of the epoch before has ended: its
// permit time, at least minPermitTime, measured on the slowest allowed clock.
func (o *Owner) settleDelay() time.Duration {
	if o.mutation.noWait {
		return 0
	}
	return max(o.epoch.PreviousPermitTime, minPermitTime) * (100 + DriftPercent) / 100
}

// drivesTakeover reports whether this node drives the takeover of the unsettled epoch. Its writer does so at once. The
// members of the roster follow in turn if the epoch stays unsettled, since the writer may have stopped: the first after
// twice the permit time, each further one after twice the permit time more, and all from the fifth on after ten times
// the permit time. It does no harm if several members drive a takeover.
func (o *Owner) drivesTakeover(now time.Duration) bool {
	if o.epoch.Writer == o.Self {
		return true
	}
	rank, ok := slices.BinarySearch(o.epoch.Roster, o.Self)
	return ok && now-o.learnedAt >= 2*o.permitTime()*time.Duration(1+min(rank, 4))
}

// proposeEpoch writes the next epoch if the target roster differs from the current one, the store answers and the
// store's revision of the current epoch is known.
func (o *Owner) proposeEpoch(now time.Duration) Output {
	if !o.mayPropose || len(o.targetRoster) == 0 || slices.Equal(o.targetRoster, o.epoch.Roster) ||
		o.requests.writeID != 0 || o.modRevision == 0 {
		return Output{}
	}
	if o.storeBehind || now-o.requests.readSucceededAt > o.permitTime() {
		return Output{}
	}
	next := o.epoch.next(o.targetRoster, o.Self, o.PermitTime)
	for _, name := range o.stoppedMembers {
		if contains(next.Previous, name) && !contains(next.Roster, name) {
			next.Stopped = append(next.Stopped, name)
		}
	}
	if o.mutation.ackBeforeWrite {
		revision := o.modRevision
		out := o.adopt(now, next)
		o.modRevision = revision
		return out
	}
	return o.requestWrite(now, next)
}

// sendOffers sends the epoch to all members of the previous and the current roster.
func (o *Owner) sendOffers(now time.Duration) Output {
	t := &o.takeover
	if t.offerSentAt == nil {
		t.offerSentAt, t.holdings = map[uint64]time.Duration{}, map[string]holding{}
	}
	o.nextID++
	t.lastRound, t.lastSentAt = o.nextID, now
	t.offerSentAt[t.lastRound] = now
	for round, at := range t.offerSentAt {
		if now-at > maxOfferRounds*o.permitTime()/6 {
			delete(t.offerSentAt, round)
		}
	}
	var out Output
	for _, name := range union(o.epoch.Previous, o.epoch.Roster) {
		if name != o.Self {
			out.Send = append(out.Send, Send{To: name, Message: EpochOffer{Epoch: o.epoch, Round: t.lastRound}})
		}
	}
	return out
}

// receiveOffer adopts the offered epoch if it is newer. It acknowledges the offer if the node then knows the offered
// epoch or a newer one, and the offer asks for an acknowledgement.
func (o *Owner) receiveOffer(now time.Duration, from string, m EpochOffer) Output {
	out := o.adopt(now, m.Epoch)
	if o.epoch.Number >= m.Epoch.Number && o.epoch.Service == m.Epoch.Service && m.Round != 0 {
		ack := EpochAck{Number: o.epoch.Number, Round: m.Round, Incarnation: o.Incarnation}
		out.Send = append(out.Send, Send{To: from, Message: ack})
	}
	return out
}

// receiveAck extends the holding of a member of the previous roster. It ignores acknowledgements of an older epoch, of
// a forgotten round or by an earlier incarnation than the newest known.
func (o *Owner) receiveAck(now time.Duration, from string, m EpochAck) Output {
	sentAt, ok := o.takeover.offerSentAt[m.Round]
	if !ok || m.Number < o.epoch.Number || !contains(o.epoch.Previous, from) {
		return Output{}
	}
	h, ok := o.takeover.holdings[from]
	if !ok || h.incarnation < m.Incarnation {
		h = holding{incarnation: m.Incarnation, from: now, to: sentAt}
	}
	if h.incarnation == m.Incarnation {
		h.to = max(h.to, sentAt)
		o.takeover.holdings[from] = h
	}
	return Output{}
}

// quorumHeldAt returns the earliest time at which at least half of the previous roster held the epoch at once. From
// then on, no more than half of the previous roster can confirm a permit of the epoch before.
//
// It is not enough to count acknowledgements that arrive one after another: a member may acknowledge, restart, learn
// the old epoch from a majority that has not acknowledged yet, and confirm permits of the old epoch again. So a member
// counts at a time only if it acknowledged up to that time and, in the same incarnation, also acknowledged an offer
// sent at or after that time.
func (o *Owner) quorumHeldAt(now time.Duration) (time.Duration, bool) {
	if o.mutation.settleWithoutAcks {
		return o.learnedAt, true
	}
	earliest, found := time.Duration(0), false
	for _, start := range o.holdingStarts() {
		if o.countHolders(start, now)*2 >= len(o.epoch.Previous) && (!found || start < earliest) {
			earliest, found = start, true
		}
	}
	return earliest, found
}

// holdingStarts returns the times at which a member, or this node, began to hold the epoch. Only then can the number of
// holders rise.
func (o *Owner) holdingStarts() []time.Duration {
	starts := []time.Duration{o.learnedAt}
	for _, h := range o.takeover.holdings {
		starts = append(starts, h.from)
	}
	return starts
}

// countHolders returns the number of members of the previous roster that held the epoch at the time at. Members
// declared stopped count too.
func (o *Owner) countHolders(at, now time.Duration) int {
	n := len(o.epoch.Stopped)
	if contains(o.epoch.Previous, o.Self) && at <= now {
		n++
	}
	for name, h := range o.takeover.holdings {
		if contains(o.epoch.Stopped, name) {
			continue
		}
		if h.from <= at && (at <= h.to || o.mutation.ackOfAnyRestart) {
			n++
		}
	}
	return n
}

// requestSettle asks for the write that marks the epoch as settled in the store.
func (o *Owner) requestSettle(now time.Duration) Output {
	if o.requests.writeID != 0 && o.requests.writeEpoch.Number == o.epoch.Number {
		return Output{}
	}
	if o.modRevision == 0 {
		return Output{} // the next read of the store returns the revision
	}
	if now-o.requests.readSucceededAt > o.permitTime() && !o.mutation.ackBeforeWrite {
		return Output{} // the store has not answered for the permit time
	}
	e := o.epoch
	e.Settled = true
	return o.requestWrite(now, e)
}

// union returns the sorted names that are in a or b, without duplicates.
func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(a), b...))))
}
