// Package caller is the stand-in of callers: an open-loop load with a seeded Poisson process of arrivals.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"hornbeamcroft/sleeper"
)

// Caller sends actions as Settings describe. It uses net/http directly: the circuit breaker of httpc would hold back
// arrivals, and the load would no longer be open-loop.
type Caller struct {
	// Settings are not changed after Run began.
	Settings Settings

	client  *http.Client
	rand    *rand.Rand
	mu      sync.Mutex
	actions []Action
}

// maxOutstanding bounds the actions in flight; an arrival beyond it is counted as not sent.
const maxOutstanding = 20_000

// idleConnections is the number of kept connections per node.
const idleConnections = 1024

// Run sends the load and waits for all outcomes. If ctx ends, no further action arrives.
func (c *Caller) Run(ctx context.Context) (Report, error) {
	if err := c.open(); err != nil {
		return Report{}, err
	}
	defer c.client.CloseIdleConnections()
	start := time.Now()
	unsent := c.arrivals(ctx, start)
	report := NewReport(c.Settings, c.actions)
	report.Start, report.Unsent = start.UnixNano(), unsent
	return report, nil
}

// One sends a single action at once.
func (c *Caller) One(ctx context.Context) (Report, error) {
	if err := c.open(); err != nil {
		return Report{}, err
	}
	defer c.client.CloseIdleConnections()
	a, nodes := c.next(0, 0)
	c.perform(ctx, time.Now(), a, nodes)
	return NewReport(c.Settings, c.actions), nil
}

// open checks the settings and prepares the randomness and the connections.
func (c *Caller) open() error {
	if err := c.Settings.Check(); err != nil {
		return err
	}
	c.seed()
	c.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections, DisableCompression: true, DisableKeepAlives: c.Settings.Fresh,
	}}
	return nil
}

func (c *Caller) seed() { c.rand = rand.New(rand.NewPCG(c.Settings.Seed, 0)) }

// arrivals starts the actions at their times and returns the number that were not sent.
func (c *Caller) arrivals(ctx context.Context, start time.Time) int {
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan struct{}, maxOutstanding)
	unsent := 0
	for n, at := 0, c.gap(0); at < c.Settings.Time; n, at = n+1, at+c.gap(at) {
		if !sleeper.Sleep(ctx, time.Until(start.Add(at))) {
			return unsent
		}
		a, nodes := c.next(n, at)
		select {
		case free <- struct{}{}:
		default:
			unsent++
			continue
		}
		wg.Go(func() {
			c.perform(context.WithoutCancel(ctx), start, a, nodes)
			<-free
		})
	}
	return unsent
}

// gap draws the time to the next arrival.
func (c *Caller) gap(at time.Duration) time.Duration {
	return time.Duration(c.rand.ExpFloat64() / c.Settings.rateAt(at) * float64(time.Second))
}

// next draws action n and the node of each of its sends.
func (c *Caller) next(n int, at time.Duration) (Action, []string) {
	nodes := make([]string, c.Settings.Tries)
	for i := range nodes {
		nodes[i] = c.Settings.Nodes[c.rand.IntN(len(c.Settings.Nodes))]
	}
	return Action{
		Target: c.draw(), Marker: fmt.Sprintf("%ss%d-n%d", c.Settings.Label, c.Settings.Seed, n), Key: uuid.Must(uuid.NewV7()).String(), At: at,
	}, nodes
}

func (c *Caller) draw() string {
	sum := 0.0
	for _, m := range c.Settings.Mix {
		sum += m.Share
	}
	left := c.rand.Float64() * sum
	for _, m := range c.Settings.Mix {
		if left -= m.Share; left < 0 {
			return m.Target
		}
	}
	return c.Settings.Mix[0].Target
}

// Whole returns the number of actions that got a whole answer so far. It may be called while Run runs.
func (c *Caller) Whole() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.actions {
		if a.Whole() {
			n++
		}
	}
	return n
}

func (c *Caller) perform(ctx context.Context, start time.Time, a Action, nodes []string) {
	for i, node := range nodes {
		s := c.send(ctx, node, a, i+1)
		a.Sends = append(a.Sends, s)
		if s.Result == ResultWhole {
			break
		}
	}
	a.Latency = time.Since(start) - a.At
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actions = append(c.actions, a)
}
