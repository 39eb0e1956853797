package soaker

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/platform/standin/caller"
)

const (
	// minLong and maxLong bound the mean time of the long requests of a step "stop-long". Each takes up to longSpread of it more or less, so
	// that the node knows from the first ones how long the others may take.
	minLong    = 1500 * time.Millisecond
	maxLong    = 5400 * time.Millisecond
	longSpread = 0.1
	// longSenders send requests before the stop. The last ones begin longLead before it, or sooner if they would not end with stopReserve left.
	longSenders = 4
	longLead    = 100 * time.Millisecond
	stopReserve = 600 * time.Millisecond
	// longInterval is the time between two long requests that are sent after SIGTERM.
	longInterval = 200 * time.Millisecond
)

// longWorkOf returns the work of a long request, whose target states it in milliseconds, and zero for others.
func longWorkOf(target string) time.Duration {
	rest, ok := strings.CutPrefix(target, "/"+judge.TypeLong+"/")
	if !ok {
		return 0
	}
	ms, _, _ := strings.Cut(rest, "/")
	n, _ := strconv.Atoi(ms)
	return time.Duration(n) * time.Millisecond
}

// stopDuringLong makes a planned restart of the node while it has long requests, and goes on sending some until the process has exited.
func (s *Soaker) stopDuringLong(p planner.Step, h *hoster.Hoster) {
	mean := minLong + time.Duration(float64(maxLong-minLong)*float64(p.Length)/float64(planner.MaxLength))
	longest := time.Duration(float64(mean) * (1 + longSpread))
	var wg sync.WaitGroup
	send := func() {
		wg.Go(func() {
			c := &caller.Caller{Address: h.Ingress}
			defer c.Close()
			s.sendLong(c, h, mean)
		})
	}
	for range 2 * longSenders {
		send()
	}
	time.Sleep(longest + longLead)
	for range longSenders {
		send()
	}
	time.Sleep(max(longLead, longest+stopReserve-hoster.StopGracePeriod))
	stopped := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(longInterval):
				send()
			}
		}
	})
	end := s.judge.BeginDisruption(judge.Disruption{Kind: "stop", Host: h.Name, Planned: true})
	s.stopAndRestart(h)
	end()
	close(stopped)
	wg.Wait()
}

// sendLong sends one request that takes about the given time.
func (s *Soaker) sendLong(c *caller.Caller, h *hoster.Hoster, mean time.Duration) {
	work := time.Duration(float64(mean) * (1 - longSpread + 2*longSpread*rand.Float64()))
	rt, id := requestTypes[judge.TypeLong], s.newID()
	target := "/" + rt.name + "/" + strconv.FormatInt(work.Milliseconds(), 10) + "/" + id
	s.sendTarget(c, h, rt, target, id, rt.deadline, false)
}
