// Package scheduler decides which calls run at one upstream, and when. Calls that fit into the free slots run at once.
// The others wait in the order of the latest time at which they can start and still meet their objective, with a lead
// for important requests and for calls of requests that run already.
package scheduler

import (
	"container/heap"
	"math"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/leveler"
)

var _ hornbeamcroft.Admitter = (*Scheduler)(nil)

const (
	// usableShare is the part of the slots that is used. Upstreams slow down when they are nearly full, and probes and
	// new connections take a slot for a moment.
	usableShare = 0.95
	// importanceLead is the time by which a call is preferred to one of the next lower importance. It is longer than calls
	// usually wait: with a shorter one, calls that the upstream has no room for wait until they go before important ones.
	importanceLead = time.Second
	// innerLead is the time by which a call of a running request is preferred to the start of a new one: turning it away
	// wastes the work above it.
	innerLead = 100 * time.Millisecond
	// noObjective is the time within which a call without an objective should run.
	noObjective = time.Second
	// holdGain is the weight of one call in the smoothed time for which a call holds a slot.
	holdGain = 0.05
	// ageFactor turns the mean age of the running calls into a lower bound of the time that they will hold their slots. A
	// call that is in progress is on average half done if all take the same time.
	ageFactor = 1.5
	// holdHalfLife is the time in which the smoothed time halves without calls, so that an upstream which was slow once
	// is tried again.
	holdHalfLife = 3 * time.Second
	// failGain is the weight of one call in the share of failed calls, and failHalfLife the time in which the share halves
	// without calls: an upstream that is avoided for its failures would otherwise be avoided for ever.
	failGain     = 0.05
	failHalfLife = 2 * time.Second
	// maxWaiting bounds the calls that wait.
	maxWaiting = 4096
)

// Scheduler is the admission of one upstream. It is not safe for concurrent use.
type Scheduler struct {
	// Service is named in the pressure.
	Service string
	// Slots is the number of calls that the upstream runs at once; at least 1.
	Slots int

	queue   queue
	running map[uint64]runner
	// hold is the smoothed time in seconds for which a call holds a slot, failing the smoothed share of failed calls.
	hold, failing float64
	// learnedAt is the time of hold and judgedAt that of failing.
	learnedAt, judgedAt time.Duration
	// begun is the sum of the times at which the running calls started, without the doubtful ones.
	begun time.Duration
	// doubtful is the number of running calls whose answer is probably lost, answered the latest start of a call that was
	// answered.
	doubtful int
	answered time.Duration
	level    level
}

// runner is a call at the upstream.
type runner struct {
	ticket   hornbeamcroft.Ticket
	started  time.Duration
	doubtful bool
}

// Limit returns the number of calls that may run at once. It does not fall when the upstream refuses calls: this node is
// its only sender, so a refusal within the slots is a fault of the upstream and no sign of a lack of room.
func (s *Scheduler) Limit() int { return max(1, int(float64(s.Slots)*usableShare)) }

// Arrive offers a call.
func (s *Scheduler) Arrive(now time.Duration, t hornbeamcroft.Ticket) []hornbeamcroft.Decision {
	if s.running == nil {
		s.running = make(map[uint64]runner)
	}
	s.level.arrive(now, s, t)
	if code := s.hopeless(now, t); code != 0 {
		return []hornbeamcroft.Decision{{ID: t.ID, Code: code}}
	}
	heap.Push(&s.queue, entry{ticket: t, arrived: now, key: key(now, t)})
	ds := s.dispatch(now, nil)
	if len(s.queue.entries) > maxWaiting {
		e := s.queue.last()
		heap.Remove(&s.queue, e)
		ds = append(ds, hornbeamcroft.Decision{ID: s.queue.removed.ticket.ID, Code: hornbeamcroft.CodeOverloaded})
	}
	return ds
}

// hopeless returns the reason why the call is refused at once, or zero. The start of a new request is refused if the
// calls before it leave no time for its objective. A call of a running request waits as long as its deadline allows.
func (s *Scheduler) hopeless(now time.Duration, t hornbeamcroft.Ticket) hornbeamcroft.Code {
	hold := s.holdTime(now)
	if now+hold/2 >= t.Deadline {
		return hornbeamcroft.CodeDeadlineTooShort
	}
	limit := s.Limit()
	if s.busy() < limit {
		return 0
	}
	ahead := s.queue.before(key(now, t))
	start := now + hold*time.Duration(ahead+1)/time.Duration(limit)
	switch {
	case start+hold/2 >= t.Deadline:
		return hornbeamcroft.CodeOverloaded
	case t.Depth == 1 && t.Objective > 0 && start+hold >= t.Objective && now+hold < t.Objective:
		return hornbeamcroft.CodeOverloaded
	}
	return 0
}

// key orders waiting calls: the lower key starts first. The start of a request whose objective has passed does not go before
// others that can still meet theirs; a call of a running one does, because the slots above it are held meanwhile.
func key(now time.Duration, t hornbeamcroft.Ticket) time.Duration {
	k := t.Objective
	if k == 0 || t.Depth == 1 && k <= now {
		k = now + noObjective
	}
	k = min(k, t.Deadline)
	k -= time.Duration(t.Importance) * importanceLead
	if t.Depth > 1 {
		k -= innerLead
	}
	return k
}

// Finish ends a call that was admitted.
func (s *Scheduler) Finish(now time.Duration, id uint64, p hornbeamcroft.Sample) []hornbeamcroft.Decision {
	r, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	if r.doubtful {
		s.doubtful--
	} else {
		s.begun -= r.started
	}
	unanswered := p.Ignore || p.Failed
	if !unanswered {
		s.answered = max(s.answered, r.started)
	}
	if !r.doubtful || !unanswered {
		s.level.finish(now, s, r.ticket.Importance, now-r.started)
		s.learn(now, p)
	}
	return s.dispatch(now, nil)
}

// Doubt tells that a running call takes far longer than usual. If one that started later was answered meanwhile, the upstream
// works, and the answer of the call is probably lost: it counts as failed and holds no slot any more, and how long it waits
// says nothing about the time that calls take, or about the demand. It reports whether that is so.
func (s *Scheduler) Doubt(now time.Duration, id uint64) ([]hornbeamcroft.Decision, bool) {
	r, ok := s.running[id]
	if !ok || r.doubtful || r.started >= s.answered {
		return nil, r.doubtful
	}
	r.doubtful = true
	s.running[id] = r
	s.doubtful++
	s.begun -= r.started
	s.learn(now, hornbeamcroft.Sample{Failed: true})
	return s.dispatch(now, nil), true
}

// busy returns the number of slots that are taken.
func (s *Scheduler) busy() int { return len(s.running) - s.doubtful }

func (s *Scheduler) learn(now time.Duration, p hornbeamcroft.Sample) {
	if p.Ignore {
		return
	}
	failed := 0.0
	if p.Failed || p.Overloaded {
		failed = 1
	}
	s.failing = s.failingAt(now)
	s.failing += (failed - s.failing) * failGain
	s.judgedAt = now
	if p.ServiceTime <= 0 || failed > 0 {
		return
	}
	if s.hold == 0 {
		s.hold = p.ServiceTime.Seconds()
	}
	s.hold += (p.ServiceTime.Seconds() - s.hold) * holdGain
	s.learnedAt = now
}

// failingAt returns the share of failed calls, which fades while there are none.
func (s *Scheduler) failingAt(now time.Duration) float64 {
	return s.failing * math.Exp2(-float64(now-s.judgedAt)/float64(failHalfLife))
}

// holdTime returns the time for which a call is expected to hold a slot. Calls that run for longer than earlier ones show
// that the upstream has become slow before the first of them ends.
func (s *Scheduler) holdTime(now time.Duration) time.Duration {
	hold := s.hold
	if n := s.busy(); n > 0 {
		age := (now - s.begun/time.Duration(n)).Seconds()
		hold = max(hold, ageFactor*age)
	} else {
		hold *= math.Exp2(-float64(now-s.learnedAt) / float64(holdHalfLife))
	}
	return time.Duration(hold * float64(time.Second))
}

// Cancel withdraws a waiting call.
func (s *Scheduler) Cancel(now time.Duration, id uint64) []hornbeamcroft.Decision {
	if i := s.queue.find(id); i >= 0 {
		heap.Remove(&s.queue, i)
	}
	return s.dispatch(now, nil)
}

// Tick lets time pass.
func (s *Scheduler) Tick(now time.Duration) []hornbeamcroft.Decision {
	s.level.advance(now, s)
	return s.dispatch(now, nil)
}

// Flush refuses all waiting calls, because the upstream takes no more.
func (s *Scheduler) Flush(code hornbeamcroft.Code) []hornbeamcroft.Decision {
	var ds []hornbeamcroft.Decision
	for _, e := range s.queue.entries {
		ds = append(ds, hornbeamcroft.Decision{ID: e.ticket.ID, Code: code})
	}
	s.queue.entries = nil
	return ds
}

// dispatch starts what fits and drops what can no longer be finished; it appends the decisions to ds.
func (s *Scheduler) dispatch(now time.Duration, ds []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	hold := s.holdTime(now)
	for len(s.queue.entries) > 0 {
		e := s.queue.entries[0]
		late := now+hold/2 >= e.ticket.Deadline
		if !late && s.busy() >= s.Limit() {
			break
		}
		heap.Pop(&s.queue)
		if late {
			ds = append(ds, hornbeamcroft.Decision{ID: e.ticket.ID, Code: hornbeamcroft.CodeQueueExpired})
			continue
		}
		s.running[e.ticket.ID] = runner{ticket: e.ticket, started: now}
		s.begun += now
		ds = append(ds, hornbeamcroft.Decision{ID: e.ticket.ID, Admitted: true})
	}
	return ds
}

// Pressure returns the admission level that answers carry.
func (s *Scheduler) Pressure(now time.Duration) hornbeamcroft.Pressure {
	var l leveler.Leveler
	l.Add(s.Load(now))
	return l.Pressure(s.Service)
}

// Load returns what senders need to place their calls, and to decide which requests start.
func (s *Scheduler) Load(now time.Duration) hornbeamcroft.Load {
	s.level.advance(now, s)
	l := hornbeamcroft.Load{
		Running: s.busy(), Waiting: len(s.queue.entries), Limit: s.Limit(), Hold: s.holdTime(now),
		Failing: int(s.failingAt(now) * 1000),
	}
	s.level.report(&l)
	return l
}
