package scenarios

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/balancer"
	"hornbeamcroft/filer"
	"hornbeamcroft/propagator"
	"hornbeamcroft/retrier"
	"hornbeamcroft/rotator"
)

// chain is a queueing loop over services that call one another in a row. Node 0 is the ingress.
type chain struct {
	loop
	cfg   config
	rnd   *rand.Rand
	nodes []*node
	byID  map[string]*node
	serve []string // names of the services
	id    uint64
	stats stats
}

// node is an upstream with the cores beside it.
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

type request struct {
	id         string
	hash       uint32
	importance hornbeamcroft.Importance
	deadline   time.Duration
	finish     func(ok bool, retryAfter time.Duration)
	entry      int  // the service at which the request enters
	leaf       bool // true if it calls no further service
	work       time.Duration
}

type answer struct {
	ok              bool
	code            hornbeamcroft.Code
	unspent         int
	retryAfter      time.Duration
	admissionLevels []hornbeamcroft.AdmissionLevel
}

func newChain(cfg config) *chain {
	c := &chain{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.seed, 1)), byID: map[string]*node{}}
	c.stats.init(cfg)
	for s := range cfg.services {
		c.serve = append(c.serve, fmt.Sprintf("s%d", s))
	}
	c.add(-1, 0)
	for s := range cfg.services {
		for i := range cfg.upstreams {
			c.add(s, i)
		}
	}
	c.join(0)
	if cfg.join > 0 {
		c.after(cfg.join, func() { c.join(cfg.join) })
	}
	c.after(5*time.Millisecond, c.tick)
	return c
}

func (c *chain) add(service, index int) {
	n := &node{service: service, index: index, name: fmt.Sprintf("s%d-%d", service, index)}
	n.waiting = map[uint64]func(hornbeamcroft.Decision){}
	n.retrier = retrier.Retrier{Share: c.cfg.share, PerHop: c.cfg.perHop}
	n.propagator = propagator.Propagator{HalfLife: c.cfg.halfLife, ProbeShare: c.cfg.probe}
	switch {
	case service < 0:
	case c.cfg.admission == "adaptive":
		n.admitter = &admitter.Admitter{Service: c.serve[service], Slots: c.cfg.slots, QueueTime: c.cfg.queueTime}
	case c.cfg.admission == "fixed":
		n.admitter = &filer.Filer{Service: c.serve[service], Slots: c.cfg.slots}
	default:
		n.admitter = &filer.Filer{Service: c.serve[service]}
	}
	if b := (&balancer.Balancer{Zone: "a", ZoneDelay: c.cfg.zoneDelay, SlowStart: c.cfg.slowStart}); c.cfg.balancer == "score" {
		b.Ejector.MaxShare = c.cfg.maxEjected
		n.balancer, n.ejectedCount = b, b.Ejector.Count
	} else {
		n.balancer, n.ejectedCount = &rotator.Rotator{}, func() int { return 0 }
	}
	c.nodes = append(c.nodes, n)
	c.byID[n.name] = n
}

// join tells the balancers the members; upstreams with the trait cold are present from the join time on.
func (c *chain) join(at time.Duration) {
	for _, n := range c.nodes {
		var ms []hornbeamcroft.Member
		for i := range c.cfg.upstreams {
			t := c.cfg.trait(i)
			if t.cold && at == 0 {
				continue
			}
			m := hornbeamcroft.Member{Name: fmt.Sprintf("s%d-%d", n.service+1, i), Zone: t.zone, Incarnation: 1, State: t.state}
			if !t.cold {
				m.ColdFor = uint32(time.Hour.Milliseconds())
			}
			ms = append(ms, m)
		}
		n.balancer.Update(c.now, ms)
	}
}

func (c *chain) tick() {
	for _, n := range c.nodes {
		if n.admitter != nil {
			c.decide(n, n.admitter.Tick(c.now))
		}
		c.stats.max("ejected", float64(n.ejectedCount()))
		if a, ok := n.admitter.(*admitter.Admitter); ok && c.cfg.trace && c.now%(100*time.Millisecond) == 0 {
			fmt.Printf("%s %s %+v\n", c.now, n.name, a.Status(c.now))
		}
	}
	c.after(5*time.Millisecond, c.tick)
}

func (c *chain) decide(n *node, ds []hornbeamcroft.Decision) {
	for _, d := range ds {
		fn := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		fn(d)
	}
}

// call sends r from a node to the next service, with as many tries as the node's upstream makes in its own code.
func (c *chain) call(n *node, parent uint64, r *request, tries int, done func(answer)) {
	to := n.service + 1
	child := retrier.Child{Service: c.serve[to]}
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
			n.retrier.Lose(a)
			finish(answer{code: hornbeamcroft.CodeDeadlinePassed}, hornbeamcroft.OutcomeFailure)
		}
	})
	target := c.byID[name]
	c.after(c.net(target), func() {
		c.arrive(target, r, a.Share, func(ans answer) {
			c.after(c.net(target), func() {
				if !open {
					return
				}
				n.retrier.Return(a, ans.unspent)
				if c.cfg.pressure && (c.cfg.lostFrom == 0 || c.now < c.cfg.lostFrom) {
					n.propagator.Observe(c.now, c.serve[to], ans.admissionLevels)
				}
				finish(ans, outcome(ans))
			})
		})
	})
}

func outcome(a answer) hornbeamcroft.Outcome {
	switch {
	case a.ok || a.code == hornbeamcroft.CodeAnswered:
		return hornbeamcroft.OutcomeSuccess
	case a.code.Claim() == hornbeamcroft.ClaimNotRun:
		return hornbeamcroft.OutcomeRefused
	}
	return hornbeamcroft.OutcomeFailure
}

func (c *chain) net(target *node) time.Duration {
	if t := c.cfg.trait(target.index); t.zone != "a" {
		return c.cfg.zoneDelay + 100*time.Microsecond
	}
	return 100 * time.Microsecond
}

// arrive offers the call to the admission of its upstream and runs it there.
func (c *chain) arrive(n *node, r *request, share int, reply func(answer)) {
	c.id++
	id, hash := c.id, r.hash
	if c.cfg.independent {
		hash = admitter.Hash(r.id + n.name)
	}
	c.stats.add("arrived-"+n.name, c.now, 1)
	n.waiting[id] = func(d hornbeamcroft.Decision) {
		if !d.Admitted {
			reply(answer{code: d.Code, unspent: share, retryAfter: d.RetryAfter, admissionLevels: c.export(n)})
			return
		}
		c.runCall(n, id, r, share, reply)
	}
	c.decide(n, n.admitter.Arrive(c.now, hornbeamcroft.Ticket{
		ID: id, Importance: r.importance, Depth: n.service - r.entry + 1, Hash: hash, Deadline: r.deadline,
	}))
}

func (c *chain) runCall(n *node, id uint64, r *request, share int, reply func(answer)) {
	start, own := c.now, time.Duration(0)
	n.retrier.Open(id, share, r.deadline)
	end := func(a answer) {
		a.unspent = n.retrier.Close(id)
		a.admissionLevels = c.export(n)
		total := c.now - start
		ds := n.admitter.Finish(c.now, id, hornbeamcroft.Sample{
			ServiceTime: total, ChildTime: total - own, Overloaded: c.now >= r.deadline,
		})
		reply(a)
		c.decide(n, ds)
	}
	n.running++
	// The upstream honours the deadline: it stops work that is late.
	own = min(c.workTime(n), r.deadline-c.now)
	r.work += own
	c.after(own, func() {
		n.running--
		switch {
		case c.now >= r.deadline:
			end(answer{code: hornbeamcroft.CodeDeadlinePassed})
		case (c.during() || c.cfg.to == 0) && c.rnd.Float64() < c.cfg.trait(n.index).fail:
			end(answer{code: hornbeamcroft.CodeOutcomeUnknown})
		case r.leaf || n.service == c.cfg.services-1:
			end(answer{ok: true, code: hornbeamcroft.CodeAnswered})
		default:
			c.call(n, id, r, c.cfg.tries, func(a answer) {
				if !a.ok {
					a.code = hornbeamcroft.CodeAnswered // The upstream ran and answers an HTTP status of 500.
				}
				end(a)
			})
		}
	})
}

// workTime is the time of the upstream's own work: the running calls share its cores.
func (c *chain) workTime(n *node) time.Duration {
	t := float64(c.cfg.work) * (0.5 + 0.5*c.rnd.ExpFloat64())
	cores := c.cfg.cores
	trait := c.cfg.trait(n.index)
	if trait.cold {
		cores *= min(1, max(0.1, (c.now-c.cfg.join).Seconds()/10))
	}
	t *= max(1, float64(n.running)/cores)
	if c.during() || c.cfg.to == 0 {
		t *= trait.slow
	}
	if c.during() && n.service == c.cfg.services-1 {
		t *= c.cfg.slow
	}
	return time.Duration(t)
}

// during reports whether the slow-down or fault of the script is on.
func (c *chain) during() bool { return c.now >= c.cfg.from && c.now < c.cfg.to }

func (c *chain) export(n *node) []hornbeamcroft.AdmissionLevel {
	return n.propagator.Export(c.now, n.admitter.AdmissionLevel(c.now))
}
