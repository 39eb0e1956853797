// Package randomizer provides the random source of a running node. Tests use a seeded source instead.
package randomizer

import (
	"math/rand/v2"

	"hornbeamcroft"
)

var _ hornbeamcroft.Rand = Randomizer{}

// Randomizer is the random source of math/rand/v2. It is safe for concurrent use.
type Randomizer struct{}

// Uint64 returns a uniformly distributed random number.
func (Randomizer) Uint64() uint64 { return rand.Uint64() }

// IntN returns a random number from 0 to n-1. It panics if n is not positive.
func (Randomizer) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a random number that is at least 0 and less than 1.
func (Randomizer) Float64() float64 { return rand.Float64() }
