package scenarios

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/balancer"
	"hornbeamcroft/fifoadmitter"
	"hornbeamcroft/propagator"
	"hornbeamcroft/retrier"
	"hornbeamcroft/rotator"
)

// chain is a simulation of services each of which calls the next one, on the virtual clock of loop. nodes[0] is the
// ingress.
type chain struct {
	loop
	cfg          config
	rnd          *rand.Rand
	nodes        []*node
	nodesByName  map[string]*node
	serviceNames []string
	id           uint64 // the last id given to an action or call
	stats        stats
}

// node is an upstream with the policies of the node beside it: admission, balancing, retries and propagation of levels.
type node struct {
	name         string
	service      int // -1 for the ingress
	index        int
	admitter     hornbeamcroft.Admitter
	balancer     hornbeamcroft.Balancer // of the next service
	retrier      retrier.Retrier
	propagator   propagator.Propagator
	waiting      map[uint64]func(hornbeamcroft.Decision)
	running      int
	ejectedCount func() int
}

// request is one send of an action by its caller. Background load has a request for each call.
type request struct {
	id         string
	hash       uint32
	importance hornbeamcroft.Importance
	deadline   time.Duration
	finish     func(ok bool, retryAfter time.Duration)
	entry      int           // index of the service at which the request enters
	leaf       bool          // true if the request makes no child calls
	work       time.Duration // done for the request by all upstreams
}

// answer is the answer to a call. unspent is the retry budget that it returns.
type answer struct {
	ok              bool
	code            hornbeamcroft.Code
	unspent         int
	retryAfter      time.Duration
	admissionLevels []hornbeamcroft.AdmissionLevel
}

func newChain(cfg config) *chain {
	c := &chain{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.seed, 1)), nodesByName: map[string]*node{}}
	c.stats.init(cfg)
	for s := range cfg.services {
		c.serviceNames = append(c.serviceNames, fmt.Sprintf("s%d", s))
	}
	c.addNode(-1, 0)
	for s := range cfg.services {
		for i := range cfg.upstreams {
			c.addNode(s, i)
		}
	}
	c.updateMembers(0)
	if cfg.join > 0 {
		c.after(cfg.join, func() { c.updateMembers(cfg.join) })
	}
	c.after(5*time.Millisecond, c.tick)
	return c
}

// addNode adds a node. The ingress has service -1.
func (c *chain) addNode(service, index int) {
	n := &node{service: service, index: index, name: fmt.Sprintf("s%d-%d", service, index)}
	n.waiting = map[uint64]func(hornbeamcroft.Decision){}
	n.retrier = retrier.Retrier{ShareRule: c.cfg.share, SendsPerHop: c.cfg.sendsPerHop}
	n.propagator = propagator.Propagator{HalfLife: c.cfg.halfLife, ProbeShare: c.cfg.probe}
	switch {
	case service < 0:
	case c.cfg.admission == "adaptive":
		n.admitter = &admitter.Admitter{Service: c.serviceNames[service], Slots: c.cfg.slots, QueueTime: c.cfg.queueTime}
	case c.cfg.admission == "fixed":
		n.admitter = &fifoadmitter.FIFOAdmitter{Service: c.serviceNames[service], Slots: c.cfg.slots}
	default:
		n.admitter = &fifoadmitter.FIFOAdmitter{Service: c.serviceNames[service]}
	}
	if b := (&balancer.Balancer{Zone: "a", ZoneDelay: c.cfg.zoneDelay, SlowStart: c.cfg.slowStart}); c.cfg.balancer == "score" {
		b.Ejector.MaxShare = c.cfg.maxEjected
		n.balancer, n.ejectedCount = b, b.Ejector.Count
	} else {
		n.balancer, n.ejectedCount = &rotator.Rotator{}, func() int { return 0 }
	}
	c.nodes = append(c.nodes, n)
	c.nodesByName[n.name] = n
}

// updateMembers passes the members of the next service to each balancer. Upstreams with the trait cold are members only
// after they have joined, that is if at is not 0.
func (c *chain) updateMembers(at time.Duration) {
	for _, n := range c.nodes {
		var ms []hornbeamcroft.Member
		for i := range c.cfg.upstreams {
			t := c.cfg.trait(i)
			if t.cold && at == 0 {
				continue
			}
			m := hornbeamcroft.Member{Name: fmt.Sprintf("s%d-%d", n.service+1, i), Zone: t.zone, Incarnation: 1, State: t.state}
			if !t.cold {
				m.SinceStart = uint32(time.Hour.Milliseconds())
			}
			ms = append(ms, m)
		}
		n.balancer.Update(c.now, ms)
	}
}

// tick advances the admission policies every 5 ms and records the number of ejected upstreams.
func (c *chain) tick() {
	for _, n := range c.nodes {
		if n.admitter != nil {
			c.applyDecisions(n, n.admitter.Tick(c.now))
		}
		c.stats.max("ejected", float64(n.ejectedCount()))
		if a, ok := n.admitter.(*admitter.Admitter); ok && c.cfg.trace && c.now%(100*time.Millisecond) == 0 {
			fmt.Printf("%s %s %+v\n", c.now, n.name, a.Status(c.now))
		}
	}
	c.after(5*time.Millisecond, c.tick)
}

// applyDecisions runs or refuses the calls that the admission has decided on.
func (c *chain) applyDecisions(n *node, ds []hornbeamcroft.Decision) {
	for _, d := range ds {
		fn := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		fn(d)
	}
}

// call sends r from a node to the next service. After a failure it sends the call again, up to the given number of
// tries in all: these are the tries that the upstream makes in its own code.
func (c *chain) call(n *node, parent uint64, r *request, tries int, done func(answer)) {
	to := n.service + 1
	child := retrier.Child{Service: c.serviceNames[to]}
	a, code := n.retrier.Begin(c.now, parent, child)
	name, ok := n.balancer.Pick(c.now, c.rnd, nil)
	if code != hornbeamcroft.CodeAnswered || !ok {
		done(answer{code: code})
		return
	}
	open, sent := true, c.now
	n.balancer.Start(c.now, name)
	finish := func(ans answer, o hornbeamcroft.Outcome) {
		open = false
		n.balancer.Finish(c.now, name, c.now-sent, o)
		if ans.ok || tries <= 1 {
			done(ans)
			return
		}
		wait := n.retrier.Backoff.Wait(c.rnd, c.cfg.tries-tries+1)
		c.after(wait, func() { c.call(n, parent, r, tries-1, done) })
	}
	c.after(r.deadline-c.now, func() {
		if open {
			n.retrier.EndLost(a)
			finish(answer{code: hornbeamcroft.CodeDeadlinePassed}, hornbeamcroft.OutcomeFailure)
		}
	})
	target := c.nodesByName[name]
	c.after(c.networkDelay(target), func() {
		c.arrive(target, r, a.Share, func(ans answer) {
			c.after(c.networkDelay(target), func() {
				if !open {
					return
				}
				n.retrier.Return(a, ans.unspent)
				if c.cfg.pressure && (c.cfg.lostFrom == 0 || c.now < c.cfg.lostFrom) {
					n.propagator.Observe(c.now, c.serviceNames[to], ans.admissionLevels)
				}
				finish(ans, outcome(ans))
			})
		})
	})
}

// outcome returns how the balancer has to count the answer.
func outcome(a answer) hornbeamcroft.Outcome {
	switch {
	case a.ok || a.code == hornbeamcroft.CodeAnswered:
		return hornbeamcroft.OutcomeSuccess
	case a.code.Claim() == hornbeamcroft.ClaimNotRun:
		return hornbeamcroft.OutcomeRefused
	}
	return hornbeamcroft.OutcomeFailure
}

// networkDelay returns the time that a message between any node and the target takes one way. All senders are in zone
// a.
func (c *chain) networkDelay(target *node) time.Duration {
	if t := c.cfg.trait(target.index); t.zone != "a" {
		return c.cfg.zoneDelay + 100*time.Microsecond
	}
	return 100 * time.Microsecond
}

// arrive passes the call to the admission of the node and runs it once it is admitted. reply is called with the answer.
func (c *chain) arrive(n *node, r *request, share int, reply func(answer)) {
	c.id++
	id, hash := c.id, r.hash
	if c.cfg.independent {
		hash = admitter.Hash(r.id + n.name)
	}
	c.stats.add("arrived-"+n.name, c.now, 1)
	n.waiting[id] = func(d hornbeamcroft.Decision) {
		if !d.Admitted {
			reply(answer{code: d.Code, unspent: share, retryAfter: d.RetryAfter, admissionLevels: c.admissionLevels(n)})
			return
		}
		c.runCall(n, id, r, share, reply)
	}
	c.applyDecisions(n, n.admitter.Arrive(c.now, hornbeamcroft.Ticket{
		ID: id, Importance: r.importance, Depth: n.service - r.entry + 1, Hash: hash, Deadline: r.deadline,
	}))
}

// runCall runs an admitted call at its upstream: the upstream's own work first, then the child call to the next
// service.
func (c *chain) runCall(n *node, id uint64, r *request, share int, reply func(answer)) {
	start, ownTime := c.now, time.Duration(0)
	n.retrier.Open(id, share, r.deadline)
	end := func(a answer) {
		a.unspent = n.retrier.Close(id)
		a.admissionLevels = c.admissionLevels(n)
		total := c.now - start
		ds := n.admitter.Finish(c.now, id, hornbeamcroft.Sample{
			ServiceTime: total, ChildTime: total - ownTime, Overloaded: c.now >= r.deadline,
		})
		reply(a)
		c.applyDecisions(n, ds)
	}
	n.running++
	// The upstream observes the deadline: it stops work when the deadline has passed.
	ownTime = min(c.workTime(n), r.deadline-c.now)
	r.work += ownTime
	c.after(ownTime, func() {
		n.running--
		switch {
		case c.now >= r.deadline:
			end(answer{code: hornbeamcroft.CodeDeadlinePassed})
		case (c.faultActive() || c.cfg.to == 0) && c.rnd.Float64() < c.cfg.trait(n.index).fail:
			end(answer{code: hornbeamcroft.CodeOutcomeUnknown})
		case r.leaf || n.service == c.cfg.services-1:
			end(answer{ok: true, code: hornbeamcroft.CodeAnswered})
		default:
			c.call(n, id, r, c.cfg.tries, func(a answer) {
				if !a.ok {
					a.code = hornbeamcroft.CodeAnswered // the upstream ran and answers with HTTP status 500
				}
				end(a)
			})
		}
	})
}

// workTime returns how long the upstream's own work of one call takes. The running calls share the cores of the
// upstream.
func (c *chain) workTime(n *node) time.Duration {
	t := float64(c.cfg.work) * (0.5 + 0.5*c.rnd.ExpFloat64())
	cores := c.cfg.cores
	trait := c.cfg.trait(n.index)
	if trait.cold {
		cores *= min(1, max(0.1, (c.now-c.cfg.join).Seconds()/10))
	}
	t *= max(1, float64(n.running)/cores)
	if c.faultActive() || c.cfg.to == 0 {
		t *= trait.slow
	}
	if c.faultActive() && n.service == c.cfg.services-1 {
		t *= c.cfg.slow
	}
	return time.Duration(t)
}

// faultActive reports whether the slow-down or fault of the script is active now.
func (c *chain) faultActive() bool { return c.now >= c.cfg.from && c.now < c.cfg.to }

// admissionLevels returns the admission levels that an answer of the node carries.
func (c *chain) admissionLevels(n *node) []hornbeamcroft.AdmissionLevel {
	return n.propagator.Export(c.now, n.admitter.AdmissionLevel(c.now))
}
