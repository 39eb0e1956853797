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
	runTime    = 20 * time.Millisecond
	resendTime = 50 * time.Millisecond
)

// service is one service on a virtual clock in steps of 1 ms. Callers resend a call whose upstream crashed.
type service struct {
	now   time.Duration
	rng   *rand.Rand
	off   bool
	nodes []*testNode
	calls []*testCall
	wire  map[time.Duration][]func()
}

type testNode struct {
	q       *Quarantiner
	name    string
	down    bool
	running map[uint64]*testCall
}

type testCall struct {
	Request
	name     string
	node     *testNode
	left     time.Duration
	alone    bool
	started  bool
	resends  int
	isolated int
	sent     time.Duration
	took     time.Duration
	end      string
}

// TestScripts runs the scenarios under testdata. They guard against a poison request that takes down a service, and
// against innocent requests that pay for it.
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
	return &service{rng: rand.New(rand.NewPCG(seed, 1)), wire: map[time.Duration][]func(){}}
}

func scriptService(ts *testscript.TestScript) *service { return ts.Value("service").(*service) }

// service UPSTREAMS [off]
func cmdService(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptService(ts)
	s.off = len(args) > 1
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

// send NODE NAME... starts one call for each name; those that begin with poison crash their upstream. The key is the
// name, the content is the part of it before a slash.
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

// run TIME
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	s := scriptService(ts)
	for end := s.now + d; s.now < end; s.now += time.Millisecond {
		s.step()
	}
}

// down COUNT
func cmdDown(ts *testscript.TestScript, _ bool, args []string) {
	down := 0
	for _, n := range scriptService(ts).nodes {
		if n.down {
			down++
		}
	}
	if fmt.Sprint(down) != args[0] {
		ts.Fatalf("%d upstreams down", down)
	}
}

// calls PREFIX END MAX-ISOLATED MAX-TIME
func cmdCalls(ts *testscript.TestScript, _ bool, args []string) {
	isolated, _ := strconv.Atoi(args[2])
	limit, err := time.ParseDuration(args[3])
	ts.Check(err)
	for _, c := range scriptService(ts).calls {
		if !strings.HasPrefix(c.name, args[0]) {
			continue
		}
		ts.Logf("%s: %s, %d isolated runs, %s", c.name, c.end, c.isolated, c.took)
		if c.end != args[1] || c.isolated > isolated || c.took > limit {
			ts.Fatalf("%s: not as wanted", c.name)
		}
	}
}

func (s *service) step() {
	due := s.wire[s.now]
	delete(s.wire, s.now)
	for _, fn := range due {
		fn()
	}
	for _, n := range s.nodes {
		if s.now%(100*time.Millisecond) == 0 {
			s.handle(n, n.q.Tick(s.now))
		}
		s.work(n)
	}
}

func (s *service) later(d time.Duration, fn func()) { s.wire[s.now+d] = append(s.wire[s.now+d], fn) }

func (s *service) arrive(n *testNode, c *testCall) {
	c.node, c.left, c.alone, c.started = n, runTime, false, false
	if s.off {
		n.running[c.ID] = c
		return
	}
	res := n.q.Arrive(s.now, c.Request)
	switch res.Verdict {
	case VerdictRun:
		n.running[c.ID] = c
	case VerdictRefuse:
		c.end = "refused"
	}
	s.handle(n, res)
}

func (s *service) handle(n *testNode, res Result) {
	for _, o := range res.Send {
		to := s.nodes[o.To[1]-'0']
		if err := o.Message.Check(); err != nil {
			panic(err)
		}
		s.later(time.Millisecond, func() { s.handle(to, to.q.Receive(s.now, n.name, o.Message)) })
	}
	for _, id := range res.Refuse {
		s.calls[id-1].end = "refused"
	}
	for _, id := range slices.Concat(res.Release, res.Alone, res.Return) {
		n.running[id] = s.calls[id-1]
	}
	for _, id := range res.Alone {
		s.calls[id-1].alone = true
		s.calls[id-1].isolated++
	}
}

// work lets the calls of one upstream run. A call that must run alone starts when the others have ended, and holds
// back those that come after it, as admission does.
func (s *service) work(n *testNode) {
	if n.down {
		for _, id := range slices.Sorted(maps.Keys(n.running)) {
			s.resend(n, id)
		}
		return
	}
	active, alone := 0, false
	for _, c := range n.running {
		alone = alone || c.alone
		if c.started {
			active++
		}
	}
	for _, c := range s.calls {
		if n.running[c.ID] == nil || (!c.started && alone && (!c.alone || active > 0)) {
			continue
		}
		c.started = true
		c.left -= time.Millisecond
		switch {
		case c.left > 0:
		case strings.HasPrefix(c.name, "poison"):
			s.crash(n)
			return
		default:
			c.end, c.took = "answered", s.now-c.sent
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
	if !s.off {
		s.handle(n, n.q.Crash(s.now, running))
	}
}

// resend moves a call whose upstream is down to another one.
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
		c.end = "failed"
		return
	}
	s.later(resendTime, func() { s.arrive(up[s.rng.IntN(len(up))], c) })
}
