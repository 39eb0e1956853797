package owner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/owner"
)

const (
	service    = "cash-office"
	permitTime = 3 * time.Second
	// wallStart is the wall clock at virtual time zero, in Unix milliseconds.
	wallStart = 1_700_000_000_000
	storeID   = -1
)

// options describe one run of the explorer.
type options struct {
	seed    uint64
	roster  int
	spares  int // nodes that may join
	length  time.Duration
	window  time.Duration
	skew    time.Duration // greatest difference between wall clocks
	rule    string        // the rule that is switched off; empty for none
	faults  bool          // random faults; without, the test injects its own
	focused bool          // one takeover with the faults around it, in place of random faults
	calm    time.Duration // longest time between two random faults
	change  time.Duration // longest time between two changes of the members that nodes believe in
	load    time.Duration
	resends int
	// maxRate is the rate of the fastest monotonic clock; the slowest has 1.
	maxRate float64
}

// event is one step of the world. Events of a paused node wait until it resumes.
type event struct {
	at   time.Duration
	seq  uint64
	node *node
	inc  uint64 // incarnation of the node that scheduled the step; zero if the step survives a restart
	fn   func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is the virtual system: nodes with their cores, links, the store and callers.
type world struct {
	options
	r      *rand.Rand
	now    time.Duration
	seq    uint64
	events eventQueue
	nodes  []*node
	byName map[string]*node
	store  store
	cuts   map[[2]int]time.Duration // cut links between node ids, and until when

	requests []*request
	steps    int
	runs     int
	claims   int
	states   map[uint64]struct{}
	failures []string
	log      []string
}

// store is the platform's store as far as the epoch's key goes.
type store struct {
	entry      hornbeamcroft.Entry
	revision   int64
	downUntil  time.Duration
	slowUntil  time.Duration
	losesUntil time.Duration // answers are lost until then, writes take effect
}

func newWorld(opt options) *world {
	w := &world{
		options: opt, r: rand.New(rand.NewPCG(opt.seed, 1)), byName: map[string]*node{},
		cuts: map[[2]int]time.Duration{}, states: map[uint64]struct{}{},
	}
	for i := range opt.roster + opt.spares {
		n := &node{w: w, id: i, name: fmt.Sprintf("n%d", i), member: i < opt.roster}
		n.rate = 1 + (opt.maxRate-1)*w.r.Float64()
		n.wallOffset = w.r.Int64N(w.skew.Milliseconds()+1) - w.skew.Milliseconds()/2
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	w.bootstrap()
	for _, n := range w.nodes {
		if n.member {
			n.boot()
		}
	}
	return w
}

// bootstrap writes the first epoch, so that a run does not spend its time on it.
func (w *world) bootstrap() {
	e := owner.Epoch{Service: service, Number: 1, Settled: true, PermitTime: permitTime}
	for _, n := range w.nodes {
		if n.member {
			e.Roster = append(e.Roster, n.name)
		}
	}
	w.store.revision = 1
	w.store.entry = hornbeamcroft.Entry{Key: hornbeamcroft.KeyEpochPrefix + service, Value: e.Encode(), ModRevision: 1}
}

func (w *world) chance(p float64) bool { return w.r.Float64() < p }

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.r.Int64N(int64(hi-lo)+1))
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// after schedules a step that belongs to no node.
func (w *world) after(d time.Duration, fn func()) { w.schedule(d, nil, 0, fn) }

func (w *world) schedule(d time.Duration, n *node, inc uint64, fn func()) {
	w.seq++
	heap.Push(&w.events, &event{at: w.now + d, seq: w.seq, node: n, inc: inc, fn: fn})
}

// run plays the world until its length.
func (w *world) run() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(*event)
		if e.at > w.length {
			return
		}
		w.now = e.at
		if e.node != nil {
			if !e.node.alive || e.inc != 0 && e.inc != e.node.incarnation {
				continue
			}
			if e.node.pausedUntil > w.now {
				e.at = e.node.pausedUntil
				heap.Push(&w.events, e)
				continue
			}
		}
		w.steps++
		e.fn()
		if len(w.failures) > 0 {
			return
		}
	}
}

func (w *world) cut(a, b int) bool {
	return w.cuts[[2]int{min(a, b), max(a, b)}] > w.now
}

func (w *world) cutFor(a, b int, d time.Duration) {
	w.cuts[[2]int{min(a, b), max(a, b)}] = w.now + d
}

// send delivers a message to a node: late, twice or not at all.
func (w *world) send(from, to *node, fn func()) {
	if w.cut(from.id, to.id) {
		return
	}
	copies := 1
	if w.faults {
		switch {
		case w.chance(0.04):
			copies = 0
		case w.chance(0.03):
			copies = 2
		}
	}
	for range copies {
		w.schedule(w.delay(), to, 0, fn)
	}
}

func (w *world) delay() time.Duration {
	if w.faults && w.chance(0.03) {
		return w.between(0, 5*time.Second)
	}
	return w.between(500*time.Microsecond, 5*time.Millisecond)
}

// request performs a store request; done runs at the node unless the answer is lost.
func (w *world) storeRequest(n *node, req owner.StoreRequest, done func(owner.StoreResult)) {
	reply := func(res owner.StoreResult) {
		res.ID = req.ID
		w.schedule(w.storeDelay(), n, n.incarnation, func() { done(res) })
	}
	if w.cut(n.id, storeID) {
		reply(owner.StoreResult{Err: hornbeamcroft.ErrStoreUnreachable})
		return
	}
	w.after(w.storeDelay(), func() {
		if w.store.downUntil > w.now {
			reply(owner.StoreResult{Err: errors.New("down")})
			return
		}
		res := w.perform(req)
		if w.store.losesUntil > w.now && w.chance(0.7) || w.cut(n.id, storeID) {
			res = owner.StoreResult{Err: errors.New("answer lost")}
		}
		reply(res)
	})
}

func (w *world) storeDelay() time.Duration {
	if w.store.slowUntil > w.now {
		return w.between(0, 4*time.Second)
	}
	return w.between(time.Millisecond, 5*time.Millisecond)
}

func (w *world) perform(req owner.StoreRequest) owner.StoreResult {
	s := &w.store
	if !req.Write {
		return owner.StoreResult{Entry: s.entry}
	}
	if req.ModRevision != s.entry.ModRevision {
		return owner.StoreResult{Txn: hornbeamcroft.TxnResult{Revision: s.revision}}
	}
	s.revision++
	s.entry.Value, s.entry.ModRevision = req.Value, s.revision
	e, err := owner.DecodeEpoch(req.Value)
	if err != nil {
		w.failures = append(w.failures, "undecodable epoch written: "+err.Error())
	}
	w.logf("store: epoch %d %v settled=%v by %s", e.Number, e.Roster, e.Settled, e.Writer)
	if w.faults && !e.Settled && (w.focused || w.chance(0.5)) {
		w.after(w.between(0, 300*time.Millisecond), func() { w.strike(e) })
	}
	return owner.StoreResult{Txn: hornbeamcroft.TxnResult{Succeeded: true, Revision: s.revision}}
}
