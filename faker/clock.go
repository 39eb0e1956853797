package faker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock is a hornbeamcroft.Clock whose time changes only through Advance. The zero Clock shows zero. It is safe for concurrent
// use.
type Clock struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the sum of all advances.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the time forward by d. A negative d is ignored, since the clock is monotonic.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += max(d, 0)
}

// Rand returns a random number generator that yields the same sequence for the same seed.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
