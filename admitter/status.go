package admitter

import (
	"time"

	"hornbeamcroft"
)

// Status is a snapshot for metrics and the status page.
type Status struct {
	// Limit is the current concurrency limit, 1 to the number of slots.
	Limit    int `json:"limit"`
	InFlight int `json:"in-flight"`
	Waiting  int `json:"waiting"`
	// Importance is the lowest importance of which requests are admitted, and Share the admitted share of these
	// requests, 0 to 1.
	Importance string  `json:"importance"`
	Share      float64 `json:"share"`
	// ServiceTime is the estimated median service time.
	ServiceTime time.Duration `json:"service-time-ns"`
	Counts
}

// Counts holds numbers of tickets since the start.
type Counts struct {
	Admitted uint64 `json:"admitted"`
	// Shed counts the tickets refused by the admission level, by importance.
	Shed [hornbeamcroft.ImportanceCount]uint64 `json:"shed"`
	// Displaced counts the tickets refused because the queue was full, by importance.
	Displaced [hornbeamcroft.ImportanceCount]uint64 `json:"displaced"`
	// Expired counts the tickets refused after waiting too long in the queue, by importance.
	Expired [hornbeamcroft.ImportanceCount]uint64 `json:"expired"`
	// TooLate counts the tickets refused because their remaining time was at most the median service time.
	TooLate uint64 `json:"too-late"`
}

// Status returns a snapshot at now.
func (a *Admitter) Status(now time.Duration) Status {
	a.init(now)
	return Status{
		Limit: a.limiter.Limit(), InFlight: len(a.running), Waiting: a.queue.Len() + len(a.isolated),
		Importance: a.level.importance.String(), Share: a.level.share,
		ServiceTime: a.limiter.Median(now), Counts: a.counts,
	}
}
