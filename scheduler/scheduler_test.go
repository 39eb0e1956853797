package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// serviceTime is how long the calls of the tests take.
const serviceTime = 100 * time.Millisecond

// newBusyScheduler returns a scheduler with one slot, which call 99 holds from start on, and with a learned service
// time.
func newBusyScheduler() *Scheduler {
	s := &Scheduler{Service: "s", Slots: 1}
	for id := range uint64(20) {
		at := time.Duration(id) * serviceTime
		s.Arrive(at, hornbeamcroft.Ticket{ID: 100 + id, Depth: 1, Deadline: at + time.Hour})
		s.Finish(at+serviceTime, 100+id, hornbeamcroft.Sample{ServiceTime: serviceTime})
	}
	s.Arrive(start, hornbeamcroft.Ticket{ID: 99, Depth: 1, Deadline: start + time.Hour})
	return s
}

// start is when the scheduler of newBusyScheduler admits call 99.
const start = 20 * serviceTime

// ticket returns a ticket with its objective and deadline given relative to start; an objective of zero means none.
func ticket(id uint64, depth int, i hornbeamcroft.Importance, objective, deadline time.Duration) hornbeamcroft.Ticket {
	t := hornbeamcroft.Ticket{ID: id, Depth: depth, Importance: i, Deadline: start + deadline}
	if objective != 0 {
		t.Objective = start + objective
	}
	return t
}

// drain finishes the running call, then each call that is admitted next, and returns the ids in the order of admission.
func drain(s *Scheduler, running uint64, now time.Duration) []uint64 {
	var order []uint64
	for {
		admitted := uint64(0)
		for _, d := range s.Finish(now, running, hornbeamcroft.Sample{ServiceTime: serviceTime}) {
			if d.Admitted {
				admitted = d.ID
			}
		}
		if admitted == 0 {
			return order
		}
		order = append(order, admitted)
		running = admitted
	}
}

// TestOrder guards against less important calls that overtake important ones, and against child calls and calls with a
// near objective that wait behind those that can wait.
func TestOrder(t *testing.T) {
	const normal, critical = hornbeamcroft.ImportanceNormal, hornbeamcroft.ImportanceCritical
	for name, c := range map[string]struct {
		tickets []hornbeamcroft.Ticket
		order   []uint64
	}{
		"importance": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, time.Second, time.Hour), ticket(2, 1, critical, time.Second, time.Hour)},
			[]uint64{2, 1},
		},
		"objective": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, 2*time.Second, time.Hour), ticket(2, 1, normal, time.Second, time.Hour)},
			[]uint64{2, 1},
		},
		"child calls": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, time.Second, time.Hour), ticket(2, 3, normal, time.Second, time.Hour)},
			[]uint64{2, 1},
		},
		"late requests do not go first": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, -time.Second, time.Hour), ticket(2, 1, normal, 900*time.Millisecond, time.Hour)},
			[]uint64{2, 1},
		},
		"late child calls go first": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, 500*time.Millisecond, time.Hour), ticket(2, 2, normal, -time.Second, time.Hour)},
			[]uint64{2, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newBusyScheduler()
			for _, ticket := range c.tickets {
				s.Arrive(start, ticket)
			}
			is.Equal(drain(s, 99, start+serviceTime), c.order)
		})
	}
}

// TestRefusals guards against queueing calls that cannot finish in time, and against refusing calls that can.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		ticket hornbeamcroft.Ticket
		code   hornbeamcroft.Code
	}{
		"no time to run":                       {ticket(1, 1, 0, 0, serviceTime/4), hornbeamcroft.CodeDeadlineTooShort},
		"no time to wait":                      {ticket(1, 1, 0, 0, serviceTime), hornbeamcroft.CodeOverloaded},
		"objective missed":                     {ticket(1, 1, 0, 3*serviceTime/2, time.Hour), hornbeamcroft.CodeOverloaded},
		"child call":                           {ticket(1, 2, 0, 3*serviceTime/2, time.Hour), 0},
		"objective missed even on a free slot": {ticket(1, 1, 0, serviceTime/2, time.Hour), 0},
		"time enough":                          {ticket(1, 1, 0, 10*serviceTime, time.Hour), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newBusyScheduler()
			decisions := s.Arrive(start, c.ticket)
			if c.code == 0 {
				is.Equal(len(decisions), 0)
				return
			}
			is.Equal(len(decisions), 1)
			is.Equal(decisions[0].Code, c.code)
		})
	}
}

// TestSlots guards against running more calls than the upstream has usable slots, and against losing calls in the
// queue.
func TestSlots(t *testing.T) {
	is := is.New(t)
	s := &Scheduler{Service: "s", Slots: 10}
	admitted := 0
	for id := range uint64(30) {
		for _, d := range s.Arrive(0, hornbeamcroft.Ticket{ID: id, Depth: 1, Deadline: time.Hour}) {
			is.True(d.Admitted)
			admitted++
		}
	}
	is.Equal(admitted, s.Limit())
	is.Equal(s.Load(0).Waiting, 30-admitted)
	s.Cancel(0, 29)
	is.Equal(len(s.Flush(hornbeamcroft.CodeDraining)), 30-admitted-1)
}

// TestExpiry guards against a call that starts after its deadline or stays queued beyond it.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	s := newBusyScheduler()
	is.Equal(len(s.Arrive(start, ticket(1, 2, 0, 0, 3*serviceTime))), 0)
	is.Equal(len(s.Tick(start+serviceTime)), 0)
	decisions := s.Tick(start + 3*serviceTime)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Code, hornbeamcroft.CodeQueueExpired)
}

// newSchedulerWithSlowCall returns a scheduler in which call 99 has been running for far too long, and the current
// time. If answered is true, a call that started later has been answered.
func newSchedulerWithSlowCall(answered bool) (*Scheduler, time.Duration) {
	s := newBusyScheduler()
	s.Slots = 10
	now := start + 20*serviceTime
	if answered {
		s.Arrive(now-serviceTime, ticket(1, 1, hornbeamcroft.ImportanceNormal, 0, time.Hour))
		s.Finish(now, 1, hornbeamcroft.Sample{ServiceTime: serviceTime})
	}
	return s, now
}

// TestPresumeLost guards against an upstream that loses some answers and therefore seems slow and full: the wait for a lost
// answer does not measure the service time, and must not hold a slot.
func TestPresumeLost(t *testing.T) {
	is := is.New(t)
	s, now := newSchedulerWithSlowCall(true)
	is.True(s.Load(now).ServiceTime > 10*serviceTime)
	for range 2 {
		_, lost := s.PresumeLost(now, 99)
		is.True(lost)
	}
	l := s.Load(now)
	is.True(l.ServiceTime <= serviceTime)
	is.Equal(l.Running, 0)
	is.True(l.FailureRatio > 0)
	serviceSeconds := s.demandEstimator.serviceSeconds
	s.Finish(now, 99, hornbeamcroft.Sample{Ignore: true, ServiceTime: now})
	is.Equal(s.demandEstimator.serviceSeconds, serviceSeconds)
	is.Equal(s.Load(now).FailureRatio, l.FailureRatio) // counted once
	is.Equal(s.presumedLost, 0)
}

// TestSlowUpstream guards against sending more calls to an upstream that has stalled, because the calls that it already
// has are presumed lost.
func TestSlowUpstream(t *testing.T) {
	is := is.New(t)
	s, now := newSchedulerWithSlowCall(false)
	_, lost := s.PresumeLost(now, 99)
	is.True(!lost)
	l := s.Load(now)
	is.True(l.ServiceTime > 10*serviceTime)
	is.Equal(l.Running, 1)
	is.Equal(l.FailureRatio, 0)
}

// TestLateAnswer guards against ignoring the service time of a slow call that is answered after its answer was
// presumed lost.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	s, now := newSchedulerWithSlowCall(true)
	s.PresumeLost(now, 99)
	s.Finish(now, 99, hornbeamcroft.Sample{ServiceTime: 20 * serviceTime})
	is.True(s.Load(now).ServiceTime > serviceTime)
	is.Equal(s.Load(now).Running, 0)
}
