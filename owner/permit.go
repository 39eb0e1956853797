package owner

import "time"

// permitRound is one round of permit queries to the roster. Replies to earlier rounds are ignored.
type permitRound struct {
	id          uint64
	epochNumber uint64
	sentAt      time.Duration
	confirmed   map[string]bool
}

// permitted reports whether the node holds a permit, is in the roster and has ended its recovery.
func (o *Owner) permitted(now time.Duration) bool {
	return !o.recovering && o.permitUntil > now && contains(o.epoch.Roster, o.Self)
}

// permitTime returns the validity of permits in the current epoch, or the node's own setting while it knows no epoch.
func (o *Owner) permitTime() time.Duration {
	if o.epoch.PermitTime > 0 {
		return o.epoch.PermitTime
	}
	return o.PermitTime
}

// extendPermit extends the permit to the permit time after start, unless it already ends later.
func (o *Owner) extendPermit(start time.Duration, kind PermitKind) {
	if end := start + o.permitTime(); end > o.permitUntil {
		o.permitUntil, o.permitKind = end, kind
	}
}

// tickPermit sends permit queries to the roster if the latest successful read of the store was sent at least half of
// the permit time ago, and repeats them every quarter of the permit time.
func (o *Owner) tickPermit(now time.Duration) Output {
	if o.mutation.recoverByWaiting && o.recovering && now-o.startedAt > o.PermitTime && o.epoch.Number > 0 {
		o.recovering = false
	}
	if o.requests.readSucceeded && now-o.requests.readSucceededAt < o.permitTime()/2 {
		return Output{}
	}
	if o.permitRound.id != 0 && now-o.permitRound.sentAt < o.permitTime()/4 {
		return Output{}
	}
	members := o.epoch.Roster
	if o.epoch.Number == 0 {
		members = o.targetRoster
	}
	o.nextID++
	o.permitRound = permitRound{id: o.nextID, epochNumber: o.epoch.Number, sentAt: now, confirmed: map[string]bool{}}
	var out Output
	for _, name := range members {
		if name != o.Self {
			out.Send = append(out.Send, Send{To: name, Message: PermitQuery{Number: o.epoch.Number, Round: o.permitRound.id}})
		}
	}
	o.countConfirmations() // in a roster of one, the node itself is the majority
	return out
}

// receiveQuery replies with the newest epoch that the node knows, so that the sender learns of a newer one.
func (o *Owner) receiveQuery(from string, m PermitQuery) Output {
	reply := PermitReply{Number: o.epoch.Number, Round: m.Round, Recovering: o.recovering}
	if o.epoch.Number > m.Number {
		e := o.epoch
		reply.Newer = &e
	}
	return Output{Send: []Send{{To: from, Message: reply}}}
}

// receiveReply adopts a newer epoch that the reply contains, offers the node's epoch to a sender that knows only an
// older one, and counts the reply as a confirmation if its sender is in the roster and not recovering.
func (o *Owner) receiveReply(now time.Duration, from string, m PermitReply) Output {
	var out Output
	if m.Newer != nil {
		out = o.adopt(now, *m.Newer)
	}
	if m.Round != o.permitRound.id || m.Number > o.permitRound.epochNumber || o.permitRound.epochNumber != o.epoch.Number {
		return out
	}
	if m.Number < o.epoch.Number {
		out.Send = append(out.Send, Send{To: from, Message: EpochOffer{Epoch: o.epoch}})
	}
	if m.Recovering || !contains(o.epoch.Roster, from) {
		return out
	}
	o.permitRound.confirmed[from] = true
	o.countConfirmations()
	return out
}

// countConfirmations extends the permit as PermitMajority if more than half of the roster confirmed that it knows no
// newer epoch. A recovering node does not count itself, since it may have forgotten a newer epoch.
func (o *Owner) countConfirmations() {
	confirmations, members := len(o.permitRound.confirmed), len(o.epoch.Roster)
	if !o.recovering && contains(o.epoch.Roster, o.Self) {
		confirmations++
	}
	enough := 2*confirmations > members
	if o.mutation.halfPermit {
		enough = 2*confirmations >= members
	}
	if members == 0 || !enough {
		return
	}
	o.recovering = false
	o.extendPermit(o.permitRound.sentAt, PermitMajority)
}
