// Package scheduler decides which calls run at one upstream, and when. A call that finds a free slot runs at once.
// The others wait in the order of their objective or deadline; important requests and child calls, which belong to
// requests that already run, are preferred by a fixed lead.
package scheduler

import (
	"container/heap"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/leveler"
	"hornbeamcroft/pacer"
)

var _ hornbeamcroft.Admitter = (*Scheduler)(nil)

const (
	// usableShare is the share of the slots that the scheduler fills. Upstreams slow down when they are nearly full,
	// and probes and new connections take a slot for a moment.
	usableShare = 0.95
	// importanceLead is the time by which a call is preferred to one of the next lower importance. It exceeds the usual
	// wait: with a shorter lead, less important calls that exceed the capacity would age in the queue until they
	// overtake important ones.
	importanceLead = time.Second
	// childLead is the time by which a child call is preferred to the start of a new request: refusing a child call
	// wastes the work already done above it.
	childLead = 100 * time.Millisecond
	// excessDelay is the time by which a call beyond the share of its tenant is put behind others. It is below importanceLead, so that
	// it stays before less important calls.
	excessDelay = 900 * time.Millisecond
	// defaultObjective is the time within which a call should run if it has no objective, or if it starts a request
	// whose objective has passed.
	defaultObjective = time.Second
	// serviceTimeGain is the weight of one call in the smoothed service time, the time for which a call holds a slot.
	serviceTimeGain = 0.05
	// minSamples is the number of calls that have ended from which on the service time is reported. The first calls to end are the
	// shortest: with the service time of these, a node that has just started would get all calls.
	minSamples = 1 / serviceTimeGain
	// ageFactor times the mean age of the running calls is a lower bound of their service time. If all calls take the
	// same time, a running call is on average half done.
	ageFactor = 1.5
	// serviceTimeHalfLife is the time in which the smoothed service time halves while there are no calls, so that an
	// upstream that was slow once is tried again.
	serviceTimeHalfLife = 3 * time.Second
	// failureGain is the weight of one call in the failure ratio. failureHalfLife is the time in which the ratio halves
	// while there are no calls: otherwise senders would avoid an upstream for ever once it has failed.
	failureGain     = 0.05
	failureHalfLife = 2 * time.Second
	// maxWaiting bounds the number of waiting calls.
	maxWaiting = 4096
)

// Scheduler admits calls to the slots of one upstream. It is not safe for concurrent use.
type Scheduler struct {
	// Service is the name of the service in the AdmissionLevel.
	Service string
	// Slots is the number of calls that the upstream runs at once, at least 1.
	Slots int

	pacer   pacer.Pacer
	queue   queue
	running map[uint64]runningCall
	// serviceSeconds is the smoothed service time in seconds, failureRatio the smoothed ratio of failed calls, 0 to 1.
	serviceSeconds, failureRatio float64
	// samples is the number of calls in serviceSeconds, at most minSamples.
	samples int
	// serviceTimeAt is when serviceSeconds was last updated, failureRatioAt when failureRatio was.
	serviceTimeAt, failureRatioAt time.Duration
	// startSum is the sum of the start times of the running calls, without those whose answer is presumed lost.
	startSum time.Duration
	// presumedLost is the number of running calls whose answer is presumed lost. lastAnsweredStart is the latest start
	// time among the calls that were answered.
	presumedLost      int
	lastAnsweredStart time.Duration
	demandEstimator   demandEstimator
}

// runningCall is a call at the upstream.
type runningCall struct {
	ticket       hornbeamcroft.Ticket
	started      time.Duration
	presumedLost bool
}

// Limit returns the number of calls that may run at once. It does not fall when the upstream refuses calls: this node
// is the only sender, so a refusal within the slots is a fault of the upstream and not a sign of missing capacity.
func (s *Scheduler) Limit() int { return max(1, int(float64(s.Slots)*usableShare)) }

// Arrive offers a call to the scheduler, which admits, refuses or queues it. The decisions may include some on other
// calls.
func (s *Scheduler) Arrive(now time.Duration, t hornbeamcroft.Ticket) []hornbeamcroft.Decision {
	if s.running == nil {
		s.running = make(map[uint64]runningCall)
	}
	s.demandEstimator.arrive(now, s, t)
	priority := startPriority(now, t)
	if s.demandEstimator.sharer.Exceeds(t.Tenant, t.Importance, float64(t.Weight)) {
		priority += excessDelay
	}
	if code := s.refusalCode(now, t, priority); code != 0 {
		return []hornbeamcroft.Decision{{ID: t.ID, Code: code}}
	}
	heap.Push(&s.queue, entry{ticket: t, arrived: now, key: priority})
	decisions := s.dispatch(now, nil)
	if len(s.queue.entries) > maxWaiting {
		last := s.queue.greatestKeyIndex()
		heap.Remove(&s.queue, last)
		decisions = append(decisions, hornbeamcroft.Decision{ID: s.queue.removed.ticket.ID, Code: hornbeamcroft.CodeOverloaded})
	}
	return decisions
}

// refusalCode returns the code with which the call is refused at once, or zero. A call is refused if its deadline
// leaves no more than half of the expected service time, at once or after the calls ahead of it. The start of a new
// request is also refused if the calls ahead of it leave no time to meet its objective, unless it would miss the
// objective even on a free slot. A child call waits as long as its deadline allows.
// The calls ahead are those with an earlier priority.
func (s *Scheduler) refusalCode(now time.Duration, t hornbeamcroft.Ticket, priority time.Duration) hornbeamcroft.Code {
	serviceTime := s.serviceTime(now)
	if now+serviceTime/2 >= t.Deadline {
		return hornbeamcroft.CodeDeadlineTooShort
	}
	ahead := s.queue.countBefore(priority)
	estimatedStart := now
	if limit := s.Limit(); s.busySlots() >= limit {
		estimatedStart += serviceTime * time.Duration(ahead+1) / time.Duration(limit)
	}
	if wait := s.pacer.Wait(now, ahead); wait > 0 {
		estimatedStart = max(estimatedStart, now+wait)
		if wait > maxPaceWait(now, t) {
			return hornbeamcroft.CodeOverloaded
		}
	}
	if estimatedStart == now {
		return 0
	}
	switch {
	case estimatedStart+serviceTime/2 >= t.Deadline:
		return hornbeamcroft.CodeOverloaded
	case t.Depth == 1 && t.Objective > 0 && estimatedStart+serviceTime >= t.Objective && now+serviceTime < t.Objective:
		return hornbeamcroft.CodeOverloaded
	}
	return 0
}

// startPriority returns the time by which waiting calls are ordered: the objective or the deadline of the call, the
// earlier one, less the leads for its importance and for a child call. The call with the earliest time starts first. A
// new request whose objective has passed is treated as one without an objective, so that it does not start before
// requests that can still meet theirs. A child call keeps its passed objective, because its parents hold slots while it
// waits.
func startPriority(now time.Duration, t hornbeamcroft.Ticket) time.Duration {
	k := t.Objective
	if k == 0 || t.Depth == 1 && k <= now {
		k = now + defaultObjective
	}
	k = min(k, t.Deadline)
	k -= time.Duration(t.Importance) * importanceLead
	if t.Depth > 1 {
		k -= childLead
	}
	return k
}

// Finish ends an admitted call and frees its slot.
func (s *Scheduler) Finish(now time.Duration, id uint64, sample hornbeamcroft.Sample) []hornbeamcroft.Decision {
	r, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	if r.presumedLost {
		s.presumedLost--
	} else {
		s.startSum -= r.started
	}
	unanswered := sample.Ignore || sample.Failed
	if !unanswered {
		s.lastAnsweredStart = max(s.lastAnsweredStart, r.started)
	}
	if !r.presumedLost || !unanswered {
		s.demandEstimator.finish(now, s, r.ticket.Importance, now-r.started)
		s.updateEstimates(now, sample)
	}
	return s.dispatch(now, nil)
}

// PresumeLost must be called when a running call has reached its attempt timeout. If a call that started later was
// answered in the meantime, the upstream works, and the answer of this call is presumed lost: the call counts as
// failed, holds no slot any more, and is left out of the service time and of the demand unless its answer arrives after
// all. PresumeLost reports whether the answer is presumed lost.
func (s *Scheduler) PresumeLost(now time.Duration, id uint64) ([]hornbeamcroft.Decision, bool) {
	r, ok := s.running[id]
	if !ok || r.presumedLost || r.started >= s.lastAnsweredStart {
		return nil, r.presumedLost
	}
	r.presumedLost = true
	s.running[id] = r
	s.presumedLost++
	s.startSum -= r.started
	s.updateEstimates(now, hornbeamcroft.Sample{Failed: true})
	return s.dispatch(now, nil), true
}

// busySlots returns the number of slots in use.
func (s *Scheduler) busySlots() int { return len(s.running) - s.presumedLost }

// Cancel removes a waiting call from the queue. It does not affect a call that was admitted.
func (s *Scheduler) Cancel(now time.Duration, id uint64) []hornbeamcroft.Decision {
	if i := s.queue.indexOf(id); i >= 0 {
		heap.Remove(&s.queue, i)
	}
	return s.dispatch(now, nil)
}

// Tick admits waiting calls to free slots and refuses those whose deadline is too close.
func (s *Scheduler) Tick(now time.Duration) []hornbeamcroft.Decision {
	s.demandEstimator.advance(now, s)
	return s.dispatch(now, nil)
}

// Flush refuses all waiting calls with the code. The runner calls it when the upstream is not registered or is draining.
func (s *Scheduler) Flush(code hornbeamcroft.Code) []hornbeamcroft.Decision {
	var decisions []hornbeamcroft.Decision
	for _, e := range s.queue.entries {
		decisions = append(decisions, hornbeamcroft.Decision{ID: e.ticket.ID, Code: code})
	}
	s.queue.entries = nil
	return decisions
}

// dispatch admits waiting calls to free slots and refuses those whose deadline leaves no more than half of the expected
// service time. It appends the decisions to those given.
func (s *Scheduler) dispatch(now time.Duration, decisions []hornbeamcroft.Decision) []hornbeamcroft.Decision {
	serviceTime := s.serviceTime(now)
	for len(s.queue.entries) > 0 {
		e := s.queue.entries[0]
		late := now+serviceTime/2 >= e.ticket.Deadline
		if !late && (s.busySlots() >= s.Limit() || !s.pacer.Take(now)) {
			break
		}
		heap.Pop(&s.queue)
		if late {
			decisions = append(decisions, hornbeamcroft.Decision{ID: e.ticket.ID, Code: hornbeamcroft.CodeQueueExpired})
			continue
		}
		s.running[e.ticket.ID] = runningCall{ticket: e.ticket, started: now}
		s.startSum += now
		decisions = append(decisions, hornbeamcroft.Decision{ID: e.ticket.ID, Admitted: true})
	}
	return decisions
}

// AdmissionLevel returns the admission level that answers carry to their senders.
func (s *Scheduler) AdmissionLevel(now time.Duration) hornbeamcroft.AdmissionLevel {
	var l leveler.Leveler
	l.Add(s.Load(now))
	return l.AdmissionLevel(s.Service)
}

// Load returns the load report by which senders place calls and decide which requests start.
func (s *Scheduler) Load(now time.Duration) hornbeamcroft.Load {
	s.demandEstimator.advance(now, s)
	l := hornbeamcroft.Load{
		Running: s.busySlots(), Waiting: len(s.queue.entries),
		FailureRatio: int(s.currentFailureRatio(now) * 1000),
	}
	l.Limit, l.ServiceTime = s.concurrency(now)
	s.demandEstimator.report(&l)
	return l
}
