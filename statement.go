package hornbeamcroft

import (
	"math"

	"github.com/go-faster/errors"
)

// Statement is what an upstream states about itself in each of its answers.
type Statement struct {
	// Leaving is true if the upstream is about to end.
	Leaving bool `cbor:"1,keyasint,omitempty"`
	// Limited is true if the upstream takes at most RateLimit calls per second, from all nodes together. RateLimit is finite
	// and at least 0; it is 0 if Limited is false.
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	RateLimit float64 `cbor:"3,keyasint,omitempty"`
}

// Check returns an error if the rate limit is not a finite number of at least 0.
func (s Statement) Check() error {
	if math.IsNaN(s.RateLimit) || math.IsInf(s.RateLimit, 0) || s.RateLimit < 0 {
		return errors.Errorf("statement: rate limit %g: must be finite and at least 0", s.RateLimit)
	}
	return nil
}
