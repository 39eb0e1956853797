// Package randomizer is the randomness of a process. Tests pass a seeded source in its place.
package randomizer

import (
	"math/rand/v2"

	"hornbeamcroft"
)

var _ hornbeamcroft.Rand = Randomizer{}

// Randomizer is the process-wide source of randomness, which is safe for concurrent use.
type Randomizer struct{}

// Uint64 returns a random number.
func (Randomizer) Uint64() uint64 { return rand.Uint64() }

// IntN returns a random number from 0 to n-1.
func (Randomizer) IntN(n int) int { return rand.IntN(n) }

// Float64 returns a random number from 0 to below 1.
func (Randomizer) Float64() float64 { return rand.Float64() }
