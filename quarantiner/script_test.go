package quarantiner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	runTime     = 20 * time.Millisecond
	resendDelay = 50 * time.Millisecond
)

// service is one service on a virtual clock that advances in steps of 1 ms. Callers resend a call whose upstream
// crashed.
type service struct {
	now         time.Duration
	rng         *rand.Rand
	unprotected bool
	nodes       []*testNode
	calls       []*testCall
	scheduled   map[time.Duration][]func()
}

type testNode struct {
	q       *Quarantiner
	name    string
	down    bool
	running map[uint64]*testCall
}

type testCall struct {
	Request
	name            string
	node            *testNode
	remaining       time.Duration
	mustRunIsolated bool
	started         bool
	resends         int
	isolated        int
	sent            time.Duration
	latency         time.Duration
	outcome         string
}

// TestScripts runs the scripts under testdata. They guard against a poison request that crashes all upstreams of a
// service, and against harmless requests that are refused, delayed or run isolated too often because of it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["service"] = newService(1)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"service": cmdService, "send": cmdSend, "run": cmdRun, "down": cmdDown, "calls": cmdCalls,
		},
	})
}

func newService(seed uint64) *service {
	return &service{rng: rand.New(rand.NewPCG(seed, 1)), scheduled: map[time.Duration][]func(){}}
}

func scriptService(ts *testscript.TestScript) *service { return ts.Value("service").(*service) }

// service COUNT [off] starts a service with COUNT upstreams, without Quarantiners if off is given.
func cmdService(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptService(ts)
	s.unprotected = len(args) > 1
	count, _ := strconv.Atoi(args[0])
	s.reset(count)
}

func (s *service) reset(count int) {
	s.nodes, s.calls = nil, nil
	var names []string
	for i := range count {
		n := &testNode{name: fmt.Sprint("n", i), running: map[uint64]*testCall{}}
		n.q, _ = New(s.now, Config{Node: n.name, Crashes: 2, RefuseTime: DefaultRefuseTime})
		s.nodes, names = append(s.nodes, n), append(names, n.name)
	}
	for _, n := range s.nodes {
		n.q.SetMembers(s.now, names)
	}
}

// send NODE NAME... starts one call for each name at the node. Calls whose name begins with poison crash their
// upstream. The key of a call is its name, and its content is the part of the name before the first slash.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptService(ts)
	for _, name := range args[1:] {
		s.start(s.nodes[args[0][1]-'0'], name)
	}
}

func (s *service) start(n *testNode, name string) {
	content, _, _ := strings.Cut(name, "/")
	c := &testCall{name: name, resends: 50, sent: s.now}
	c.Request = Request{ID: uint64(len(s.calls) + 1), Key: name, Fingerprint: xxhash.Sum64String(content)}
	s.calls = append(s.calls, c)
	s.arrive(n, c)
}

// run DURATION advances the clock.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	s := scriptService(ts)
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		s.step()
	}
}

// down COUNT fails the test unless COUNT upstreams have crashed.
func cmdDown(ts *testscript.TestScript, _ bool, args []string) {
	down := 0
	for _, n := range scriptService(ts).nodes {
		if n.down {
			down++
		}
	}
	if fmt.Sprint(down) != args[0] {
		ts.Fatalf("%d upstreams are down, want %s", down, args[0])
	}
}

// calls PREFIX OUTCOME MAX-ISOLATED MAX-LATENCY fails the test unless all calls whose name begins with PREFIX ended
// with OUTCOME, after at most MAX-ISOLATED isolated runs and within MAX-LATENCY.
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	isolated, _ := strconv.Atoi(args[2])
	limit, err := time.ParseDuration(args[3])
	ts.Check(err)
	for _, c := range scriptService(ts).calls {
		if !strings.HasPrefix(c.name, args[0]) {
			continue
		}
		ts.Logf("%s: %s, %d isolated runs, %s", c.name, c.outcome, c.isolated, c.latency)
		if c.outcome != args[1] || c.isolated > isolated || c.latency > limit {
			ts.Fatalf("%s: want %s after at most %d isolated runs and %s", c.name, args[1], isolated, limit)
		}
	}
}

func (s *service) step() {
	due := s.scheduled[s.now]
	delete(s.scheduled, s.now)
	for _, fn := range due {
		fn()
	}
	for _, n := range s.nodes {
		if s.now%(100*time.Millisecond) == 0 {
			s.handle(n, n.q.Tick(s.now))
		}
		s.runCalls(n)
	}
}

func (s *service) schedule(d time.Duration, fn func()) {
	s.scheduled[s.now+d] = append(s.scheduled[s.now+d], fn)
}

func (s *service) arrive(n *testNode, c *testCall) {
	c.node, c.remaining, c.mustRunIsolated, c.started = n, runTime, false, false
	if s.unprotected {
		n.running[c.ID] = c
		return
	}
	res := n.q.Arrive(s.now, c.Request)
	switch res.Verdict {
	case VerdictRun:
		n.running[c.ID] = c
	case VerdictRefuse:
		c.outcome = "refused"
	}
	s.handle(n, res)
}

func (s *service) handle(n *testNode, res Result) {
	for _, o := range res.Send {
		to := s.nodes[o.To[1]-'0']
		if err := o.Message.Check(); err != nil {
			panic(err)
		}
		s.schedule(time.Millisecond, func() { s.handle(to, to.q.Receive(s.now, n.name, o.Message)) })
	}
	for _, id := range res.Refuse {
		s.calls[id-1].outcome = "refused"
	}
	for _, id := range slices.Concat(res.Release, res.Isolated, res.Return) {
		n.running[id] = s.calls[id-1]
	}
	for _, id := range res.Isolated {
		s.calls[id-1].mustRunIsolated = true
		s.calls[id-1].isolated++
	}
}

// runCalls advances the calls of one upstream by one step. A call that must run isolated starts when the others have
// ended; until it has ended, calls that arrive later do not start. Admission behaves in the same way.
func (s *service) runCalls(n *testNode) {
	if n.down {
		for _, id := range slices.Sorted(maps.Keys(n.running)) {
			s.resend(n, id)
		}
		return
	}
	active, isolated := 0, false
	for _, c := range n.running {
		isolated = isolated || c.mustRunIsolated
		if c.started {
			active++
		}
	}
	for _, c := range s.calls {
		if n.running[c.ID] == nil || (!c.started && isolated && (!c.mustRunIsolated || active > 0)) {
			continue
		}
		c.started = true
		c.remaining -= time.Millisecond
		switch {
		case c.remaining > 0:
		case strings.HasPrefix(c.name, "poison"):
			s.crash(n)
			return
		default:
			c.outcome, c.latency = "answered", s.now-c.sent
			delete(n.running, c.ID)
			s.handle(n, n.q.Finish(s.now, c.ID))
		}
	}
}

func (s *service) crash(n *testNode) {
	n.down = true
	var running []Request
	for _, c := range s.calls {
		if n.running[c.ID] != nil && c.started {
			running = append(running, c.Request)
		}
	}
	if !s.unprotected {
		s.handle(n, n.q.Crash(s.now, running))
	}
}

// resend moves a call whose upstream is down to another upstream.
func (s *service) resend(n *testNode, id uint64) {
	c := n.running[id]
	delete(n.running, id)
	s.handle(n, n.q.Cancel(s.now, id))
	var up []*testNode
	for _, o := range s.nodes {
		if !o.down {
			up = append(up, o)
		}
	}
	if c.resends--; c.resends <= 0 || len(up) == 0 {
		c.outcome = "failed"
		return
	}
	s.schedule(resendDelay, func() { s.arrive(up[s.rng.IntN(len(up))], c) })
}
