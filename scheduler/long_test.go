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
// the rate of another number for one service time. It returns the load at the end.
func playLong(before, after int) hornbeamcroft.Load {
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
	for nextID := uint64(1); now < 11*longTime; now += step {
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
		for arrived += float64(rate) * step.Seconds() / longTime.Seconds(); arrived >= 1; arrived-- {
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
	full, free := playLong(22, 26), playLong(10, 10)
	is.True(full.Waiting >= 3)
	is.True(free.Running <= 11)
	level := levelOf(full, free)
	is.Equal(level.Importance, hornbeamcroft.ImportanceLow)
	is.Equal(level.Threshold, uint32(hornbeamcroft.ThresholdAll))
	level = levelOf(full, full)
	is.Equal(level.Importance, hornbeamcroft.ImportanceNormal)
	is.True(level.Threshold < hornbeamcroft.ThresholdAll)
}
