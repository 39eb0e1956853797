package owner_test

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
)

const (
	// callDeadline is the time in which the executing node answers a call, and in which the ingress node repeats
	// outcome queries.
	callDeadline = 4 * time.Second
	// queryAfter is the time without an answer after which the ingress node sends the first outcome query.
	queryAfter = 1500 * time.Millisecond
	// queryEvery is the time between two outcome queries.
	queryEvery = 300 * time.Millisecond
)

// request is one key with all of its sends, runs and "not run" claims.
type request struct {
	key      string
	issued   int64         // in Unix milliseconds; zero for a key without an issue time
	at       time.Duration // when the caller made the key
	sends    []*send
	runs     []run
	claims   []claim
	knownRan bool // an answer told the caller that it ran
}

// send is one attempt of the caller to run a key, through one ingress node.
type send struct {
	req        *request
	number     int                // from 1
	content    uint64             // stands for the content of the request; 2 if a caller reuses the key with other content
	receivedAt time.Duration      // when the ingress node received it
	code       hornbeamcroft.Code // zero until the caller got the answer
	answeredAt time.Duration
}

// run is one execution at an upstream.
type run struct {
	at      time.Duration
	node    string
	content uint64
}

// claim is one answer "not run". A strict claim, by a home with a permit, states that no send received before it runs.
// Any other claim is about its first send alone, and holds if the caller has made no other send.
type claim struct {
	at      time.Duration
	send    *send
	code    hornbeamcroft.Code
	strict  bool
	node    string
	content uint64
}

// call is a send as the ingress node passes it to the executing node.
type call struct {
	send       *send
	id         deduper.CallID
	ingress    *node
	receivedAt int64                    // wall clock of the ingress node when it received the send, in Unix milliseconds
	local      func(hornbeamcroft.Code) // takes the answer if the ingress node is the executing node
}

// newKey returns a new key and its issue time in Unix milliseconds. A timed key is a version 7 UUID, with the time of a
// caller's wall clock that is off by at most half of the clock skew. Any other key is a version 4 UUID without a time.
func (sim *simulation) newKey(timed bool) (string, int64) {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], sim.rand.Uint64())
	if !timed {
		id[6], id[8] = 0x40, id[8]&0x3f|0x80
		return id.String(), 0
	}
	half := sim.clockSkew.Milliseconds() / 2
	issued := wallStart + sim.now.Milliseconds() + sim.rand.Int64N(2*half+1) - half
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(issued))
	copy(id[:6], b[2:])
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	return id.String(), issued
}

// generateRequests makes a key, sends it and schedules the next call of itself.
func (sim *simulation) generateRequests() {
	if sim.requestInterval == 0 {
		return
	}
	key, issued := sim.newKey(!sim.randomFaults || sim.keyWindow < sim.duration || sim.chance(0.8))
	req := &request{key: key, issued: issued, at: sim.now}
	sim.requests = append(sim.requests, req)
	sim.sendThroughAny(req)
	sim.after(sim.randomDuration(sim.requestInterval/2, sim.requestInterval*3/2), sim.generateRequests)
}

// sendThrough sends the key once more through the given ingress node.
func (sim *simulation) sendThrough(req *request, ingress *node) *send {
	s := &send{req: req, number: len(req.sends) + 1, content: 1, receivedAt: -1}
	if sim.randomFaults && sim.chance(0.02) {
		s.content = 2
	}
	req.sends = append(req.sends, s)
	sim.schedule(sim.linkDelay(), ingress, 0, func() { ingress.receive(s) })
	return s
}

// sendThroughAny sends the key once more through a random node and schedules the next send of the key.
func (sim *simulation) sendThroughAny(req *request) {
	ingress := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	for !sim.randomFaults && !(ingress.alive && ingress.pausedUntil <= sim.now) {
		ingress = sim.nodes[sim.rand.IntN(len(sim.nodes))] // without random faults, callers avoid nodes that are down
	}
	s := sim.sendThrough(req, ingress)
	if s.number > sim.maxResends {
		return
	}
	pause := sim.randomDuration(50*time.Millisecond, 6*time.Second)
	if sim.chance(0.1) {
		pause = sim.randomDuration(0, 30*time.Second)
	}
	sim.after(pause, func() {
		if !req.knownRan || sim.chance(0.3) {
			sim.sendThroughAny(req)
		}
	})
}

// receive handles a send at the ingress node: it calls the home of the key, or executes the call if the home is this
// node.
func (n *node) receive(s *send) {
	s.receivedAt = n.sim.now
	receivedAt := n.wall()
	home, _ := n.owner.Home(s.req.key)
	if home == "" {
		n.answerWithoutHome(s, codeForFirstSend(s, hornbeamcroft.CodeHomeUnreachable))
		return
	}
	if home == n.name {
		n.execute(&call{
			send: s, ingress: n, receivedAt: receivedAt,
			local: func(c hornbeamcroft.Code) { s.answer(n.sim, c) },
		})
		return
	}
	n.nextCallID++
	to := n.sim.nodesByName[home]
	c := &call{
		send: s, ingress: n, receivedAt: receivedAt,
		id: deduper.CallID{Sender: n.name, Incarnation: n.incarnation, ID: n.nextCallID},
	}
	incarnation := to.incarnation
	n.sim.deliver(n, to, func() {
		if to.incarnation == incarnation { // a restart of the receiver ends the link, and the call with it
			to.execute(c)
		}
	})
	n.after(queryAfter, func() { n.query(c, to, incarnation, n.sim.now+callDeadline) })
}

// codeForFirstSend returns the given code for the first send of a key, and CodeEarlierSendUnknown for a later one,
// since an earlier send may have run.
func codeForFirstSend(s *send, code hornbeamcroft.Code) hornbeamcroft.Code {
	if s.number == 1 {
		return code
	}
	return hornbeamcroft.CodeEarlierSendUnknown
}

// answerWithoutHome answers a send with a code that did not come from the home of the key.
func (n *node) answerWithoutHome(s *send, code hornbeamcroft.Code) {
	n.recordClaim(s, code, false)
	s.answer(n.sim, code)
}

// query asks the executing node for the outcome of a call without an answer, and repeats this until the time until.
func (n *node) query(c *call, to *node, incarnation uint64, until time.Duration) {
	if c.send.code != 0 {
		return
	}
	if n.sim.now > until {
		c.send.answer(n.sim, hornbeamcroft.CodeDeadlinePassed)
		return
	}
	n.sim.deliver(n, to, func() {
		status, a := to.calls.Query(to.mono(), c.id, incarnation)
		n.sim.deliver(to, n, func() {
			if c.send.code != 0 {
				return
			}
			switch status {
			case deduper.CallAnswered:
				c.send.answer(n.sim, a.Code)
			case deduper.CallFenced:
				n.answerWithoutHome(c.send, codeForFirstSend(c.send, hornbeamcroft.CodeConfirmedNotRun))
			case deduper.CallOutcomeUnknown:
				c.send.answer(n.sim, status.Code())
			}
		})
	})
	n.after(queryEvery, func() { n.query(c, to, incarnation, until) })
}

// answer records the answer that the caller gets. Later answers to the same send are ignored.
func (s *send) answer(sim *simulation, code hornbeamcroft.Code) {
	if s.code != 0 {
		return
	}
	s.code, s.answeredAt = code, sim.now
	if code.Claim() == hornbeamcroft.ClaimRan {
		s.req.knownRan = true
	}
}

// execute handles a call at the node that the ingress node takes for the home of the key.
func (n *node) execute(c *call) {
	if c.local == nil {
		status, a := n.calls.Begin(n.mono(), c.id, n.mono()+callDeadline)
		switch status {
		case deduper.CallNew:
		case deduper.CallAnswered:
			n.reply(c, a.Code)
			return
		case deduper.CallRunning:
			return
		default:
			n.reply(c, status.Code())
			return
		}
	}
	key, wall := c.send.req.key, n.wall()
	v := n.owner.Decide(n.mono(), wall, key, deduper.IssueTime(key))
	a := deduper.Arrival{
		Key: key, Fingerprint: c.send.content, ReceivedAt: c.receivedAt, FirstSend: c.send.number == 1,
		Serve: v.Serve, Code: v.Code, BeforeTakeover: v.BeforeTakeover && n.sim.rule != "no-horizon",
	}
	if n.sim.rule == "no-tombstone" {
		a.ReceivedAt, a.FirstSend = wallStart*2, false
	}
	d := n.deduper.Arrive(n.mono(), wall, a)
	switch d.Action {
	case deduper.ActionAnswer:
		n.recordClaim(c.send, d.Answer.Code, v.Serve)
		n.reply(c, d.Answer.Code)
	case deduper.ActionJoin:
		n.waitingCalls[key] = append(n.waitingCalls[key], c)
	case deduper.ActionRun:
		n.waitingCalls[key] = append(n.waitingCalls[key], c)
		wait := n.sim.randomDuration(0, 20*time.Millisecond)
		if n.sim.randomFaults && n.sim.chance(0.1) {
			wait = n.sim.randomDuration(0, 4*time.Second)
		}
		n.after(wait, func() { n.dispatch(c) })
	}
}

// dispatch runs a call after its admission, if the node is still its home and holds a permit. With random faults,
// admission may refuse the call, or a pause may fall between the check and the run.
func (n *node) dispatch(c *call) {
	key := c.send.req.key
	if n.sim.randomFaults && n.sim.chance(0.1) {
		n.finishKey(key, hornbeamcroft.CodeOverloaded)
		return
	}
	if _, ok := n.owner.MayDispatch(n.mono(), key); !ok {
		n.finishKey(key, hornbeamcroft.CodeNoPermit)
		return
	}
	if n.sim.randomFaults && n.sim.chance(0.02) {
		n.pause(n.sim.randomDuration(0, 12*time.Second))
	}
	n.after(0, func() {
		n.sim.recordRun(n, c.send)
		code := hornbeamcroft.CodeAnswered
		if n.sim.randomFaults && n.sim.chance(0.05) {
			code = hornbeamcroft.CodeUpstreamCrashed
		}
		n.after(n.sim.randomDuration(5*time.Millisecond, 200*time.Millisecond), func() { n.finishKey(key, code) })
	})
}

// pause stops the process for the duration d, as the scheduler of the host may.
func (n *node) pause(d time.Duration) {
	n.sim.logf("%s: paused for %s", n.name, d)
	n.pausedUntil = max(n.pausedUntil, n.sim.now+d)
}

// finishKey passes the outcome of a key to all calls that wait for it. If the key has moved, it also sends the record
// to the new home.
func (n *node) finishKey(key string, code hornbeamcroft.Code) {
	_, serve := n.owner.MayDispatch(n.mono(), key)
	a := n.deduper.Finish(n.mono(), n.wall(), key, hornbeamcroft.Answer{Code: code}, serve)
	for _, c := range n.waitingCalls[key] {
		n.recordClaim(c.send, a.Code, serve)
		n.reply(c, a.Code)
	}
	delete(n.waitingCalls, key)
	home, epoch := n.owner.Home(key)
	if m, ok := n.deduper.ExportLateOutcome(key, n.handoverMarker(epoch)); ok && home != n.name {
		n.sendHandover(n.sim.nodesByName[home], m)
	}
}

// reply sends the answer of a call to its ingress node; a restart of that node ends the link.
func (n *node) reply(c *call, code hornbeamcroft.Code) {
	if c.local != nil {
		c.local(code)
		return
	}
	n.calls.Finish(n.mono(), c.id, hornbeamcroft.Answer{Code: code})
	in := c.ingress
	inc := c.id.Incarnation
	n.sim.deliver(n, in, func() {
		if in.incarnation == inc {
			c.send.answer(n.sim, code)
		}
	})
}
