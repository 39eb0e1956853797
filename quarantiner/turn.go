package quarantiner

import (
	"slices"
	"time"
)

const (
	// askInterval is how often a waiting or running node repeats its message to the coordinator.
	askInterval = 500 * time.Millisecond
	// settleTime is how long a new coordinator listens for a run under way before its first grant.
	settleTime = 2 * askInterval
	// holdTime is how long a turn lasts after the holder was last heard.
	holdTime = 4 * askInterval
)

// turn is the state of the isolated runs, of one service: what this node asked for, and, on the coordinator, who has
// the turn.
type turn struct {
	lastAsk time.Duration
	// holder has the turn until heard + holdTime; empty if the turn is free.
	holder string
	heard  time.Duration
	queue  []string
	// free is when a new coordinator may grant for the first time.
	free time.Duration
}

func newTurn(now time.Duration) turn { return turn{lastAsk: now - askInterval} }

func (q *Quarantiner) coordinator() string {
	if len(q.members) == 0 {
		return q.Config.Node
	}
	return q.members[0]
}

// follow drops members that are gone, and starts anew if this node becomes the coordinator.
func (t *turn) follow(now time.Duration, former string, q *Quarantiner) {
	gone := func(n string) bool { return !slices.Contains(q.members, n) }
	t.queue = slices.DeleteFunc(t.queue, gone)
	if t.holder != "" && gone(t.holder) {
		t.holder = ""
	}
	if c := q.coordinator(); c != former {
		*t = turn{lastAsk: now - askInterval, free: now + settleTime}
	}
}

// ask asks for the turn if a call waits and none runs alone here.
func (q *Quarantiner) ask(now time.Duration) Result {
	if len(q.waiting) == 0 || q.alone != nil {
		return Result{}
	}
	q.turn.lastAsk = now
	return q.sendTurn(now, TurnAsk)
}

func (q *Quarantiner) repeatTurn(now time.Duration) Result {
	if now-q.turn.lastAsk < askInterval {
		return Result{}
	}
	if q.alone == nil {
		return q.ask(now)
	}
	q.turn.lastAsk = now
	return q.sendTurn(now, TurnRunning)
}

func (q *Quarantiner) endTurn(now time.Duration) Result {
	res := q.sendTurn(now, TurnDone)
	res.join(q.ask(now))
	return res
}

// sendTurn sends a step to the coordinator, which may be this node.
func (q *Quarantiner) sendTurn(now time.Duration, s TurnStep) Result {
	if c := q.coordinator(); c != q.Config.Node {
		return Result{Send: []Outgoing{{To: c, Message: Turn{Step: s}}}}
	}
	return q.onTurn(now, q.Config.Node, s)
}

func (q *Quarantiner) onTurn(now time.Duration, from string, s TurnStep) Result {
	t := &q.turn
	switch s {
	case TurnAsk:
		if !slices.Contains(t.queue, from) && slices.Contains(q.members, from) {
			t.queue = append(t.queue, from)
		}
	case TurnRunning:
		if t.holder == "" || t.holder == from {
			t.holder, t.heard = from, now
		}
	case TurnDone:
		if t.holder == from {
			t.holder = ""
		}
	case TurnGrant:
		if from == q.coordinator() {
			return q.onGrant(now)
		}
	}
	return q.grant(now)
}

// grant gives a free turn to the node that has waited longest.
func (q *Quarantiner) grant(now time.Duration) Result {
	t := &q.turn
	if q.coordinator() != q.Config.Node || now < t.free || len(t.queue) == 0 {
		return Result{}
	}
	if t.holder != "" && now-t.heard < holdTime {
		return Result{}
	}
	t.holder, t.heard = t.queue[0], now
	t.queue = t.queue[1:]
	if t.holder != q.Config.Node {
		return Result{Send: []Outgoing{{To: t.holder, Message: Turn{Step: TurnGrant}}}}
	}
	return q.onGrant(now)
}

// onGrant starts the call that has waited longest, or returns the turn.
func (q *Quarantiner) onGrant(now time.Duration) Result {
	if q.alone != nil {
		return Result{}
	}
	if len(q.waiting) == 0 {
		return q.sendTurn(now, TurnDone)
	}
	r := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.alone = &r
	q.turn.lastAsk = now
	return Result{Alone: []uint64{r.ID}}
}
