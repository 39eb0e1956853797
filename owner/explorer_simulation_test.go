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
	// wallStart is the wall-clock time at simulated time zero, in Unix milliseconds.
	wallStart = 1_700_000_000_000
	// storeID stands for the store where a link is named by the ids of its two ends.
	storeID = -1
)

// options are the settings of one simulation.
type options struct {
	seed             uint64
	rosterSize       int
	spareNodes       int // nodes that are not in the first roster and may join
	duration         time.Duration
	keyWindow        time.Duration
	clockSkew        time.Duration // greatest difference between the wall clocks of nodes and callers
	rule             string        // rule of the protocol that is switched off; empty for none
	randomFaults     bool          // lose, repeat and delay messages; slow, refuse and pause calls; relay reads
	singleTakeover   bool          // only the node that startTakeover selects proposes epochs
	maxFaultInterval time.Duration // longest time between two calls of injectFault
	maxViewInterval  time.Duration // longest time between two calls of changeMembers
	requestInterval  time.Duration // mean time between two new keys; zero for none
	maxResends       int           // sends of a key after its first, at most
	// maxRate is the greatest rate of a monotonic clock; the smallest is 1.
	maxRate float64
}

// event is one scheduled step of the simulation. Events of a paused node wait until it resumes.
type event struct {
	at          time.Duration
	seq         uint64
	node        *node
	incarnation uint64 // the node runs the step only in this incarnation; zero for any incarnation
	fn          func()
}

// eventQueue is a heap of events, ordered by time and, at the same time, by the order in which they were scheduled.
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

// simulation is a deterministic simulation of nodes with their Owner and Deduper, of the links between them, of the
// store and of callers, in simulated time.
type simulation struct {
	options
	rand          *rand.Rand
	now           time.Duration
	seq           uint64
	events        eventQueue
	nodes         []*node
	nodesByName   map[string]*node
	store         store
	linksCutUntil map[[2]int]time.Duration // when each cut link works again, by the ids of its ends, lower first

	requests       []*request
	stepCount      int
	runCount       int
	notRunClaims   int
	distinctStates map[uint64]struct{}
	violations     []string
	eventLog       []string
}

// store simulates the store with the epoch of the service as its only key.
type store struct {
	entry             hornbeamcroft.Entry
	revision          int64
	downUntil         time.Duration
	slowUntil         time.Duration
	losesAnswersUntil time.Duration // until then, answers may be lost although writes take effect
}

func newSimulation(opt options) *simulation {
	sim := &simulation{
		options: opt, rand: rand.New(rand.NewPCG(opt.seed, 1)), nodesByName: map[string]*node{},
		linksCutUntil: map[[2]int]time.Duration{}, distinctStates: map[uint64]struct{}{},
	}
	for i := range opt.rosterSize + opt.spareNodes {
		n := &node{sim: sim, id: i, name: fmt.Sprintf("n%d", i), member: i < opt.rosterSize}
		n.clockRate = 1 + (opt.maxRate-1)*sim.rand.Float64()
		n.wallOffset = sim.rand.Int64N(sim.clockSkew.Milliseconds()+1) - sim.clockSkew.Milliseconds()/2
		sim.nodes = append(sim.nodes, n)
		sim.nodesByName[n.name] = n
	}
	sim.writeFirstEpoch()
	for _, n := range sim.nodes {
		if n.member {
			n.boot()
		}
	}
	return sim
}

// writeFirstEpoch stores the first epoch, so that the simulation begins with a settled roster.
func (sim *simulation) writeFirstEpoch() {
	e := owner.Epoch{Service: service, Number: 1, Settled: true, PermitTime: permitTime}
	for _, n := range sim.nodes {
		if n.member {
			e.Roster = append(e.Roster, n.name)
		}
	}
	sim.store.revision = 1
	sim.store.entry = hornbeamcroft.Entry{Key: hornbeamcroft.KeyEpochPrefix + service, Value: e.Encode(), ModRevision: 1}
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.rand.Float64() < p }

// randomDuration returns a uniformly distributed duration from lo to hi, both included.
func (sim *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rand.Int64N(int64(hi-lo)+1))
}

// logf appends to the event log, with the simulated time in seconds.
func (sim *simulation) logf(format string, args ...any) {
	sim.eventLog = append(sim.eventLog, fmt.Sprintf("%8.3f ", sim.now.Seconds())+fmt.Sprintf(format, args...))
}

// after schedules a step that no restart or pause of a node affects.
func (sim *simulation) after(d time.Duration, fn func()) { sim.schedule(d, nil, 0, fn) }

// schedule schedules a step of a node. A stopped node skips the step, and so does a node in another incarnation than
// inc, unless inc is zero.
func (sim *simulation) schedule(d time.Duration, n *node, inc uint64, fn func()) {
	sim.seq++
	heap.Push(&sim.events, &event{at: sim.now + d, seq: sim.seq, node: n, incarnation: inc, fn: fn})
}

// run performs the steps in order of time until the duration has passed or a violation was found.
func (sim *simulation) run() {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(*event)
		if e.at > sim.duration {
			return
		}
		sim.now = e.at
		if e.node != nil {
			if !e.node.alive || e.incarnation != 0 && e.incarnation != e.node.incarnation {
				continue
			}
			if e.node.pausedUntil > sim.now {
				e.at = e.node.pausedUntil
				heap.Push(&sim.events, e)
				continue
			}
		}
		sim.stepCount++
		e.fn()
		if len(sim.violations) > 0 {
			return
		}
	}
}

func (sim *simulation) linkIsCut(a, b int) bool {
	return sim.linksCutUntil[[2]int{min(a, b), max(a, b)}] > sim.now
}

// cutLink cuts the link between two ids for the duration d from now.
func (sim *simulation) cutLink(a, b int, d time.Duration) {
	sim.linksCutUntil[[2]int{min(a, b), max(a, b)}] = sim.now + d
}

// deliver runs fn at the receiver of a message. With random faults, the message may arrive late, twice or not at all.
func (sim *simulation) deliver(from, to *node, fn func()) {
	if sim.linkIsCut(from.id, to.id) {
		return
	}
	copies := 1
	if sim.randomFaults {
		switch {
		case sim.chance(0.04):
			copies = 0
		case sim.chance(0.03):
			copies = 2
		}
	}
	for range copies {
		sim.schedule(sim.linkDelay(), to, 0, fn)
	}
}

func (sim *simulation) linkDelay() time.Duration {
	if sim.randomFaults && sim.chance(0.03) {
		return sim.randomDuration(0, 5*time.Second)
	}
	return sim.randomDuration(500*time.Microsecond, 5*time.Millisecond)
}

// storeRequest performs a store request and passes the result to done, unless the node has restarted meanwhile. If the
// answer is lost, the result is an error although a write took effect.
func (sim *simulation) storeRequest(n *node, req owner.StoreRequest, done func(owner.StoreResult)) {
	reply := func(res owner.StoreResult) {
		res.ID = req.ID
		sim.schedule(sim.storeDelay(), n, n.incarnation, func() { done(res) })
	}
	if sim.linkIsCut(n.id, storeID) {
		reply(owner.StoreResult{Err: hornbeamcroft.ErrStoreUnreachable})
		return
	}
	sim.after(sim.storeDelay(), func() {
		if sim.store.downUntil > sim.now {
			reply(owner.StoreResult{Err: errors.New("down")})
			return
		}
		res := sim.performStoreRequest(req)
		if sim.store.losesAnswersUntil > sim.now && sim.chance(0.7) || sim.linkIsCut(n.id, storeID) {
			res = owner.StoreResult{Err: errors.New("answer of the store lost")}
		}
		reply(res)
	})
}

func (sim *simulation) storeDelay() time.Duration {
	if sim.store.slowUntil > sim.now {
		return sim.randomDuration(0, 4*time.Second)
	}
	return sim.randomDuration(time.Millisecond, 5*time.Millisecond)
}

// performStoreRequest applies a request to the store. A written epoch that is not settled may start a partition.
func (sim *simulation) performStoreRequest(req owner.StoreRequest) owner.StoreResult {
	s := &sim.store
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
		sim.violations = append(sim.violations, "undecodable epoch written: "+err.Error())
	}
	sim.logf("store: epoch %d %v settled=%v by %s", e.Number, e.Roster, e.Settled, e.Writer)
	if sim.randomFaults && !e.Settled && (sim.singleTakeover || sim.chance(0.5)) {
		sim.after(sim.randomDuration(0, 300*time.Millisecond), func() { sim.partitionTakeover(e) })
	}
	return owner.StoreResult{Txn: hornbeamcroft.TxnResult{Succeeded: true, Revision: s.revision}}
}
