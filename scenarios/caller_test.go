package scenarios

import (
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
)

// generateActions starts a Poisson process of user actions with the given rate per second. They count under the given
// name. Actions with the name "background" are load on the deeper services; see enter.
func (c *chain) generateActions(rate float64, i hornbeamcroft.Importance, name string) {
	if rate <= 0 {
		return
	}
	var next func()
	next = func() {
		c.id++
		c.startAction(fmt.Sprintf("%s-%d", name, c.id), i, name)
		c.after(time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.after(time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second)), next)
}

// startAction starts one user action. Its caller sends it again after each failure, up to callerTries times in all.
func (c *chain) startAction(id string, i hornbeamcroft.Importance, name string) {
	start, tries := c.now, 0
	c.stats.add("offered-"+name, start, 1)
	var send func()
	send = func() {
		tries++
		r := &request{id: id, hash: admitter.Hash(id), importance: i, deadline: c.now + c.cfg.deadline}
		r.finish = func(ok bool, _ time.Duration) {
			c.stats.add("work", c.now, r.work.Seconds())
			switch {
			case ok:
				c.stats.add("done-"+name, start, 1)
				c.stats.add("latency-"+name, start, (c.now - start).Seconds())
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

// enter admits a request at the ingress node and makes its first call. Actions with the name "background" bypass the
// ingress.
func (c *chain) enter(r *request, name string) {
	in := c.nodes[0]
	if name == "background" {
		// Background load is one call at each upstream of every service but the first. It stands for the requests of
		// other callers, makes no child calls, and its outcome is ignored.
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
	if v := in.propagator.Admit(c.now, c.rnd, c.serviceNames, r.importance, r.hash); c.cfg.pressure && !v.Admitted {
		c.stats.add("refused-early", c.now, 1)
		r.finish(false, v.RetryAfter)
		return
	}
	c.id++
	id := in.retrier.OpenRequest(c.now, r.id, c.id, c.cfg.budget, r.deadline)
	c.call(in, id, r, 1, func(a answer) { r.finish(a.ok, a.retryAfter) })
}
