// Package soaker runs one seed of the soak: nodes as separate processes, stand-ins of the platform's store and
// upstreams, callers that keep their connections open, and the steps that the planner has drawn.
package soaker

import (
	"cmp"
	"context"
	"fmt"
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
	// recoveryTime is the time without faults at the end of a run. Of the requests sent in the last recoveryCheck of it,
	// the share minServed must be served. The run also waits for recoveryTime after the start of the nodes, so that they
	// discover each other.
	recoveryTime  = 6 * time.Second
	recoveryCheck = 2 * time.Second
	// minServed is the least share of the requests sent in recoveryCheck that must be served.
	minServed = 0.9
	// readyTimeout bounds the start of the nodes.
	readyTimeout = 15 * time.Second
	// defaultWork is the mean time that a request takes in its upstream.
	defaultWork = 25 * time.Millisecond
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 60 * time.Millisecond
	// frontHosts of each frontHosts+deepHosts hosts run the service front, which the requests of callers use and which
	// makes child calls to the service deep. The other hosts run deep.
	frontHosts, deepHosts = 3, 2
)

// Report is the result of a run. Requests is the number of requests of callers, Served the share of them that was
// answered with status 200. ServedInCalm is that share of the requests sent in the last recoveryCheck of the run.
type Report struct {
	Seed         uint64          `json:"seed"`
	Steps        []planner.Step  `json:"steps"`
	Requests     int             `json:"requests"`
	Served       float64         `json:"served"`
	ServedInCalm float64         `json:"served-in-calm"`
	Findings     []judge.Finding `json:"findings"`
}

// Soaker runs one seed. Set the exported fields before Run.
type Soaker struct {
	Seed    uint64
	Hosts   int
	Callers int
	Length  time.Duration
	// StepsPerSecond is the mean number of steps that start per second.
	StepsPerSecond float64
	// Program is the path of the node's program. The settings and logs of the nodes go to a folder of the seed below
	// Folder.
	Program, Folder string
	// Work is the mean time that a request takes in its upstream. If it is zero, requests take defaultWork and make child calls;
	// otherwise they make none, and callers wait longer for them.
	Work time.Duration
	// Steps replace the drawn steps. If it is nil, the steps are drawn from the seed.
	Steps []planner.Step

	judge         judge.Judge
	store         storeserver.StoreServer
	hosts         []*hoster.Hoster
	nextID        uint64
	idMu          sync.Mutex
	configuration writtenConfiguration
	// busy holds the hosts and workers that a step is stopping, pausing or replacing.
	busy sync.Map
	// quiet holds the workers whose heartbeats a step holds back.
	quiet sync.Map
}

// Run runs the seed and returns its report. An error means that the nodes could not be started.
func (s *Soaker) Run() (Report, error) {
	done := make(chan struct{})
	defer close(done)
	if err := s.startAll(done); err != nil {
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
		traffic.Go(func() { s.sendHeartbeats(ctx, h) })
		traffic.Go(func() { s.probeConfiguration(ctx, h) })
		traffic.Go(func() { s.watchMemory(ctx, h) })
		for range s.Callers {
			traffic.Go(func() { s.runCaller(ctx, h) })
		}
	}
	steps := s.Steps
	if steps == nil {
		steps = planner.Plan(s.Seed, s.Hosts, s.Length, s.StepsPerSecond)
	}
	start := time.Now()
	for _, step := range steps {
		time.Sleep(time.Until(start.Add(step.At)))
		faults.Go(func() { s.runStep(step) })
	}
	time.Sleep(time.Until(start.Add(s.Length)))
	faults.Wait()
	time.Sleep(recoveryTime)
	checkFrom := time.Now().Add(-recoveryCheck)
	cancel()
	traffic.Wait()
	r := Report{Seed: s.Seed, Steps: steps}
	r.Requests, r.Served = s.judge.ServedShare(time.Time{})
	if _, r.ServedInCalm = s.judge.ServedShare(checkFrom); r.ServedInCalm < minServed {
		s.judge.AddFinding("recovery", "", "%.3f of the requests were served after %s without faults", r.ServedInCalm,
			recoveryTime-recoveryCheck)
	}
	r.Findings = s.judge.Finish()
	return r, nil
}

// Outcomes returns the outcomes of all attempts that have ended, also of child calls and probes. Call it after Run.
func (s *Soaker) Outcomes() []caller.Outcome { return s.judge.Outcomes() }

// startAll starts the store, and then the hosts and their nodes. The store stops when done is closed.
func (s *Soaker) startAll(done <-chan struct{}) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store.OnCall = func(method, _ string) {
		if method == http.MethodGet {
			s.judge.AddStoreRead()
		}
	}
	server := &http.Server{Handler: &s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-done
		_ = server.Close()
	}()
	go s.store.Run(done)
	s.writeConfiguration()
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

// newHost returns the host with the given index, which uses the store at the given address.
func (s *Soaker) newHost(i int, store string) *hoster.Hoster {
	h := &hoster.Hoster{
		Name: "host-" + strconv.Itoa(i), Program: s.Program, Store: store,
		Folder: filepath.Join(s.Folder, "seed-"+strconv.FormatUint(s.Seed, 10)),
		Settings: fmt.Sprintf("bounds = graceS=%d,drainMs=%d,budgetRatio=%g,budgetSlack=%d,budgetWindowS=10\n",
			int(hoster.StopGracePeriod.Seconds()), hoster.DrainGrace.Milliseconds(), judge.RetryRatio, judge.RetryAllowance),
		OnExit: func(name string, requested bool, err error) {
			if !requested {
				s.judge.AddFinding("process", "", "%s exited unexpectedly: %v", name, err)
			}
		},
	}
	h.Worker = &worker.Worker{
		Service: serviceOf(i), Zone: "zone-" + strconv.Itoa(i%2), Slots: 24, Work: cmp.Or(s.Work, defaultWork),
		OnArrival: s.judge.AddArrival, OnRun: s.judge.AddRun, OnCrash: func() {}, Poison: poisonTarget, WorkOf: longWorkOf,
	}
	if s.Work == 0 {
		h.Worker.Calls = map[string]int{"order": 2, "lookup": 1}
	}
	pool := &sync.Pool{New: func() any { return &caller.Caller{Address: h.Ingress} }}
	h.Worker.Call = func(_ context.Context, attempt string, remaining time.Duration) worker.Outcome {
		c := pool.Get().(*caller.Caller)
		defer pool.Put(c)
		o := s.send(c, h, s.types()["audit"], attempt, remaining, false)
		return worker.Outcome{Status: o.Status, Err: o.Err}
	}
	return h
}

// serviceOf returns the service that runs on the host with the given index.
func serviceOf(i int) string {
	if i%(frontHosts+deepHosts) < frontHosts {
		return "front"
	}
	return "deep"
}

// awaitReady waits until all nodes report that they are ready and have acknowledged a heartbeat of their upstream.
func (s *Soaker) awaitReady() error {
	limit := time.Now().Add(readyTimeout)
	for _, h := range s.hosts {
		for !isReady(h.Readiness) || h.Worker.Announce(h.Announcements) != nil {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready after %s; the end of its log is\n%s", h.Name, readyTimeout, h.LogTail())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Nodes discover each other through the store, which takes some time after they are ready.
	time.Sleep(recoveryTime)
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
