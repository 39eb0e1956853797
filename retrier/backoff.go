package retrier

import (
	"time"

	"hornbeamcroft"
)

// Defaults of Backoff.
const (
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffCap  = time.Second
)

// Backoff is exponential with full jitter: the wait is uniform between zero and a bound that doubles with each try, so
// that callers that failed together do not return together.
type Backoff struct {
	// Base is the bound after the first try; DefaultBackoffBase if zero.
	Base time.Duration
	// Cap is the greatest bound; DefaultBackoffCap if zero.
	Cap time.Duration
}

// Wait returns the wait after the given number of tries.
func (b Backoff) Wait(r hornbeamcroft.Rand, tries int) time.Duration {
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
	return time.Duration(r.Float64() * float64(min(bound, limit)))
}
