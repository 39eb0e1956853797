// Package filer is plain admission: a fixed number of slots and a first-in-first-out queue. It is the baseline against
// which the admitter is measured.
package filer

import (
	"slices"
	"time"

	"hornbeamcroft"
)

var _ hornbeamcroft.Admitter = (*Filer)(nil)

// DefaultMaxQueue is the bound of the queue in tickets, a usual backlog of a listening socket.
const DefaultMaxQueue = 1024

// Filer admits tickets in order of arrival, whatever their importance and deadline. It is not safe for concurrent use.
type Filer struct {
	// Service names the service in the admission level.
	Service string
	// Slots is the number of calls that run at once; zero admits all at once.
	Slots int
	// MaxQueue bounds the queue; DefaultMaxQueue if zero.
	MaxQueue int

	running map[uint64]bool
	queue   []hornbeamcroft.Ticket
}

// Arrive offers a ticket.
func (f *Filer) Arrive(_ time.Duration, t hornbeamcroft.Ticket) []hornbeamcroft.Decision {
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

// Finish ends an admitted ticket.
func (f *Filer) Finish(_ time.Duration, id uint64, _ hornbeamcroft.Sample) []hornbeamcroft.Decision {
	delete(f.running, id)
	return f.dispatch()
}

// Cancel withdraws a waiting ticket.
func (f *Filer) Cancel(_ time.Duration, id uint64) []hornbeamcroft.Decision {
	f.queue = slices.DeleteFunc(f.queue, func(t hornbeamcroft.Ticket) bool { return t.ID == id })
	return f.dispatch()
}

// Tick does nothing: time has no part in the decisions.
func (f *Filer) Tick(time.Duration) []hornbeamcroft.Decision { return nil }

// AdmissionLevel returns the level that admits every request.
func (f *Filer) AdmissionLevel(time.Duration) hornbeamcroft.AdmissionLevel {
	return hornbeamcroft.AdmissionLevel{Service: f.Service, Threshold: hornbeamcroft.ThresholdAll}
}

// dispatch starts what fits. An isolated run waits until nothing runs, and nothing starts beside it, as isolation is
// not an optional part of admission.
func (f *Filer) dispatch() []hornbeamcroft.Decision {
	if f.running == nil {
		f.running = make(map[uint64]bool)
	}
	var ds []hornbeamcroft.Decision
	for len(f.queue) > 0 && (f.Slots == 0 || len(f.running) < f.Slots) {
		t := f.queue[0]
		if len(f.running) > 0 && (t.Isolated || f.isolatedRuns()) {
			break
		}
		f.queue = f.queue[1:]
		f.running[t.ID] = t.Isolated
		ds = append(ds, hornbeamcroft.Decision{ID: t.ID, Admitted: true})
	}
	return ds
}

// isolatedRuns reports whether the only running ticket is an isolated run.
func (f *Filer) isolatedRuns() bool {
	if len(f.running) != 1 {
		return false
	}
	for _, isolated := range f.running {
		return isolated
	}
	return false
}
