package publisher

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOrder guards against an older value that is passed on after a newer one, where it stays until the next change.
func TestOrder(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	value := uint64(0)
	var seen []uint64
	load := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return value
	}
	p := &Publisher[uint64]{
		Version: load,
		Load:    load,
		Publish: func(v uint64) {
			if v%7 == 1 {
				time.Sleep(time.Millisecond) // a newer value may come meanwhile
			}
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, v)
		},
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				mu.Lock()
				value++
				mu.Unlock()
				p.Update()
			}
		})
	}
	wg.Wait()
	for i := range seen[1:] {
		is.True(seen[i] <= seen[i+1])
	}
	is.Equal(seen[len(seen)-1], value)
}
