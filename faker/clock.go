package faker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock is a manual hornbeamcroft.Clock. The zero Clock stands at zero. It is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the time set by Advance.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the time forward by d; a negative d is ignored, since the clock is monotonic.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += max(d, 0)
}

// Rand returns a source of randomness that repeats for a seed.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }
