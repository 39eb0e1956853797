// Package admitter decides which calls run at one upstream, and when. It combines a concurrency limit, a wait queue
// and an admission level that sheds the same requests at every service.
package admitter

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/limiter"
	"hornbeamcroft/queuer"
)

const (
	// DefaultQueueTime is the longest wait in the queue if the Admitter sets none.
	DefaultQueueTime = 100 * time.Millisecond
	// minQueueCapacity is the smallest bound of the queue, in entries. With a few slots, a queue as long as the
	// concurrency limit is shorter than a typical burst of arrivals, and the wait is bounded by time in any case.
	minQueueCapacity = 32
	// queueWaitServiceTimes is the smallest bound of the wait in the queue, as a multiple of the median service time.
	// With a wait far below the service time of a slow upstream, the queue empties between the ends of two calls and
	// slots stay idle.
	queueWaitServiceTimes = 2
	// maxIsolatedWait is the longest wait of a ticket for an isolated run. No other call starts during this wait.
	maxIsolatedWait = time.Second
	// levelRetryAfter is the mean Retry-After of a request that the admission level sheds.
	levelRetryAfter = time.Second
)

var _ hornbeamcroft.Admitter = (*Admitter)(nil)

// Admitter controls the admission to one upstream. It is not safe for concurrent use.
type Admitter struct {
	// Service is the name of the service in the result of AdmissionLevel.
	Service string
	// Slots is the number of calls that the upstream can run at once, at least 1. It is the upper bound of the
	// concurrency limit.
	Slots int
	// QueueTime is the longest wait in the queue, unless queueWaitServiceTimes times the median service time is longer;
	// DefaultQueueTime if zero.
	QueueTime time.Duration

	limiter limiter.Limiter
	queue   queuer.Queuer
	level   level
	// running holds the ids of the admitted tickets; the value is true for an isolated run.
	running map[uint64]bool
	// isolated holds the tickets that wait for an isolated run, in order of arrival.
	isolated        []queuer.Entry
	isolatedRunning bool
	// expiredEntries is the buffer for the entries that queue.Expire removes.
	expiredEntries []queuer.Entry
	counts         Counts
}

// init prepares the Admitter on its first use and advances the admission level to now.
func (a *Admitter) init(now time.Duration) {
	if a.running == nil {
		if a.QueueTime <= 0 {
			a.QueueTime = DefaultQueueTime
		}
		a.running = make(map[uint64]bool)
		a.limiter.MaxLimit = a.Slots
		a.queue.MaxWait = a.QueueTime
	}
	a.level.advance(now)
}

// Arrive sheds, refuses, queues or admits a new ticket, and returns all decisions that became due.
func (a *Admitter) Arrive(now time.Duration, t hornbeamcroft.Ticket) []hornbeamcroft.Decision {
	a.init(now)
	a.level.window.arrived[t.Importance]++
	if !Admits(a.level.admissionLevel(""), t.Importance, t.Hash) {
		a.counts.Shed[t.Importance]++
		return []hornbeamcroft.Decision{refuse(t, hornbeamcroft.CodeOverloaded, levelRetryAfter)}
	}
	if a.deadlineTooShort(now, t) {
		return []hornbeamcroft.Decision{a.refuseDeadlineTooShort(t)}
	}
	a.level.window.offered[t.Importance]++
	if t.Isolated {
		a.isolated = append(a.isolated, queuer.Entry{Ticket: t, Arrived: now})
		return a.dispatch(now, nil)
	}
	if a.queue.Len() == 0 && a.hasFreeSlot() {
		return []hornbeamcroft.Decision{a.admit(t)}
	}
	var ds []hornbeamcroft.Decision
	if e, full := a.queue.Push(now, t, max(a.limiter.Limit(), minQueueCapacity)); full {
		a.level.window.dropped++
		a.counts.Displaced[e.Ticket.Importance]++
		ds = append(ds, refuse(e.Ticket, hornbeamcroft.CodeOverloaded, a.QueueTime))
	}
	return a.dispatch(now, ds)
}

// Finish ends an admitted ticket, adds its sample to the concurrency limit, and returns the decisions that became
// due. It ignores an id that is not running.
func (a *Admitter) Finish(now time.Duration, id uint64, s hornbeamcroft.Sample) []hornbeamcroft.Decision {
	a.init(now)
	isolated, ok := a.running[id]
	if !ok {
		return nil
	}
	inFlight := len(a.running)
	delete(a.running, id)
	if isolated {
		a.isolatedRunning = false
	}
	switch {
	case s.Ignore:
	case s.Overloaded:
		a.limiter.AddOverload(now, inFlight)
	default:
		a.limiter.Add(now, s.ServiceTime, s.ServiceTime-s.ChildTime, inFlight)
	}
	return a.dispatch(now, nil)
}

// Cancel removes a waiting ticket and returns the decisions that became due.
func (a *Admitter) Cancel(now time.Duration, id uint64) []hornbeamcroft.Decision {
	a.init(now)
	a.queue.Cancel(id)
	for i := range a.isolated {
		if a.isolated[i].Ticket.ID == id {
			a.isolated = append(a.isolated[:i], a.isolated[i+1:]...)
			break
		}
	}
	return a.dispatch(now, nil)
}

// Tick refuses the tickets whose wait expired by now, starts those that fit, and returns these decisions.
func (a *Admitter) Tick(now time.Duration) []hornbeamcroft.Decision {
	a.init(now)
	return a.dispatch(now, nil)
}

// AdmissionLevel returns the admission level that answers carry.
func (a *Admitter) AdmissionLevel(now time.Duration) hornbeamcroft.AdmissionLevel {
	a.init(now)
	return a.level.admissionLevel(a.Service)
}

// Limit returns the concurrency limit.
func (a *Admitter) Limit() int { return a.limiter.Limit() }

// InFlight returns the number of admitted tickets.
func (a *Admitter) InFlight() int { return len(a.running) }

// Waiting returns the number of waiting tickets.
func (a *Admitter) Waiting() int { return a.queue.Len() + len(a.isolated) }

// dispatch refuses the tickets whose wait expired, admits those that fit, and appends the decisions to ds.
func (a *Admitter) dispatch(now time.Duration, ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	ds = a.expire(now, ds)
	if len(a.isolated) > 0 {
		return a.dispatchIsolated(ds)
	}
	for a.hasFreeSlot() {
		e, ok := a.queue.Pop()
		if !ok {
			break
		}
		if a.deadlineTooShort(now, e.Ticket) {
			ds = append(ds, a.refuseDeadlineTooShort(e.Ticket))
			continue
		}
		ds = append(ds, a.admit(e.Ticket))
	}
	return ds
}

// dispatchIsolated admits the first ticket that waits for an isolated run, once nothing else runs.
func (a *Admitter) dispatchIsolated(ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	if len(a.running) > 0 {
		return ds
	}
	e := a.isolated[0]
	a.isolated = a.isolated[1:]
	a.isolatedRunning = true
	return append(ds, a.admit(e.Ticket))
}

// expire refuses the tickets that waited too long or whose deadline passed, and appends the decisions to ds.
func (a *Admitter) expire(now time.Duration, ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	a.queue.MaxWait = max(a.QueueTime, queueWaitServiceTimes*a.limiter.Median(now))
	a.expiredEntries = a.queue.Expire(now, a.expiredEntries[:0])
	a.level.window.dropped += len(a.expiredEntries)
	for _, e := range a.expiredEntries {
		a.counts.Expired[e.Ticket.Importance]++
		ds = append(ds, refuse(e.Ticket, hornbeamcroft.CodeQueueExpired, a.QueueTime))
	}
	for len(a.isolated) > 0 && (now-a.isolated[0].Arrived >= maxIsolatedWait || now >= a.isolated[0].Ticket.Deadline) {
		ds = append(ds, refuse(a.isolated[0].Ticket, hornbeamcroft.CodeSuspectWaiting, maxIsolatedWait))
		a.isolated = a.isolated[1:]
	}
	return ds
}

// hasFreeSlot reports whether a call that needs no isolated run may start.
func (a *Admitter) hasFreeSlot() bool {
	return !a.isolatedRunning && len(a.isolated) == 0 && len(a.running) < a.limiter.Limit()
}

// deadlineTooShort reports whether the time until the ticket's deadline is at most the median service time.
func (a *Admitter) deadlineTooShort(now time.Duration, t hornbeamcroft.Ticket) bool {
	return now+a.limiter.Median(now) >= t.Deadline
}

// admit records the ticket as running and returns its decision.
func (a *Admitter) admit(t hornbeamcroft.Ticket) hornbeamcroft.Decision {
	a.running[t.ID] = t.Isolated
	a.level.window.started++
	a.counts.Admitted++
	return hornbeamcroft.Decision{ID: t.ID, Admitted: true}
}

// refuseDeadlineTooShort refuses a ticket whose deadline is too short.
func (a *Admitter) refuseDeadlineTooShort(t hornbeamcroft.Ticket) hornbeamcroft.Decision {
	a.counts.TooLate++
	return refuse(t, hornbeamcroft.CodeDeadlineTooShort, 0)
}

// refuse returns a refusal whose Retry-After lies between 0.5 and 1.5 times after. The survival hash selects the
// value, so that refused callers do not return together.
func refuse(t hornbeamcroft.Ticket, c hornbeamcroft.Code, after time.Duration) hornbeamcroft.Decision {
	after = after/2 + after*time.Duration(t.Hash)/hornbeamcroft.ThresholdAll
	return hornbeamcroft.Decision{ID: t.ID, Code: c, RetryAfter: after}
}
