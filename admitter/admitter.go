// Package admitter decides which calls run at one upstream, and when. It joins the concurrency limit, the wait queue
// and an admission level that sheds the same requests at every service.
package admitter

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/limiter"
	"hornbeamcroft/queuer"
)

const (
	// DefaultQueueTime is the longest wait in the queue.
	DefaultQueueTime = 100 * time.Millisecond
	// minQueue is the least bound of the queue in entries. At a few slots, one limit's worth of entries is less than the
	// usual burst of arrivals, and the wait is bounded by time anyway.
	minQueue = 32
	// queueServiceTimes is the least bound of the wait in service times. A wait far below the service time of a slow
	// upstream empties the queue between two calls that end, and its slots stay idle.
	queueServiceTimes = 2
	// aloneWait is the longest wait for an isolated run; no other call starts meanwhile.
	aloneWait = time.Second
	// levelRetryAfter is the mean Retry-After of a request shed by the level.
	levelRetryAfter = time.Second
)

var _ hornbeamcroft.Admitter = (*Admitter)(nil)

// Admitter is the admission of one upstream. It is not safe for concurrent use.
type Admitter struct {
	// Service names the service in the pressure.
	Service string
	// Slots is the number of calls that the upstream runs at once; the ceiling of the limit; at least 1.
	Slots int
	// QueueTime is the longest wait in the queue; DefaultQueueTime if zero.
	QueueTime time.Duration

	limiter limiter.Limiter
	queue   queuer.Queuer
	level   level
	// running holds the admitted tickets; the value is true for an isolated run.
	running map[uint64]bool
	// alone holds the tickets that wait for an isolated run, in order of arrival.
	alone        []queuer.Entry
	aloneRunning bool
	expired      []queuer.Entry
	counts       Counts
}

func (a *Admitter) init(now time.Duration) {
	if a.running == nil {
		if a.QueueTime <= 0 {
			a.QueueTime = DefaultQueueTime
		}
		a.running = make(map[uint64]bool)
		a.limiter.Ceiling = a.Slots
		a.queue.MaxWait = a.QueueTime
	}
	a.level.advance(now)
}

// Arrive offers a ticket.
func (a *Admitter) Arrive(now time.Duration, t hornbeamcroft.Ticket) []hornbeamcroft.Decision {
	a.init(now)
	a.level.w.arrived[t.Importance]++
	if !Admits(a.level.pressure(""), t.Importance, t.Hash) {
		a.counts.Shed[t.Importance]++
		return []hornbeamcroft.Decision{refuse(t, hornbeamcroft.CodeOverloaded, levelRetryAfter)}
	}
	if a.tooLate(now, t) {
		return []hornbeamcroft.Decision{a.refuseLate(t)}
	}
	a.level.w.offered[t.Importance]++
	if t.Alone {
		a.alone = append(a.alone, queuer.Entry{Ticket: t, Arrived: now})
		return a.dispatch(now, nil)
	}
	if a.queue.Len() == 0 && a.free() {
		return []hornbeamcroft.Decision{a.start(t)}
	}
	var ds []hornbeamcroft.Decision
	if e, full := a.queue.Push(now, t, max(a.limiter.Limit(), minQueue)); full {
		a.level.w.dropped++
		a.counts.Displaced[e.Ticket.Importance]++
		ds = append(ds, refuse(e.Ticket, hornbeamcroft.CodeOverloaded, a.QueueTime))
	}
	return a.dispatch(now, ds)
}

// Finish ends an admitted ticket.
func (a *Admitter) Finish(now time.Duration, id uint64, s hornbeamcroft.Sample) []hornbeamcroft.Decision {
	a.init(now)
	alone, ok := a.running[id]
	if !ok {
		return nil
	}
	inFlight := len(a.running)
	delete(a.running, id)
	if alone {
		a.aloneRunning = false
	}
	switch {
	case s.Ignore:
	case s.Overloaded:
		a.limiter.Overload(now, inFlight)
	default:
		a.limiter.Add(now, s.ServiceTime, s.ServiceTime-s.ChildTime, inFlight)
	}
	return a.dispatch(now, nil)
}

// Cancel withdraws a waiting ticket.
func (a *Admitter) Cancel(now time.Duration, id uint64) []hornbeamcroft.Decision {
	a.init(now)
	a.queue.Cancel(id)
	for i := range a.alone {
		if a.alone[i].Ticket.ID == id {
			a.alone = append(a.alone[:i], a.alone[i+1:]...)
			break
		}
	}
	return a.dispatch(now, nil)
}

// Tick lets time pass.
func (a *Admitter) Tick(now time.Duration) []hornbeamcroft.Decision {
	a.init(now)
	return a.dispatch(now, nil)
}

// Pressure returns the admission level that answers carry.
func (a *Admitter) Pressure(now time.Duration) hornbeamcroft.Pressure {
	a.init(now)
	return a.level.pressure(a.Service)
}

// Limit returns the concurrency limit.
func (a *Admitter) Limit() int { return a.limiter.Limit() }

// InFlight returns the number of admitted tickets.
func (a *Admitter) InFlight() int { return len(a.running) }

// Waiting returns the number of waiting tickets.
func (a *Admitter) Waiting() int { return a.queue.Len() + len(a.alone) }

// dispatch drops what expired and starts what fits; it appends the decisions to ds.
func (a *Admitter) dispatch(now time.Duration, ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	ds = a.expire(now, ds)
	if len(a.alone) > 0 {
		return a.dispatchAlone(ds)
	}
	for a.free() {
		e, ok := a.queue.Pop()
		if !ok {
			break
		}
		if a.tooLate(now, e.Ticket) {
			ds = append(ds, a.refuseLate(e.Ticket))
			continue
		}
		ds = append(ds, a.start(e.Ticket))
	}
	return ds
}

// dispatchAlone starts the first isolated run once nothing else runs.
func (a *Admitter) dispatchAlone(ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	if len(a.running) > 0 {
		return ds
	}
	e := a.alone[0]
	a.alone = a.alone[1:]
	a.aloneRunning = true
	return append(ds, a.start(e.Ticket))
}

func (a *Admitter) expire(now time.Duration, ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	a.queue.MaxWait = max(a.QueueTime, queueServiceTimes*a.limiter.Median(now))
	a.expired = a.queue.Expire(now, a.expired[:0])
	a.level.w.dropped += len(a.expired)
	for _, e := range a.expired {
		a.counts.Expired[e.Ticket.Importance]++
		ds = append(ds, refuse(e.Ticket, hornbeamcroft.CodeQueueExpired, a.QueueTime))
	}
	for len(a.alone) > 0 && (now-a.alone[0].Arrived >= aloneWait || now >= a.alone[0].Ticket.Deadline) {
		ds = append(ds, refuse(a.alone[0].Ticket, hornbeamcroft.CodeSuspectWaiting, aloneWait))
		a.alone = a.alone[1:]
	}
	return ds
}

// free reports whether a call that needs no isolation may start.
func (a *Admitter) free() bool {
	return !a.aloneRunning && len(a.alone) == 0 && len(a.running) < a.limiter.Limit()
}

// tooLate reports whether the remaining time cannot suffice for the observed service time.
func (a *Admitter) tooLate(now time.Duration, t hornbeamcroft.Ticket) bool {
	return now+a.limiter.Median(now) >= t.Deadline
}

func (a *Admitter) start(t hornbeamcroft.Ticket) hornbeamcroft.Decision {
	a.running[t.ID] = t.Alone
	a.level.w.started++
	a.counts.Admitted++
	return hornbeamcroft.Decision{ID: t.ID, Admitted: true}
}

func (a *Admitter) refuseLate(t hornbeamcroft.Ticket) hornbeamcroft.Decision {
	a.counts.TooLate++
	return refuse(t, hornbeamcroft.CodeDeadlineTooShort, 0)
}

// refuse spreads Retry-After between half and one and a half of after by the hash, so that refused callers do not
// return together.
func refuse(t hornbeamcroft.Ticket, c hornbeamcroft.Code, after time.Duration) hornbeamcroft.Decision {
	after = after/2 + after*time.Duration(t.Hash)/hornbeamcroft.ThresholdAll
	return hornbeamcroft.Decision{ID: t.ID, Code: c, RetryAfter: after}
}
