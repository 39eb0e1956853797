package quarantiner

import (
	"slices"
	"time"
)

const (
	// repeatInterval is the interval at which a node with waiting calls or an isolated run repeats its message to the
	// coordinator.
	repeatInterval = 500 * time.Millisecond
	// listenTime is the time for which a new coordinator waits for messages about a run in progress before it grants
	// its first turn.
	listenTime = 2 * repeatInterval
	// holdTimeout is the time after the last message of the holder at which the turn is free again.
	holdTimeout = 4 * repeatInterval
)

// turnState is the state of the isolation turn, the right of one node of the service to run one call isolated. It holds
// what this node has requested and, on the coordinator, which node has the turn.
type turnState struct {
	// lastSent is the time of the last request or report of this node to the coordinator.
	lastSent time.Duration
	// holder is the node that has the turn until lastHeard + holdTimeout; empty if the turn is free.
	holder    string
	lastHeard time.Duration
	// queue holds the nodes that requested the turn, the earliest first.
	queue []string
	// firstGrant is the time from which a new coordinator may grant the turn.
	firstGrant time.Duration
}

// newTurnState returns a state in which a request may be sent at once.
func newTurnState(now time.Duration) turnState { return turnState{lastSent: now - repeatInterval} }

// coordinator returns the node that grants the turn.
func (q *Quarantiner) coordinator() string {
	if len(q.members) == 0 {
		return q.Config.Node
	}
	return q.members[0]
}

// updateMembers removes nodes that have left, and resets the state if the coordinator has changed.
func (t *turnState) updateMembers(now time.Duration, formerCoordinator string, q *Quarantiner) {
	gone := func(n string) bool { return !slices.Contains(q.members, n) }
	t.queue = slices.DeleteFunc(t.queue, gone)
	if t.holder != "" && gone(t.holder) {
		t.holder = ""
	}
	if c := q.coordinator(); c != formerCoordinator {
		*t = turnState{lastSent: now - repeatInterval, firstGrant: now + listenTime}
	}
}

// requestTurn requests the turn if a call waits and no isolated run is in progress here.
func (q *Quarantiner) requestTurn(now time.Duration) Result {
	if len(q.waiting) == 0 || q.isolated != nil {
		return Result{}
	}
	q.turn.lastSent = now
	return q.sendTurn(now, IsolationTurnRequest)
}

// repeatTurnMessage requests the turn again, or reports that the isolated run is still in progress, if repeatInterval
// has passed.
func (q *Quarantiner) repeatTurnMessage(now time.Duration) Result {
	if now-q.turn.lastSent < repeatInterval {
		return Result{}
	}
	if q.isolated == nil {
		return q.requestTurn(now)
	}
	q.turn.lastSent = now
	return q.sendTurn(now, IsolationTurnRunning)
}

// endTurn returns the turn and requests it again if more calls wait.
func (q *Quarantiner) endTurn(now time.Duration) Result {
	res := q.sendTurn(now, IsolationTurnReturn)
	res.merge(q.requestTurn(now))
	return res
}

// sendTurn sends a step to the coordinator, or handles it if this node is the coordinator.
func (q *Quarantiner) sendTurn(now time.Duration, s IsolationTurnStep) Result {
	if c := q.coordinator(); c != q.Config.Node {
		return Result{Send: []Outgoing{{To: c, Message: IsolationTurn{Step: s}}}}
	}
	return q.handleTurn(now, q.Config.Node, s)
}

// handleTurn handles a step of the given node.
func (q *Quarantiner) handleTurn(now time.Duration, from string, s IsolationTurnStep) Result {
	t := &q.turn
	switch s {
	case IsolationTurnRequest:
		if !slices.Contains(t.queue, from) && slices.Contains(q.members, from) {
			t.queue = append(t.queue, from)
		}
	case IsolationTurnRunning:
		if t.holder == "" || t.holder == from {
			t.holder, t.lastHeard = from, now
		}
	case IsolationTurnReturn:
		if t.holder == from {
			t.holder = ""
		}
	case IsolationTurnGrant:
		if from == q.coordinator() {
			return q.startIsolatedRun(now)
		}
	}
	return q.grant(now)
}

// grant gives a free turn to the node that has waited longest. It does nothing if this node is not the coordinator.
func (q *Quarantiner) grant(now time.Duration) Result {
	t := &q.turn
	if q.coordinator() != q.Config.Node || now < t.firstGrant || len(t.queue) == 0 {
		return Result{}
	}
	if t.holder != "" && now-t.lastHeard < holdTimeout {
		return Result{}
	}
	t.holder, t.lastHeard = t.queue[0], now
	t.queue = t.queue[1:]
	if t.holder != q.Config.Node {
		return Result{Send: []Outgoing{{To: t.holder, Message: IsolationTurn{Step: IsolationTurnGrant}}}}
	}
	return q.startIsolatedRun(now)
}

// startIsolatedRun gives the turn to the call that has waited longest, or returns the turn if no call waits.
func (q *Quarantiner) startIsolatedRun(now time.Duration) Result {
	if q.isolated != nil {
		return Result{}
	}
	if len(q.waiting) == 0 {
		return q.sendTurn(now, IsolationTurnReturn)
	}
	r := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.isolated = &r
	q.turn.lastSent = now
	return Result{Isolated: []uint64{r.ID}}
}
