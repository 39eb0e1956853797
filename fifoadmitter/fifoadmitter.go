// Package fifoadmitter implements admission with a fixed number of slots and a first-in-first-out queue. It is the
// baseline that the admitter is compared with.
package fifoadmitter

import (
	"slices"
	"time"

	"hornbeamcroft"
)

var _ hornbeamcroft.Admitter = (*FIFOAdmitter)(nil)

// DefaultMaxQueue is the default of FIFOAdmitter.MaxQueue in tickets. 1024 is a usual backlog of a listening socket.
const DefaultMaxQueue = 1024

// FIFOAdmitter admits tickets in order of arrival, whatever their importance and deadline. It is not safe for
// concurrent use.
type FIFOAdmitter struct {
	// Service is the name of the service in the admission level.
	Service string
	// Slots is the maximum number of calls that run at the same time; zero means no limit.
	Slots int
	// MaxQueue is the maximum number of waiting tickets; zero means DefaultMaxQueue.
	MaxQueue int

	// running holds the admitted tickets by ID; the value is true for an isolated run.
	running map[uint64]bool
	queue   []hornbeamcroft.Ticket
}

// Arrive requests admission for a ticket. The ticket is refused if the queue is full.
func (f *FIFOAdmitter) Arrive(_ time.Duration, t hornbeamcroft.Ticket) []hornbeamcroft.Decision {
	limit := f.MaxQueue
	if limit == 0 {
		limit = DefaultMaxQueue
	}
	if len(f.queue) >= limit {
		return []hornbeamcroft.Decision{{ID: t.ID, Code: hornbeamcroft.CodeOverloaded}}
	}
	f.queue = append(f.queue, t)
	return f.dispatch()
}

// Finish records the end of an admitted ticket and admits waiting tickets.
func (f *FIFOAdmitter) Finish(_ time.Duration, id uint64, _ hornbeamcroft.Sample) []hornbeamcroft.Decision {
	delete(f.running, id)
	return f.dispatch()
}

// Cancel withdraws a waiting ticket and admits tickets that waited behind it.
func (f *FIFOAdmitter) Cancel(_ time.Duration, id uint64) []hornbeamcroft.Decision {
	f.queue = slices.DeleteFunc(f.queue, func(t hornbeamcroft.Ticket) bool { return t.ID == id })
	return f.dispatch()
}

// Tick does nothing, because the decisions do not depend on time.
func (f *FIFOAdmitter) Tick(time.Duration) []hornbeamcroft.Decision { return nil }

// AdmissionLevel returns the level that admits every request.
func (f *FIFOAdmitter) AdmissionLevel(time.Duration) hornbeamcroft.AdmissionLevel {
	return hornbeamcroft.AdmissionLevel{Service: f.Service, Threshold: hornbeamcroft.ThresholdAll}
}

// dispatch admits waiting tickets while slots are free. An isolated run waits until no other ticket runs, and no ticket
// is admitted while it runs. The baseline does this too, since isolation is not an optional part of admission.
func (f *FIFOAdmitter) dispatch() []hornbeamcroft.Decision {
	if f.running == nil {
		f.running = make(map[uint64]bool)
	}
	var decisions []hornbeamcroft.Decision
	for len(f.queue) > 0 && (f.Slots == 0 || len(f.running) < f.Slots) {
		t := f.queue[0]
		if len(f.running) > 0 && (t.Isolated || f.isolatedRuns()) {
			break
		}
		f.queue = f.queue[1:]
		f.running[t.ID] = t.Isolated
		decisions = append(decisions, hornbeamcroft.Decision{ID: t.ID, Admitted: true})
	}
	return decisions
}

// isolatedRuns reports whether the only running ticket is an isolated run.
func (f *FIFOAdmitter) isolatedRuns() bool {
	if len(f.running) != 1 {
		return false
	}
	for _, isolated := range f.running {
		return isolated
	}
	return false
}
