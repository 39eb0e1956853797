package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// newLimitedScheduler returns a scheduler with free slots whose upstream states a limit of 10 calls per second.
func newLimitedScheduler() *Scheduler {
	s := &Scheduler{Service: "s", Slots: 100}
	s.SetRateLimit(0, hornbeamcroft.Statement{Limited: true, RateLimit: 10})
	return s
}

// TestFreeSlotsBeyondLimit guards against calls that start because a slot is free although the stated limit is used up.
func TestFreeSlotsBeyondLimit(t *testing.T) {
	is := is.New(t)
	s := newLimitedScheduler()
	admitted := 0
	now := time.Duration(0)
	var count func(decisions []hornbeamcroft.Decision)
	count = func(decisions []hornbeamcroft.Decision) {
		for _, d := range decisions {
			if d.Admitted {
				admitted++
				count(s.Finish(now, d.ID, hornbeamcroft.Sample{Ignore: true}))
			}
		}
	}
	for ; now < 4*time.Second; now += 10 * time.Millisecond {
		count(s.Arrive(now, hornbeamcroft.Ticket{ID: uint64(now), Depth: 2, Deadline: now + time.Second, Last: true}))
		count(s.Tick(now))
	}
	is.True(admitted >= 38 && admitted <= 41)
	s.SetRateLimit(now, hornbeamcroft.Statement{})
	before := admitted
	waiting := s.Load(now).Waiting
	count(s.Tick(now))
	is.Equal(admitted-before, waiting) // without a limit, all waiting calls start
}

// TestWaitAtLimitBesideFreeUpstream guards against calls that wait at a limited upstream while another could take them.
func TestWaitAtLimitBesideFreeUpstream(t *testing.T) {
	is := is.New(t)
	s := newLimitedScheduler()
	arrive := func(id uint64, last bool) []hornbeamcroft.Decision {
		return s.Arrive(0, hornbeamcroft.Ticket{ID: id, Depth: 2, Deadline: time.Second, Last: last})
	}
	is.Equal(len(arrive(1, false)), 0)
	is.Equal(len(arrive(2, false)), 0)
	refused := arrive(3, false)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Code, hornbeamcroft.CodeOverloaded)
	is.Equal(len(arrive(4, true)), 0)
}

// TestLoadHidesLimit guards against senders that crowd at a limited upstream because its report shows free slots only.
func TestLoadHidesLimit(t *testing.T) {
	is := is.New(t)
	s := newLimitedScheduler()
	l := s.Load(0)
	is.Equal(l.Limit, 1)
	is.Equal(l.ServiceTime, 100*time.Millisecond)
	is.True(l.Capacity <= 1*unitsPerSlot)
	s.SetRateLimit(0, hornbeamcroft.Statement{})
	is.Equal(s.Load(0).Limit, 95)
}
