package scenarios

import (
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
)

// arrivals makes a Poisson stream of user actions that enter at the ingress, or at the node of one service.
func (c *chain) arrivals(rate float64, i hornbeamcroft.Importance, name string) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		c.id++
		c.action(fmt.Sprintf("%s-%d", name, c.id), i, name)
		c.after(time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.after(time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second)), next)
}

// action is one user action; its caller resends it after each failure.
func (c *chain) action(id string, i hornbeamcroft.Importance, name string) {
	began, tries := c.now, 0
	c.stats.add("offered-"+name, began, 1)
	var send func()
	send = func() {
		tries++
		r := &request{id: id, hash: admitter.Hash(id), importance: i, deadline: c.now + c.cfg.deadline}
		r.finish = func(ok bool, _ time.Duration) {
			c.stats.add("work", c.now, r.work.Seconds())
			switch {
			case ok:
				c.stats.add("done-"+name, began, 1)
				c.stats.add("latency-"+name, began, (c.now - began).Seconds())
			default:
				c.stats.add("wasted", c.now, r.work.Seconds())
				if tries < c.cfg.callerTries {
					c.after(c.cfg.resend, send)
				}
			}
		}
		c.enter(r, name)
	}
	send()
}

// enter is the path through the ingress node.
func (c *chain) enter(r *request, name string) {
	in := c.nodes[0]
	if name == "background" {
		// Background load is a call of another request at each service but the first.
		for _, n := range c.nodes {
			if n.service > 0 {
				b := *r
				b.id = r.id + n.name
				b.hash, b.entry, b.leaf = admitter.Hash(b.id), n.service, true
				c.arrive(n, &b, 0, func(answer) {})
			}
		}
		return
	}
	if v := in.propagator.Admit(c.now, c.rnd, c.serve, r.importance, r.hash); c.cfg.pressure && !v.Admitted {
		c.stats.add("refused-early", c.now, 1)
		r.finish(false, v.RetryAfter)
		return
	}
	c.id++
	id := in.retrier.OpenRequest(c.now, r.id, c.id, c.cfg.budget, r.deadline)
	c.call(in, id, r, 1, func(a answer) { r.finish(a.ok, a.retryAfter) })
}
