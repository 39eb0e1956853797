package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// A step "large-answers" has largeBursts bursts of largeBurst requests, largePause apart, by largeSenders senders. All answers together
	// are more than twice the memory limit of the two nodes that retain them.
	largeBursts  = 3
	largeBurst   = 400
	largePause   = 300 * time.Millisecond
	largeSenders = 24
	// memoryInterval is the time between two looks at the memory of a node.
	memoryInterval = 100 * time.Millisecond
)

// sendLarge sends the bursts of requests with large answers, each to any host.
func (s *Soaker) sendLarge() {
	for range largeBursts {
		var wg sync.WaitGroup
		var sent atomic.Int64
		for range largeSenders {
			wg.Go(func() {
				h := s.hosts[rand.IntN(len(s.hosts))]
				c := &caller.Caller{Address: h.Ingress}
				defer c.Close()
				rt := requestTypes["statement"]
				for sent.Add(1) <= largeBurst {
					if o := s.send(c, h, rt, worker.LargeAttempt+s.newID(), rt.deadline, false); o.Status != 200 {
						time.Sleep(thinkTime)
					}
				}
			})
		}
		wg.Wait()
		time.Sleep(largePause)
	}
}

// watchMemory adds a finding when the node of the host holds more memory than its limit, once for each process, until ctx ends.
func (s *Soaker) watchMemory(ctx context.Context, h *hoster.Hoster) {
	found := 0
	for ctx.Err() == nil {
		time.Sleep(memoryInterval)
		started := h.StartCount()
		if kb := h.ResidentKB(); kb > hoster.MemoryMB<<10 && found != started {
			found = started
			s.judge.AddFinding("memory", "", "%s holds %d KB; its limit is %d MiB", h.Name, kb, hoster.MemoryMB)
		}
	}
}
