package owner_test

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
)

const (
	callDeadline = 4 * time.Second
	queryAfter   = 1500 * time.Millisecond
	queryEvery   = 300 * time.Millisecond
)

// request is one key with all of its sends.
type request struct {
	key    string
	issued int64 // zero for a key without an issue time
	at     time.Duration
	sends  []*send
	runs   []run
	claims []claim
	ran    bool // the caller knows that it ran
}

// send is one attempt of the caller through one ingress node.
type send struct {
	req        *request
	number     int
	content    uint64
	receivedAt time.Duration // when the ingress node received it
	code       hornbeamcroft.Code
	answeredAt time.Duration
}

// run is one execution at an upstream.
type run struct {
	at      time.Duration
	node    string
	content uint64
}

// claim is one "not run". A strict claim is about the key; otherwise it is about a first send and holds if the caller
// has made no other send.
type claim struct {
	at      time.Duration
	send    *send
	code    hornbeamcroft.Code
	strict  bool
	node    string
	content uint64
}

// call is a send at the executing node.
type call struct {
	send       *send
	id         deduper.CallID
	ingress    *node
	receivedAt int64
	local      func(hornbeamcroft.Code) // set if the ingress node is the executing node
}

// newKey makes a key as a caller with the given clock would.
func (w *world) newKey(timed bool) (string, int64) {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], w.r.Uint64())
	if !timed {
		id[6], id[8] = 0x40, id[8]&0x3f|0x80
		return id.String(), 0
	}
	half := w.skew.Milliseconds() / 2
	issued := wallStart + w.now.Milliseconds() + w.r.Int64N(2*half+1) - half
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(issued))
	copy(id[:6], b[2:])
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	return id.String(), issued
}

// arrivals makes new keys at the load's interval.
func (w *world) arrivals() {
	if w.load == 0 {
		return
	}
	key, issued := w.newKey(!w.faults || w.window < w.length || w.chance(0.8))
	req := &request{key: key, issued: issued, at: w.now}
	w.requests = append(w.requests, req)
	w.attempt(req)
	w.after(w.between(w.load/2, w.load*3/2), w.arrivals)
}

// attemptVia sends the key once more through a node.
func (w *world) attemptVia(req *request, ingress *node) *send {
	s := &send{req: req, number: len(req.sends) + 1, content: 1, receivedAt: -1}
	if w.faults && w.chance(0.02) {
		s.content = 2
	}
	req.sends = append(req.sends, s)
	w.schedule(w.delay(), ingress, 0, func() { ingress.receive(s) })
	return s
}

// attempt sends the key once more through any node and plans the next attempt.
func (w *world) attempt(req *request) {
	ingress := w.nodes[w.r.IntN(len(w.nodes))]
	for !w.faults && !(ingress.alive && ingress.pausedUntil <= w.now) {
		ingress = w.nodes[w.r.IntN(len(w.nodes))] // without random faults, callers avoid nodes that are down
	}
	s := w.attemptVia(req, ingress)
	if s.number > w.resends {
		return
	}
	again := w.between(50*time.Millisecond, 6*time.Second)
	if w.chance(0.1) {
		again = w.between(0, 30*time.Second)
	}
	w.after(again, func() {
		if !req.ran || w.chance(0.3) {
			w.attempt(req)
		}
	})
}

// receive is the ingress node's part.
func (n *node) receive(s *send) {
	s.receivedAt = n.w.now
	receivedAt := n.wall()
	home, _ := n.owner.Home(s.req.key)
	if home == "" {
		n.tell(s, firstOnly(s, hornbeamcroft.CodeHomeUnreachable))
		return
	}
	if home == n.name {
		n.execute(&call{send: s, ingress: n, receivedAt: receivedAt, local: func(c hornbeamcroft.Code) { s.answer(n.w, c) }})
		return
	}
	n.nextID++
	to := n.w.byName[home]
	c := &call{send: s, ingress: n, receivedAt: receivedAt, id: deduper.CallID{Sender: n.name, Incarnation: n.incarnation, ID: n.nextID}}
	incarnation := to.incarnation
	n.w.send(n, to, func() {
		if to.incarnation == incarnation { // a link ends with the process at its other end
			to.execute(c)
		}
	})
	n.do(queryAfter, func() { n.query(c, to, incarnation, n.w.now+callDeadline) })
}

// firstOnly returns the code for a first send and "unknown" for a later one.
func firstOnly(s *send, code hornbeamcroft.Code) hornbeamcroft.Code {
	if s.number == 1 {
		return code
	}
	return hornbeamcroft.CodeEarlierSendUnknown
}

// tell claims an outcome that the node decides without the home.
func (n *node) tell(s *send, code hornbeamcroft.Code) {
	n.claim(s, code, false)
	s.answer(n.w, code)
}

// query asks for the outcome of a call whose answer is late.
func (n *node) query(c *call, to *node, incarnation uint64, until time.Duration) {
	if c.send.code != 0 {
		return
	}
	if n.w.now > until {
		c.send.answer(n.w, hornbeamcroft.CodeDeadlinePassed)
		return
	}
	n.w.send(n, to, func() {
		status, a := to.calls.Query(to.mono(), c.id, incarnation)
		n.w.send(to, n, func() {
			if c.send.code != 0 {
				return
			}
			switch status {
			case deduper.CallAnswered:
				c.send.answer(n.w, a.Code)
			case deduper.CallFenced:
				n.tell(c.send, firstOnly(c.send, hornbeamcroft.CodeConfirmedNotRun))
			case deduper.CallForgotten:
				c.send.answer(n.w, status.Code())
			}
		})
	})
	n.do(queryEvery, func() { n.query(c, to, incarnation, until) })
}

// answer is the outcome as the caller gets it; a later one is dropped.
func (s *send) answer(w *world, code hornbeamcroft.Code) {
	if s.code != 0 {
		return
	}
	s.code, s.answeredAt = code, w.now
	if code.Claim() == hornbeamcroft.ClaimRan {
		s.req.ran = true
	}
}

// execute is the part of the node that the ingress node takes for the home.
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
		Serve: v.Serve, Code: v.Code, Old: v.Old && n.w.rule != "no-horizon",
	}
	if n.w.rule == "no-tombstone" {
		a.ReceivedAt, a.FirstSend = wallStart*2, false
	}
	d := n.deduper.Arrive(n.mono(), wall, a)
	switch d.Action {
	case deduper.ActionAnswer:
		n.claim(c.send, d.Answer.Code, v.Serve)
		n.reply(c, d.Answer.Code)
	case deduper.ActionJoin:
		n.waiting[key] = append(n.waiting[key], c)
	case deduper.ActionRun:
		n.waiting[key] = append(n.waiting[key], c)
		wait := n.w.between(0, 20*time.Millisecond)
		if n.w.faults && n.w.chance(0.1) {
			wait = n.w.between(0, 4*time.Second)
		}
		n.do(wait, func() { n.dispatch(c) })
	}
}

// dispatch ends the wait for admission.
func (n *node) dispatch(c *call) {
	key := c.send.req.key
	if n.w.faults && n.w.chance(0.1) {
		n.finish(key, hornbeamcroft.CodeOverloaded)
		return
	}
	if _, ok := n.owner.Check(n.mono(), key); !ok {
		n.finish(key, hornbeamcroft.CodeNoPermit)
		return
	}
	if n.w.faults && n.w.chance(0.02) {
		n.pause(n.w.between(0, 12*time.Second))
	}
	n.do(0, func() {
		n.w.ran(n, c.send)
		code := hornbeamcroft.CodeAnswered
		if n.w.faults && n.w.chance(0.05) {
			code = hornbeamcroft.CodeUpstreamCrashed
		}
		n.do(n.w.between(5*time.Millisecond, 200*time.Millisecond), func() { n.finish(key, code) })
	})
}

func (n *node) pause(d time.Duration) {
	n.w.logf("%s: paused for %s", n.name, d)
	n.pausedUntil = max(n.pausedUntil, n.w.now+d)
}

// finish passes the outcome of a key to all calls that wait for it.
func (n *node) finish(key string, code hornbeamcroft.Code) {
	_, serve := n.owner.Check(n.mono(), key)
	a := n.deduper.Finish(n.mono(), n.wall(), key, hornbeamcroft.Answer{Code: code}, serve)
	for _, c := range n.waiting[key] {
		n.claim(c.send, a.Code, serve)
		n.reply(c, a.Code)
	}
	delete(n.waiting, key)
	home, epoch := n.owner.Home(key)
	if m, ok := n.deduper.ExportLate(key, n.marker(epoch)); ok && home != n.name {
		n.sendHandover(n.w.byName[home], m)
	}
}

func (n *node) reply(c *call, code hornbeamcroft.Code) {
	if c.local != nil {
		c.local(code)
		return
	}
	n.calls.Finish(n.mono(), c.id, hornbeamcroft.Answer{Code: code})
	in := c.ingress
	inc := c.id.Incarnation
	n.w.send(n, in, func() {
		if in.incarnation == inc {
			c.send.answer(n.w, code)
		}
	})
}
