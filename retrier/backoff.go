package retrier

import (
	"time"

	"hornbeamcroft"
)

// Defaults of the fields of Backoff.
const (
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffCap  = time.Second
)

// Backoff computes the wait before a retry: exponential backoff with full jitter. The wait is drawn uniformly between
// zero and a bound that doubles with each send, so that callers whose calls failed at the same time do not retry at the
// same time.
type Backoff struct {
	// Base is the bound of the wait after the first send; zero means DefaultBackoffBase.
	Base time.Duration
	// Cap is the maximum of the bound; zero means DefaultBackoffCap.
	Cap time.Duration
}

// Wait returns the wait before the next send of a call that has been sent the given number of times.
func (b Backoff) Wait(rnd hornbeamcroft.Rand, tries int) time.Duration {
	base, limit := b.Base, b.Cap
	if base <= 0 {
		base = DefaultBackoffBase
	}
	if limit <= 0 {
		limit = DefaultBackoffCap
	}
	bound := base
	for i := 1; i < tries && bound < limit; i++ {
		bound *= 2
	}
	return time.Duration(rnd.Float64() * float64(min(bound, limit)))
}
