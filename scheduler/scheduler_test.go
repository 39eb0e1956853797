package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

const hold = 100 * time.Millisecond

// busy returns a scheduler of one slot that is taken, and has learned how long a call takes.
func busy() *Scheduler {
	s := &Scheduler{Service: "s", Slots: 1}
	for id := range uint64(20) {
		at := time.Duration(id) * hold
		s.Arrive(at, hornbeamcroft.Ticket{ID: 100 + id, Depth: 1, Deadline: at + time.Hour})
		s.Finish(at+hold, 100+id, hornbeamcroft.Sample{ServiceTime: hold})
	}
	s.Arrive(start, hornbeamcroft.Ticket{ID: 99, Depth: 1, Deadline: start + time.Hour})
	return s
}

// start is when the slot of a busy scheduler is taken.
const start = 20 * hold

func ticket(id uint64, depth int, i hornbeamcroft.Importance, objective, deadline time.Duration) hornbeamcroft.Ticket {
	t := hornbeamcroft.Ticket{ID: id, Depth: depth, Importance: i, Deadline: start + deadline}
	if objective != 0 {
		t.Objective = start + objective
	}
	return t
}

// drain ends the running call again and again and returns the calls in the order in which they were admitted.
func drain(s *Scheduler, running uint64, now time.Duration) []uint64 {
	var order []uint64
	for {
		admitted := uint64(0)
		for _, d := range s.Finish(now, running, hornbeamcroft.Sample{ServiceTime: hold}) {
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

// TestOrder guards against less important calls that go before others, and against calls of running requests and callers
// that are short of time that wait behind those that are not.
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
		"calls of running requests": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, time.Second, time.Hour), ticket(2, 3, normal, time.Second, time.Hour)},
			[]uint64{2, 1},
		},
		"late requests do not go first": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, -time.Second, time.Hour), ticket(2, 1, normal, 900*time.Millisecond, time.Hour)},
			[]uint64{2, 1},
		},
		"late calls of running requests do": {
			[]hornbeamcroft.Ticket{ticket(1, 1, normal, 500*time.Millisecond, time.Hour), ticket(2, 2, normal, -time.Second, time.Hour)},
			[]uint64{2, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := busy()
			for _, ticket := range c.tickets {
				s.Arrive(start, ticket)
			}
			is.Equal(drain(s, 99, start+hold), c.order)
		})
	}
}

// TestRefusals guards against calls that wait although they cannot be finished, and against refusing those that can.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		ticket hornbeamcroft.Ticket
		code   hornbeamcroft.Code
	}{
		"no time to run":           {ticket(1, 1, 0, 0, hold/4), hornbeamcroft.CodeDeadlineTooShort},
		"no time to wait":          {ticket(1, 1, 0, 0, hold), hornbeamcroft.CodeOverloaded},
		"objective missed":         {ticket(1, 1, 0, 3*hold/2, time.Hour), hornbeamcroft.CodeOverloaded},
		"a call of a running one":  {ticket(1, 2, 0, 3*hold/2, time.Hour), 0},
		"missed however it starts": {ticket(1, 1, 0, hold/2, time.Hour), 0},
		"time enough":              {ticket(1, 1, 0, 10*hold, time.Hour), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := busy()
			ds := s.Arrive(start, c.ticket)
			if c.code == 0 {
				is.Equal(len(ds), 0)
				return
			}
			is.Equal(len(ds), 1)
			is.Equal(ds[0].Code, c.code)
		})
	}
}

// TestSlots guards against more calls at the upstream than it has slots, and against calls that are lost in the queue.
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

// TestExpiry guards against a call that starts after its deadline or waits beyond it.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	s := busy()
	is.Equal(len(s.Arrive(start, ticket(1, 2, 0, 0, 3*hold))), 0)
	is.Equal(len(s.Tick(start+hold)), 0)
	ds := s.Tick(start + 3*hold)
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Code, hornbeamcroft.CodeQueueExpired)
}

// doubted returns a scheduler with a call that runs for far too long, and another one that was answered meanwhile if
// answered is set.
func doubted(answered bool) (*Scheduler, time.Duration) {
	s := busy()
	s.Slots = 10
	now := start + 20*hold
	if answered {
		s.Arrive(now-hold, ticket(1, 1, hornbeamcroft.ImportanceNormal, 0, time.Hour))
		s.Finish(now, 1, hornbeamcroft.Sample{ServiceTime: hold})
	}
	return s, now
}

// TestDoubt guards against an upstream that loses some answers and seems slow and full for it: what waits for a lost answer
// is no measure of the time that a call takes, and holds no slot.
func TestDoubt(t *testing.T) {
	is := is.New(t)
	s, now := doubted(true)
	is.True(s.Load(now).Hold > 10*hold)
	for range 2 {
		_, lost := s.Doubt(now, 99)
		is.True(lost)
	}
	l := s.Load(now)
	is.True(l.Hold <= hold)
	is.Equal(l.Running, 0)
	is.True(l.Failing > 0)
	demand := s.level.hold
	s.Finish(now, 99, hornbeamcroft.Sample{Ignore: true, ServiceTime: now})
	is.Equal(s.level.hold, demand)
	is.Equal(s.Load(now).Failing, l.Failing) // counted once
	is.Equal(s.doubtful, 0)
}

// TestSlowUpstream guards against an upstream that stands still and is given more calls because those that it has are taken
// for lost.
func TestSlowUpstream(t *testing.T) {
	is := is.New(t)
	s, now := doubted(false)
	_, lost := s.Doubt(now, 99)
	is.True(!lost)
	l := s.Load(now)
	is.True(l.Hold > 10*hold)
	is.Equal(l.Running, 1)
	is.Equal(l.Failing, 0)
}

// TestDoubtfulAnswer guards against a slow call that is not learned from because it was taken for lost before.
func TestDoubtfulAnswer(t *testing.T) {
	is := is.New(t)
	s, now := doubted(true)
	s.Doubt(now, 99)
	s.Finish(now, 99, hornbeamcroft.Sample{ServiceTime: 20 * hold})
	is.True(s.Load(now).Hold > hold)
	is.Equal(s.Load(now).Running, 0)
}
