// Package caller is a load generator that stands in for callers. It produces an open-loop load whose arrivals are a
// seeded Poisson process.
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

// Caller generates the load that Settings describe. It uses net/http directly: the circuit breaker of go-zero's httpc
// would reject requests, and the load would no longer be open-loop.
type Caller struct {
	// Settings must not change after Run or RunOne is called.
	Settings Settings

	client *http.Client
	rand   *rand.Rand
	// mu guards actions.
	mu      sync.Mutex
	actions []Action
}

// maxInFlight bounds the actions in flight; an arrival beyond it is not sent and is counted in Report.Unsent.
const maxInFlight = 20_000

// maxIdleConnsPerNode bounds the idle connections that are kept open to each node.
const maxIdleConnsPerNode = 1024

// Run generates the load and waits until all actions have ended. If ctx ends, no further actions start; those in flight
// are completed.
func (c *Caller) Run(ctx context.Context) (Report, error) {
	if err := c.prepare(); err != nil {
		return Report{}, err
	}
	defer c.client.CloseIdleConnections()
	start := time.Now()
	unsent := c.generate(ctx, start)
	report := NewReport(c.Settings, c.actions)
	report.Start, report.Unsent = start.UnixNano(), unsent
	return report, nil
}

// RunOne sends a single action immediately and waits until it has ended.
func (c *Caller) RunOne(ctx context.Context) (Report, error) {
	if err := c.prepare(); err != nil {
		return Report{}, err
	}
	defer c.client.CloseIdleConnections()
	a, nodes := c.newAction(0, 0)
	c.runAction(ctx, time.Now(), a, nodes)
	return NewReport(c.Settings, c.actions), nil
}

// prepare checks the settings and creates the random number generator and the HTTP client.
func (c *Caller) prepare() error {
	if err := c.Settings.Check(); err != nil {
		return err
	}
	c.seedRand()
	c.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerNode, DisableCompression: true, DisableKeepAlives: c.Settings.NewConnections,
	}}
	return nil
}

// seedRand creates the random number generator of arrivals, request types and nodes from Settings.Seed.
func (c *Caller) seedRand() { c.rand = rand.New(rand.NewPCG(c.Settings.Seed, 0)) }

// generate starts each action at its arrival time, waits until all have ended, and returns the number of arrivals that
// were not sent because maxInFlight was reached.
func (c *Caller) generate(ctx context.Context, start time.Time) int {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	unsent := 0
	for n, at := 0, c.drawInterval(0); at < c.Settings.Length; n, at = n+1, at+c.drawInterval(at) {
		if !sleeper.Sleep(ctx, time.Until(start.Add(at))) {
			return unsent
		}
		a, nodes := c.newAction(n, at)
		select {
		case inFlight <- struct{}{}:
		default:
			unsent++
			continue
		}
		wg.Go(func() {
			c.runAction(context.WithoutCancel(ctx), start, a, nodes)
			<-inFlight
		})
	}
	return unsent
}

// drawInterval draws the time from an arrival at the given time to the next one.
func (c *Caller) drawInterval(at time.Duration) time.Duration {
	return time.Duration(c.rand.ExpFloat64() / c.Settings.rateAt(at) * float64(time.Second))
}

// newAction returns action n with a randomly drawn target and the node drawn for each of its sends.
func (c *Caller) newAction(n int, at time.Duration) (Action, []string) {
	nodes := make([]string, c.Settings.MaxSends)
	for i := range nodes {
		nodes[i] = c.Settings.Nodes[c.rand.IntN(len(c.Settings.Nodes))]
	}
	return Action{
		Target: c.drawTarget(), Marker: fmt.Sprintf("%ss%d-n%d", c.Settings.Label, c.Settings.Seed, n), Key: uuid.Must(uuid.NewV7()).String(), At: at,
	}, nodes
}

// drawTarget draws a request type from the mix, weighted by share.
func (c *Caller) drawTarget() string {
	sum := 0.0
	for _, m := range c.Settings.Mix {
		sum += m.Share
	}
	rest := c.rand.Float64() * sum
	for _, m := range c.Settings.Mix {
		if rest -= m.Share; rest < 0 {
			return m.Target
		}
	}
	return c.Settings.Mix[0].Target
}

// Succeeded returns the number of actions that have succeeded so far. It may be called concurrently with Run.
func (c *Caller) Succeeded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.actions {
		if a.Succeeded() {
			n++
		}
	}
	return n
}

// runAction sends the action to the nodes in turn until a send succeeds, and stores the action with its sends.
func (c *Caller) runAction(ctx context.Context, start time.Time, a Action, nodes []string) {
	for i, node := range nodes {
		s := c.send(ctx, node, a, i+1)
		a.Sends = append(a.Sends, s)
		if s.Result == ResultSucceeded {
			break
		}
	}
	a.Latency = time.Since(start) - a.At
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actions = append(c.actions, a)
}
