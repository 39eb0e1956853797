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

// InstanceStatement is the last statement of one start of an upstream.
type InstanceStatement struct {
	Instance string `cbor:"1,keyasint"`
	// Born is the time of the start in Unix milliseconds; zero if it is not known.
	Born      int64     `cbor:"2,keyasint,omitempty"`
	Statement Statement `cbor:"3,keyasint"`
}

// Check returns an error if the instance or the statement is malformed.
func (s InstanceStatement) Check() error {
	if s.Instance == "" || len(s.Instance) > maxNameLength {
		return errors.Errorf("statement: instance of %d bytes: must be 1 to %d bytes", len(s.Instance), maxNameLength)
	}
	return s.Statement.Check()
}
