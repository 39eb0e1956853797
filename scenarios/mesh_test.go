package scenarios

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/courier"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/observer"
	"hornbeamcroft/rationer"
	"hornbeamcroft/runner"
	"hornbeamcroft/sleeper"
)

// TestMesh guards against decisions that give callers worse results. Each script runs a load on nodes with their real
// routing, placement, admission and retries, on a virtual clock and without a network, and checks the results of the
// callers.
func TestMesh(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/mesh",
		Setup: func(e *testscript.Env) error {
			e.Values["mesh"] = &meshConfig{services: map[string]*meshService{}, types: map[string]*meshType{}}
			e.Values["results"] = map[string]float64{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"service": addService, "class": addType, "fault": addFault, "play": playMesh(t), "expect": expect,
		},
	})
}

// meshConfig is the mesh that a script describes. order lists the names of the request types in the order of the
// script.
type meshConfig struct {
	services map[string]*meshService
	types    map[string]*meshType
	order    []string
	faults   []meshFault
}

// meshService is a service with one upstream on each of its hosts. speeds are the speeds of its upstreams in turn, 1 if
// empty.
type meshService struct {
	name   string
	hosts  int
	slots  int
	speeds []float64
}

// meshType is a request type. rate is the number of requests that callers send per second.
type meshType struct {
	name, service        string
	work                 time.Duration
	rate                 float64
	objective, timeout   time.Duration
	importance           hornbeamcroft.Importance
	idempotent, parallel bool
	// retries is how often a caller sends a refused request again.
	retries int
	calls   []meshCalls
}

// meshCalls are the child calls of one request type that a run makes.
type meshCalls struct {
	typeName string
	times    int
}

// meshFault is a fault of the upstreams of a service, or for the kind "surge" a factor on the rates of all request
// types, that is active for the time length from at on. strength is a share of calls or a factor, depending on the
// kind. A host below 0 means all hosts.
type meshFault struct {
	at, length   time.Duration
	kind, target string
	host         int
	strength     float64
}

// pairs parses arguments of the form name=value.
func pairs(ts *testscript.TestScript, args []string) map[string]string {
	m := make(map[string]string, len(args))
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			ts.Fatalf("%q: want name=value", a)
		}
		m[name] = value
	}
	return m
}

// argReader reads the parsed arguments of a command.
type argReader struct {
	ts *testscript.TestScript
	m  map[string]string
}

func (r argReader) number(name string, fallback float64) float64 {
	text, ok := r.m[name]
	if !ok {
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	r.ts.Check(err)
	return v
}

func (r argReader) duration(name string) time.Duration {
	if r.m[name] == "" {
		return 0
	}
	d, err := time.ParseDuration(r.m[name])
	r.ts.Check(err)
	return d
}

func addService(ts *testscript.TestScript, _ bool, args []string) {
	r := argReader{ts, pairs(ts, args)}
	s := &meshService{name: r.m["name"], hosts: int(r.number("hosts", 1)), slots: int(r.number("slots", 1))}
	for text := range strings.SplitSeq(r.m["speeds"], ",") {
		if v, err := strconv.ParseFloat(text, 64); err == nil {
			s.speeds = append(s.speeds, v)
		}
	}
	ts.Value("mesh").(*meshConfig).services[s.name] = s
}

func addType(ts *testscript.TestScript, _ bool, args []string) {
	r := argReader{ts, pairs(ts, args)}
	c := &meshType{
		name: r.m["name"], service: r.m["service"], work: r.duration("work"), rate: r.number("rate", 0),
		objective: r.duration("objective"), timeout: r.duration("timeout"), idempotent: r.m["idempotent"] != "false",
		parallel: r.m["parallel"] == "true", retries: int(r.number("retries", 0)),
	}
	i, err := hornbeamcroft.ParseImportance(r.m["importance"])
	ts.Check(err)
	c.importance = i
	for text := range strings.SplitSeq(r.m["calls"], ",") {
		if name, times, ok := strings.Cut(text, ":"); ok {
			n, err := strconv.Atoi(times)
			ts.Check(err)
			c.calls = append(c.calls, meshCalls{name, n})
		}
	}
	cfg := ts.Value("mesh").(*meshConfig)
	cfg.types[c.name] = c
	cfg.order = append(cfg.order, c.name)
}

func addFault(ts *testscript.TestScript, _ bool, args []string) {
	r := argReader{ts, pairs(ts, args)}
	cfg := ts.Value("mesh").(*meshConfig)
	cfg.faults = append(cfg.faults, meshFault{
		at: r.duration("at"), length: r.duration("for"), kind: r.m["kind"], target: r.m["on"],
		host: int(r.number("host", -1)), strength: r.number("x", 1),
	})
}

// playMesh returns the command play, which runs the mesh once for each of several seeds and averages the results.
func playMesh(t *testing.T) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		r := argReader{ts, pairs(ts, args)}
		cfg := ts.Value("mesh").(*meshConfig)
		results := ts.Value("results").(map[string]float64)
		clear(results)
		plays := r.number("plays", 1)
		for i := range uint64(plays) {
			oneRun := make(map[string]float64)
			t.Run("play", func(t *testing.T) {
				synctest.Test(t, func(*testing.T) {
					m := newMesh(cfg, uint64(r.number("seed", 1))+i)
					m.play(r.duration("for"), r.duration("from"))
					m.report(oneRun)
				})
			})
			for name, v := range oneRun {
				results[name] += v / plays
			}
		}
		for name, v := range results {
			ts.Logf("%s %.4g", name, v)
		}
	}
}

// meshClock is the virtual clock of the synctest bubble.
type meshClock struct{ start time.Time }

func (c meshClock) Now() time.Duration { return time.Since(c.start) }

// mesh is a set of nodes, each beside one upstream. It counts only from the time from on.
type mesh struct {
	cfg    *meshConfig
	clock  meshClock
	nodes  []*meshNode
	byName map[string]*meshNode

	mu     sync.Mutex
	rnd    *rand.Rand
	nextID int
	from   time.Duration
	counts map[string]float64
}

// meshNode is a node with its upstream. busy is the number of requests that the upstream runs.
type meshNode struct {
	m       *mesh
	member  hornbeamcroft.Member
	service *meshService
	index   int
	courier *courier.Courier
	runner  *runner.Runner
	busy    int
	speed   float64
}

func newMesh(cfg *meshConfig, seed uint64) *mesh {
	m := &mesh{
		cfg: cfg, clock: meshClock{time.Now()}, rnd: rand.New(rand.NewPCG(seed, seed)), byName: map[string]*meshNode{},
		counts: map[string]float64{},
	}
	for _, s := range cfg.services {
		for i := range s.hosts {
			m.add(s, i)
		}
	}
	var members []hornbeamcroft.Member
	for _, n := range m.nodes {
		members = append(members, n.member)
	}
	for _, n := range m.nodes {
		n.courier.Update(members)
		n.runner.SetHosts(n.service.hosts)
	}
	return m
}

// lockedRand is the random source of the mesh, safe for concurrent use.
type lockedRand struct{ m *mesh }

func (r lockedRand) Uint64() uint64 {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	return r.m.rnd.Uint64()
}

func (r lockedRand) IntN(n int) int {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	return r.m.rnd.IntN(n)
}

func (r lockedRand) Float64() float64 {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	return r.m.rnd.Float64()
}

func (m *mesh) add(s *meshService, i int) {
	n := &meshNode{m: m, service: s, index: i, speed: 1}
	if len(s.speeds) > 0 {
		n.speed = s.speeds[i%len(s.speeds)]
	}
	n.member = hornbeamcroft.Member{
		Name: fmt.Sprintf("%s-%d", s.name, i), Service: s.name, Zone: string(rune('a' + i)), Address: "127.0.0.1:1",
		Incarnation: 1, State: hornbeamcroft.MemberServing, Slots: s.slots,
	}
	n.runner = &runner.Runner{
		Clock: m.clock, Service: s.name, Exchanger: n,
		Request: func(call hornbeamcroft.Call, _ string, _ time.Duration) exchanger.Request {
			return exchanger.Request{Message: hornbeamcroft.Message{Target: call.Type}, Attempt: call.Attempt}
		},
		Rationer: newRationer(rationer.UpstreamShare),
		OnCrash:  func([]uint64) {}, OnInstanceReplaced: func(string, string) {}, OnEnd: m.countRun,
	}
	n.courier = &courier.Courier{
		Clock: m.clock, Rand: lockedRand{m}, Name: n.member.Name, Zone: n.member.Zone, Local: n.runner.Run,
		Remote: m.remote, Linked: func(string) bool { return true }, Dial: func(hornbeamcroft.Member) {},
		Rationer: newRationer(rationer.SenderShare),
		OnEnd:    func(courier.Record) {},
	}
	n.runner.Levels = n.courier.Levels
	n.runner.SetUpstream(observer.Upstream{Instance: n.member.Name, Slots: s.slots, State: hornbeamcroft.MemberServing})
	m.nodes = append(m.nodes, n)
	m.byName[n.member.Name] = n
}

func newRationer(share float64) *rationer.Rationer {
	return &rationer.Rationer{Ratio: 0.2, Allowance: 48, Window: 10 * time.Second, Share: share, Nodes: 1}
}

// linkDelay is the time that a message between two hosts takes one way.
const linkDelay = 300 * time.Microsecond

// remote implements courier.Courier.Remote.
func (m *mesh) remote(ctx context.Context, to hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
	m.count("hops", 1)
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	return m.byName[to.Name].runner.Run(ctx, call)
}

// fault returns the strength of the fault of the given kind that is active on the node now, or zero.
func (n *meshNode) fault(kind string) float64 {
	now := n.m.clock.Now()
	for _, f := range n.m.cfg.faults {
		if f.kind == kind && f.target == n.service.name && (f.host < 0 || f.host == n.index) &&
			now >= f.at && now < f.at+f.length {
			return f.strength
		}
	}
	return 0
}

// Alive implements runner.Exchanger.
func (n *meshNode) Alive(context.Context) bool { return true }

// Exchange implements runner.Exchanger. It simulates the upstream.
func (n *meshNode) Exchange(ctx context.Context, q exchanger.Request) exchanger.Result {
	c := n.m.cfg.types[q.Message.Target]
	n.m.count("arrivals-"+n.service.name, 1)
	if share := n.fault("refuse"); share > 0 && (lockedRand{n.m}).Float64() < share {
		return exchanger.Result{Outcome: exchanger.OutcomeNotRun}
	}
	n.m.mu.Lock()
	n.busy++
	if n.busy > n.service.slots {
		n.m.counts["overfull"]++
	}
	n.m.mu.Unlock()
	release := sync.OnceFunc(func() {
		n.m.mu.Lock()
		n.busy--
		n.m.mu.Unlock()
	})
	defer release()
	work := float64(c.work) / n.speed * (0.5 + (lockedRand{n.m}).Float64())
	if factor := n.fault("slow"); factor > 0 {
		work *= factor
	}
	if !sleeper.Sleep(ctx, time.Duration(work)) {
		return exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
	}
	if !n.makeChildCalls(ctx, c, q.Attempt) {
		if ctx.Err() != nil {
			return exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
		}
		return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: 500}
	}
	if share := n.fault("lose"); share > 0 && (lockedRand{n.m}).Float64() < share {
		return exchanger.Result{Outcome: exchanger.OutcomeLost}
	}
	if share := n.fault("swallow"); share > 0 && (lockedRand{n.m}).Float64() < share {
		release() // the run has ended, but its answer is lost and the connection stays open
		<-ctx.Done()
		return exchanger.Result{Outcome: exchanger.OutcomeContextEnded}
	}
	return exchanger.Result{Outcome: exchanger.OutcomeAnswered, Status: 200}
}

// makeChildCalls makes the child calls of a run and reports whether all succeeded. If they are not parallel, it stops
// at the first failure.
func (n *meshNode) makeChildCalls(ctx context.Context, c *meshType, attempt string) bool {
	results := make(chan bool, 64)
	pending := 0
	for _, calls := range c.calls {
		for i := range calls.times {
			id := fmt.Sprintf("%s.%s%d", attempt, calls.typeName, i)
			if c.parallel {
				pending++
				go func() { results <- n.childCall(ctx, n.m.cfg.types[calls.typeName], id).Status == 200 }()
				continue
			}
			if n.childCall(ctx, n.m.cfg.types[calls.typeName], id).Status != 200 {
				return false
			}
		}
	}
	succeeded := true
	for range pending {
		succeeded = <-results && succeeded
	}
	return succeeded
}

// childCall routes one child call of the upstream.
func (n *meshNode) childCall(ctx context.Context, c *meshType, attempt string) hornbeamcroft.Answer {
	return n.serve(ctx, c, attempt, c.timeout)
}

// serve handles a request that enters at the node, from a caller or from the node's upstream.
func (n *meshNode) serve(ctx context.Context, c *meshType, attempt string, remaining time.Duration) hornbeamcroft.Answer {
	route := hornbeamcroft.Route{
		Name: c.name, Idempotent: c.idempotent, MaxAttempts: 2, Timeout: c.timeout, Objective: c.objective,
		Importance: c.importance, Targets: []hornbeamcroft.Target{{Service: c.service, Weight: 1}},
	}
	call := hornbeamcroft.Call{
		Request: attempt, Attempt: attempt, Service: c.service, Type: c.name, Importance: c.importance, Depth: 1,
		Remaining: remaining, Objective: c.objective, Idempotent: c.idempotent,
		Message: &hornbeamcroft.Message{Method: "GET", Target: "/"}, Fingerprint: lockedRand{n.m}.Uint64(),
	}
	isChildCall := n.runner.Inherit(&call)
	var age time.Duration
	if !isChildCall {
		age = n.courier.Age(route.Name, remaining)
		call.Objective -= age
	}
	ctx, cancel := context.WithTimeout(ctx, max(call.Remaining, 0))
	defer cancel()
	a := n.courier.Deliver(ctx, call, route, age)
	if isChildCall {
		n.runner.ChildEnded(attempt, c.service, a.ServiceCalls)
	}
	return a
}

// countRun counts a run that is a retry, by service and by request type.
func (m *mesh) countRun(r runner.Record) {
	if r.Instance != "" && (r.Call.Sends > 0 || r.Call.Retry) {
		m.count("repeats-"+r.Call.Service, 1)
		m.count("repeats-"+r.Call.Type, 1)
	}
}

func (m *mesh) count(name string, v float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clock.Now() >= m.from {
		m.counts[name] += v
	}
}

// play sends requests to random nodes until length has passed, and waits until all have ended. It counts only those
// that were sent at from or later.
func (m *mesh) play(length, from time.Duration) {
	m.from = from
	var wg sync.WaitGroup
	for _, name := range m.cfg.order {
		c := m.cfg.types[name]
		if c.rate == 0 {
			continue
		}
		wg.Go(func() {
			for m.clock.Now() < length {
				m.mu.Lock()
				gap := m.rnd.ExpFloat64() / m.currentRate(c)
				node := m.nodes[m.rnd.IntN(len(m.nodes))]
				m.nextID++
				id := "r" + strconv.Itoa(m.nextID)
				m.mu.Unlock()
				time.Sleep(time.Duration(gap * float64(time.Second)))
				wg.Go(func() { m.request(node, c, id) })
			}
		})
	}
	wg.Wait()
}

// currentRate returns the number of requests of the type that callers send per second now.
func (m *mesh) currentRate(c *meshType) float64 {
	now := m.clock.Now()
	rate := c.rate
	for _, f := range m.cfg.faults {
		if f.kind == "surge" && now >= f.at && now < f.at+f.length {
			rate *= f.strength
		}
	}
	return rate
}

// request sends a request of a caller, and sends it again after refusals, and counts the result.
func (m *mesh) request(n *meshNode, c *meshType, id string) {
	begin := m.clock.Now()
	a := n.serve(context.Background(), c, id, c.timeout)
	for i := 0; i < c.retries && a.Code.Claim() == hornbeamcroft.ClaimNotRun; i++ {
		remaining := c.timeout - (m.clock.Now() - begin)
		time.Sleep(min(a.RetryAfter, remaining/3))
		m.count("retries-"+c.name, 1)
		a = n.serve(context.Background(), c, id+"-"+strconv.Itoa(i), c.timeout-(m.clock.Now()-begin))
	}
	if begin < m.from {
		return
	}
	took := m.clock.Now() - begin
	m.count("asked-"+c.name, 1)
	switch {
	case a.Status == 200 && took <= c.objective:
		m.count("in-time-"+c.name, 1)
	case a.Status == 200:
		m.count("late-"+c.name, 1)
	case a.Code.Claim() == hornbeamcroft.ClaimNotRun:
		m.count("refused-"+c.name, 1)
		m.count("refused-time-"+c.name, took.Seconds())
	default:
		m.count("failed-"+c.name, 1)
	}
}

// report adds the results to the map: the results of callers as shares of the requests sent, and counts of the mesh.
func (m *mesh) report(results map[string]float64) {
	for _, name := range m.cfg.order {
		sent := m.counts["asked-"+name]
		if sent == 0 {
			continue
		}
		for _, kind := range []string{"in-time-", "late-", "refused-", "failed-"} {
			results[kind+name] = m.counts[kind+name] / sent
		}
	}
	for name, v := range m.counts {
		if strings.HasPrefix(name, "arrivals-") || strings.HasPrefix(name, "repeats-") || name == "hops" || name == "overfull" {
			results[name] = v
		}
	}
	results["overfull"] += 0
}
