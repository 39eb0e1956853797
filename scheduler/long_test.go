package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/leveler"
)

// longTime is how long calls of seconds take, and longSlots the number of slots of their upstreams, of which 22 are used.
const (
	longTime  = 1900 * time.Millisecond
	longSlots = 24
)

// playLong lets calls arrive at an upstream at a constant rate that keeps the given number of slots busy, and after 10 service times at
// the rate of another number for one service time. At the end, the calls of a burst arrive at once. It returns the load a window later.
func playLong(before, after, burst int) hornbeamcroft.Load {
	const step = 10 * time.Millisecond
	s := &Scheduler{Service: "s", Slots: longSlots}
	ends := make(map[uint64]time.Duration)
	now, arrived := time.Duration(0), 0.0
	apply := func(decisions []hornbeamcroft.Decision) {
		for _, d := range decisions {
			if d.Admitted {
				ends[d.ID] = now + longTime
			}
		}
	}
	for nextID := uint64(1); now <= 11*longTime+demandWindow; now += step {
		rate := before
		if now >= 10*longTime {
			rate = after
		}
		for id, end := range ends {
			if end <= now {
				delete(ends, id)
				apply(s.Finish(now, id, hornbeamcroft.Sample{ServiceTime: longTime}))
			}
		}
		arrived += float64(rate) * step.Seconds() / longTime.Seconds()
		if now == 11*longTime {
			arrived += float64(burst)
		}
		for ; arrived >= 1; arrived-- {
			apply(s.Arrive(now, hornbeamcroft.Ticket{ID: nextID, Depth: 1, Importance: hornbeamcroft.ImportanceNormal, Deadline: now + time.Hour}))
			nextID++
		}
	}
	return s.Load(now)
}

// levelOf returns the admission level that senders derive from the loads.
func levelOf(loads ...hornbeamcroft.Load) hornbeamcroft.AdmissionLevel {
	var l leveler.Leveler
	for _, load := range loads {
		l.Add(load)
	}
	return l.AdmissionLevel("s")
}

// TestFreeSlotsElsewhere guards against requests that are refused for a few calls that wait at one upstream, while another has free slots. If
// calls wait at all upstreams, requests are refused.
func TestFreeSlotsElsewhere(t *testing.T) {
	is := is.New(t)
	full, free := playLong(22, 26, 0), playLong(10, 10, 0)
	is.True(full.Waiting >= 3)
	is.True(free.Running <= 11)
	level := levelOf(full, free)
	is.Equal(level.Importance, hornbeamcroft.ImportanceLow)
	is.Equal(level.Threshold, uint32(hornbeamcroft.ThresholdAll))
	level = levelOf(full, full)
	is.Equal(level.Importance, hornbeamcroft.ImportanceNormal)
	is.True(level.Threshold < hornbeamcroft.ThresholdAll)
}

// TestBurst guards against requests that are refused after a burst of calls for which the upstream has free slots.
func TestBurst(t *testing.T) {
	is := is.New(t)
	load := playLong(10, 10, 10)
	is.Equal(load.Waiting, 0)
	is.Equal(levelOf(load).Threshold, uint32(hornbeamcroft.ThresholdAll))
}

// TestFirstCalls guards against a service time that a node reports soon after its start from the shortest calls, which end first: senders
// would send all calls there. The service time after that must not depend on the very first call either.
func TestFirstCalls(t *testing.T) {
	is := is.New(t)
	s := &Scheduler{Service: "s", Slots: longSlots}
	for id := range uint64(minSamples) {
		s.Arrive(0, hornbeamcroft.Ticket{ID: id + 1, Depth: 1, Deadline: time.Hour})
	}
	for id := range uint64(minSamples) {
		is.Equal(s.Load(longTime/2).ServiceTime, time.Duration(0))
		took := longTime/2 + longTime*time.Duration(id)/(minSamples-1)
		s.Finish(took, id+1, hornbeamcroft.Sample{ServiceTime: took})
	}
	reported := s.Load(2 * longTime).ServiceTime // halves in serviceTimeHalfLife without calls
	is.True(s.smoothedServiceTime() > longTime*95/100)
	is.True(s.smoothedServiceTime() < longTime*105/100)
	is.True(reported > 0)
}
