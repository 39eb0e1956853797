package judge

import (
	"slices"
	"time"
)

// Disruption is a fault or planned operation on a host, or one that is not limited to a single host if Host is empty.
type Disruption struct {
	Kind, Host string
	// Planned is true for operations that must interrupt no request.
	Planned bool
	// Store is true if the store or the connection to it is affected.
	Store bool
	// From is when the disruption began. To is when it ended, or zero if it has not ended.
	From, To time.Time
}

// BeginDisruption adds a disruption that begins now, and returns a function that marks its end.
func (j *Judge) BeginDisruption(d Disruption) func() {
	d.From = time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disruptions = append(j.disruptions, &d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.To = time.Now()
	}
}

// disrupted reports whether an unplanned disruption affected the host, or any host if it is empty, between from and to
// or within settleTime before from.
func (j *Judge) disrupted(from, to time.Time, host string) bool {
	return slices.ContainsFunc(j.disruptions, func(d *Disruption) bool {
		return !d.Planned && (host == "" || d.Host == "" || d.Host == host) && d.during(from.Add(-settleTime), to)
	})
}

// hostDisrupted reports whether an unplanned disruption, other than one of the store, affected the host at the given time or
// within settleTime before. What a node has acknowledged binds it again after that, and binds it while the store is disrupted.
func (j *Judge) hostDisrupted(at time.Time, host string) bool {
	return slices.ContainsFunc(j.disruptions, func(d *Disruption) bool {
		return !d.Planned && !d.Store && (d.Host == "" || d.Host == host) && d.during(at.Add(-settleTime), at)
	})
}

// during reports whether the disruption overlaps the time between from and to.
func (d *Disruption) during(from, to time.Time) bool {
	return d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
}
