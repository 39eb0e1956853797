package owner

import "time"

// permitRound is one round of permit queries. A new round replaces the one before.
type permitRound struct {
	id     uint64
	number uint64
	sentAt time.Duration
	heard  map[string]bool
}

// permitted reports whether the node may run non-idempotent work now.
func (o *Owner) permitted(now time.Duration) bool {
	return !o.recovering && o.permitUntil > now && contains(o.epoch.Roster, o.Self)
}

// permitTime is the validity of permits in the current epoch.
func (o *Owner) permitTime() time.Duration {
	if o.epoch.PermitTime > 0 {
		return o.epoch.PermitTime
	}
	return o.PermitTime
}

// grant extends the permit; since is the time from which T counts.
func (o *Owner) grant(since time.Duration, kind PermitKind) {
	if until := since + o.permitTime(); until > o.permitUntil {
		o.permitUntil, o.permitKind = until, kind
	}
}

// tickPermit starts a round of queries when the store has not answered for a while.
func (o *Owner) tickPermit(now time.Duration) Output {
	if o.relax.recoverByWaiting && o.recovering && now-o.startedAt > o.PermitTime && o.epoch.Number > 0 {
		o.recovering = false
	}
	if o.reads.succeeded && now-o.reads.succeededAt < o.permitTime()/2 {
		return Output{}
	}
	if o.round.id != 0 && now-o.round.sentAt < o.permitTime()/4 {
		return Output{}
	}
	names := o.epoch.Roster
	if o.epoch.Number == 0 {
		names = o.target
	}
	o.nextID++
	o.round = permitRound{id: o.nextID, number: o.epoch.Number, sentAt: now, heard: map[string]bool{}}
	var out Output
	for _, name := range names {
		if name != o.Self {
			out.Send = append(out.Send, Send{To: name, Message: PermitQuery{Number: o.epoch.Number, Round: o.round.id}})
		}
	}
	o.countRound() // a roster of one is its own majority
	return out
}

func (o *Owner) receiveQuery(from string, m PermitQuery) Output {
	reply := PermitReply{Number: o.epoch.Number, Round: m.Round, Recovering: o.recovering}
	if o.epoch.Number > m.Number {
		e := o.epoch
		reply.Newer = &e
	}
	return Output{Send: []Send{{To: from, Message: reply}}}
}

func (o *Owner) receiveReply(now time.Duration, from string, m PermitReply) Output {
	var out Output
	if m.Newer != nil {
		out = o.adopt(now, *m.Newer)
	}
	if m.Round != o.round.id || m.Number > o.round.number || o.round.number != o.epoch.Number {
		return out
	}
	if m.Number < o.epoch.Number {
		out.Send = append(out.Send, Send{To: from, Message: EpochOffer{Epoch: o.epoch}})
	}
	if m.Recovering || !contains(o.epoch.Roster, from) {
		return out
	}
	o.round.heard[from] = true
	o.countRound()
	return out
}

// countRound grants a permit of kind (b) if more than half of the roster confirmed that it knows no newer epoch. A
// recovering node does not count itself.
func (o *Owner) countRound() {
	n, all := len(o.round.heard), len(o.epoch.Roster)
	if !o.recovering && contains(o.epoch.Roster, o.Self) {
		n++
	}
	enough := 2*n > all
	if o.relax.halfPermit {
		enough = 2*n >= all
	}
	if all == 0 || !enough {
		return
	}
	o.recovering = false
	o.grant(o.round.sentAt, PermitMajority)
}
