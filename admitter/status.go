package admitter

import (
	"time"

	"hornbeamcroft"
)

// Status is a snapshot for metrics and the status page.
type Status struct {
	// Limit is the present concurrency limit, 1 to the slots.
	Limit    int `json:"limit"`
	InFlight int `json:"in-flight"`
	Waiting  int `json:"waiting"`
	// Importance is the lowest importance that is admitted, and Share the part of it, 0 to 1.
	Importance string  `json:"importance"`
	Share      float64 `json:"share"`
	// ServiceTime is the estimated p50 of the service time.
	ServiceTime time.Duration `json:"service-time-ns"`
	Counts
}

// Counts are numbers of tickets since the start.
type Counts struct {
	Admitted uint64 `json:"admitted"`
	// Shed counts the tickets refused by the admission level, by importance.
	Shed [hornbeamcroft.ImportanceCount]uint64 `json:"shed"`
	// Displaced counts the tickets refused because the queue was full, by importance.
	Displaced [hornbeamcroft.ImportanceCount]uint64 `json:"displaced"`
	// Expired counts the tickets that waited too long, by importance.
	Expired [hornbeamcroft.ImportanceCount]uint64 `json:"expired"`
	// TooLate counts the tickets refused because their remaining time was below the p50 service time.
	TooLate uint64 `json:"too-late"`
}

// Status returns a snapshot at now.
func (a *Admitter) Status(now time.Duration) Status {
	a.init(now)
	return Status{
		Limit: a.limiter.Limit(), InFlight: len(a.running), Waiting: a.queue.Len() + len(a.alone),
		Importance: a.level.importance.String(), Share: a.level.share,
		ServiceTime: a.limiter.Median(now), Counts: a.counts,
	}
}
