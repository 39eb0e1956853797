// Package soaker runs one seed of the soak: nodes as processes of their own, a store and upstreams that stand in for the
// platform's, callers that keep their connections, and the faults of a plan.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/cmd/hornbeam-soak/planner"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// calmTime is played without faults at the end, and the requests of calmCheck of it must be served again.
	calmTime  = 6 * time.Second
	calmCheck = 2 * time.Second
	// leastServed is the share of requests that is served in calm.
	leastServed = 0.9
	// readyTime bounds the start of the nodes.
	readyTime = 15 * time.Second
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 60 * time.Millisecond
	// frontHosts of each deepHosts+frontHosts hosts run the service that callers use, the others the one below it.
	frontHosts, deepHosts = 3, 2
)

// Report is the result of a run.
type Report struct {
	Seed     uint64          `json:"seed"`
	Steps    []planner.Step  `json:"steps"`
	Requests int             `json:"requests"`
	Served   float64         `json:"served"`
	Calm     float64         `json:"served-in-calm"`
	Findings []judge.Finding `json:"findings"`
}

// Soaker runs one seed. Set the exported fields before Run.
type Soaker struct {
	Seed    uint64
	Hosts   int
	Callers int
	Length  time.Duration
	// PerSecond is the mean number of steps that start each second.
	PerSecond float64
	// Program is the node, Folder takes settings, logs and the report.
	Program, Folder string
	// Steps are carried out in place of the drawn ones; nil for those of the seed.
	Steps []planner.Step

	judge  judge.Judge
	store  storeserver.StoreServer
	hosts  []*hoster.Hoster
	nextID uint64
	idMu   sync.Mutex
	routes routes
	// busy holds the hosts whose process is being stopped or started.
	busy sync.Map
}

// Run plays the seed.
func (s *Soaker) Run() (Report, error) {
	done := make(chan struct{})
	defer close(done)
	if err := s.open(done); err != nil {
		return Report{}, err
	}
	defer func() {
		for _, h := range s.hosts {
			h.Close()
		}
	}()
	if err := s.awaitReady(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var traffic, faults sync.WaitGroup
	for _, h := range s.hosts {
		traffic.Go(func() { s.announce(ctx, h) })
		traffic.Go(func() { s.probeRoutes(ctx, h) })
		for range s.Callers {
			traffic.Go(func() { s.call(ctx, h) })
		}
	}
	steps := s.Steps
	if steps == nil {
		steps = planner.Plan(s.Seed, s.Hosts, s.Length, s.PerSecond)
	}
	start := time.Now()
	for _, step := range steps {
		time.Sleep(time.Until(start.Add(step.At)))
		faults.Go(func() { s.strike(step) })
	}
	time.Sleep(time.Until(start.Add(s.Length)))
	faults.Wait()
	time.Sleep(calmTime)
	calm := time.Now().Add(-calmCheck)
	cancel()
	traffic.Wait()
	r := Report{Seed: s.Seed, Steps: steps}
	r.Requests, r.Served = s.judge.Share(time.Time{})
	if _, r.Calm = s.judge.Share(calm); r.Calm < leastServed {
		s.judge.Find("recovery", "", "%.3f of the requests were served after %s without faults", r.Calm, calmTime-calmCheck)
	}
	r.Findings = s.judge.Finish()
	return r, nil
}

// Outcomes returns what callers saw of their requests. Call it after Run.
func (s *Soaker) Outcomes() []caller.Outcome { return s.judge.Outcomes() }

// open starts the store, the hosts and their processes.
func (s *Soaker) open(done <-chan struct{}) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: &s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-done
		_ = server.Close()
	}()
	go s.store.Run(done)
	s.writeRoutes()
	for i := range s.Hosts {
		h := s.newHost(i, l.Addr().String())
		if err := os.MkdirAll(h.Folder, 0o755); err != nil {
			return err
		}
		if err := h.Open(); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soaker) newHost(i int, store string) *hoster.Hoster {
	h := &hoster.Hoster{
		Name: "host-" + strconv.Itoa(i), Program: s.Program, Store: store,
		Folder: filepath.Join(s.Folder, "seed-"+strconv.FormatUint(s.Seed, 10)),
		Settings: fmt.Sprintf("bounds = graceS=%d,drainMs=%d,budgetRatio=%g,budgetSlack=%d,budgetWindowS=10\n",
			int(hoster.StopTime.Seconds()), hoster.DrainTime.Milliseconds(), judge.RepeatRatio, judge.RepeatSlack),
		OnExit: func(name string, asked bool, err error) {
			if !asked {
				s.judge.Find("process", "", "%s ended by itself: %v", name, err)
			}
		},
	}
	h.Worker = &worker.Worker{
		Service: serviceOf(i), Zone: "zone-" + strconv.Itoa(i%2), Slots: 24, Work: 25 * time.Millisecond,
		Calls: map[string]int{"order": 2, "lookup": 1}, OnArrival: s.judge.Arrive, OnRun: s.judge.Run,
		OnCrash: func() {},
	}
	pool := &sync.Pool{New: func() any { return &caller.Caller{Address: h.Ingress} }}
	h.Worker.Call = func(_ context.Context, attempt string, remaining time.Duration) worker.Outcome {
		c := pool.Get().(*caller.Caller)
		defer pool.Put(c)
		o := s.send(c, h, kinds["audit"], attempt, remaining, false)
		return worker.Outcome{Status: o.Status, Err: o.Err}
	}
	return h
}

func serviceOf(i int) string {
	if i%(frontHosts+deepHosts) < frontHosts {
		return "front"
	}
	return "deep"
}

// awaitReady waits until all nodes say that they are ready, and announces the upstreams meanwhile.
func (s *Soaker) awaitReady() error {
	limit := time.Now().Add(readyTime)
	for _, h := range s.hosts {
		for !isReady(h.Readiness) || h.Worker.Announce(h.Announcements) != nil {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready after %s; the end of its log is\n%s", h.Name, readyTime, h.LogEnd())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Nodes learn of each other from the store.
	time.Sleep(calmTime)
	return nil
}

func isReady(address string) bool {
	c := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + address + caller.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// announce sends the heartbeats of an upstream.
func (s *Soaker) announce(ctx context.Context, h *hoster.Hoster) {
	t := time.NewTicker(hoster.HeartbeatTime)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if h.Worker.Alive() && !h.Worker.Draining() {
				// A node that is down takes no heartbeat; the next one follows.
				_ = h.Worker.Announce(h.Announcements)
			}
		}
	}
}

// call sends requests from one caller, on one connection for as long as it lasts.
func (s *Soaker) call(ctx context.Context, h *hoster.Hoster) {
	c := &caller.Caller{Address: h.Ingress}
	defer c.Close()
	names := []string{"lookup", "order", "deposit"}
	for ctx.Err() == nil {
		k := kinds[names[rand.IntN(len(names))]]
		if o := s.send(c, h, k, s.newID(), k.deadline, true); o.Err != nil && o.SentAt.IsZero() {
			// Nothing listens.
			time.Sleep(thinkTime)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
	}
}

func (s *Soaker) newID() string {
	s.idMu.Lock()
	defer s.idMu.Unlock()
	s.nextID++
	return fmt.Sprintf("a%d-%d", s.Seed, s.nextID)
}

// send sends one attempt and tells the judge.
func (s *Soaker) send(c *caller.Caller, h *hoster.Hoster, k kind, id string, remaining time.Duration, ofCaller bool,
) caller.Outcome {
	a := caller.Attempt{
		ID: id, Method: k.method, Host: routesHost, Target: "/" + k.name + "/" + id, Remaining: remaining,
	}
	if k.method == http.MethodPost {
		a.Body = "body of " + id
	}
	s.judge.Send(judge.Sent{
		Attempt: a, Host: h.Name, Origin: h.Worker.Service, Service: k.service, Idempotent: k.idempotent,
		Caller: ofCaller, At: time.Now(),
	})
	o := c.Send(a)
	s.judge.End(o)
	return o
}
