package proofs

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/auditor"
	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
	"hornbeamcroft/cmd/hornbeam-standin/platform"
)

// panicBytes is how much of a panic's report a failed script shows.
const panicBytes = 4000

// script is the state of one script.
type script struct {
	dir     string
	fleet   *fleet.Fleet
	proxies map[string]*proxy
	caller  *caller.Caller
	cancel  context.CancelFunc
	done    chan struct{}
	report  caller.Report
}

var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":     cmdFleet,
	"load":      cmdLoad,
	"whole":     cmdWhole,
	"kill-node": member((*script).kill),
	"freeze":    member(func(_ *script, m *fleet.Member) error { m.Node.Signal(syscall.SIGSTOP); return nil }),
	"thaw":      member(func(_ *script, m *fleet.Member) error { m.Node.Signal(syscall.SIGCONT); return nil }),
	"start":     member((*script).start),
	"crash":     member(func(_ *script, m *fleet.Member) error { m.UpstreamRun.Kill(); return nil }),
	"silence":   member(func(s *script, m *fleet.Member) error { return s.fleet.SilenceOpen(m) }),
	"cut":       member(func(s *script, m *fleet.Member) error { s.proxies[m.Name].set(cut); return nil }),
	"hush":      member(func(s *script, m *fleet.Member) error { s.proxies[m.Name].set(silent); return nil }),
	"mend":      member(func(s *script, m *fleet.Member) error { s.proxies[m.Name].set(pass); return nil }),
	"seen":      cmdSeen,
	"roll":      cmdRoll,
	"platform":  cmdPlatform,
	"stop-load": cmdStopLoad,
	"audit":     cmdAudit,
	"poison":    cmdPoison,
	"crashed":   cmdCrashed,
}

// end stops everything that the script started.
func (s *script) end() {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
	if s.fleet != nil {
		for _, m := range s.fleet.Members {
			if m.Node != nil {
				m.Node.Signal(syscall.SIGCONT)
			}
		}
		s.fleet.Stop()
	}
	for _, p := range s.proxies {
		p.close()
	}
}

// fleet [COUNT] starts the demo's deployment with a proxy between each node and its upstream, and with COUNT upstreams of
// each service in place of two.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	d := fleet.Demo()
	if len(args) > 0 {
		count, err := strconv.Atoi(args[0])
		ts.Check(err)
		for i := range d.Services {
			d.Services[i].Count = count
		}
	}
	s.proxies = make(map[string]*proxy)
	s.fleet = &fleet.Fleet{Deployment: d, Binaries: binaries, Dir: s.dir, Link: func(member, upstream string) string {
		p, err := newProxy(upstream)
		ts.Check(err)
		s.proxies[member] = p
		return p.address()
	}}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	ts.Check(s.fleet.Start(ctx))
}

// member makes a command with one member's name as argument.
func member(fn func(*script, *fleet.Member) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := of(ts)
		for _, m := range s.fleet.Members {
			if len(args) == 1 && m.Name == args[0] {
				ts.Check(fn(s, m))
				return
			}
		}
		ts.Fatalf("need the name of a member, got %q", args)
	}
}

func (s *script) kill(m *fleet.Member) error {
	m.Node.Kill()
	return nil
}

// start starts what of a member does not run, and waits until it serves.
func (s *script) start(m *fleet.Member) error {
	if !m.UpstreamRun.Running() {
		if err := s.fleet.StartUpstream(m); err != nil {
			return err
		}
	}
	if !m.Node.Running() {
		if err := s.fleet.StartNode(m); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return s.fleet.WaitServing(ctx, m)
}

// load RATE SENDS starts a load on all nodes: lookups and orders, half each.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	sends, err := strconv.Atoi(args[1])
	ts.Check(err)
	s.caller = &caller.Caller{Settings: caller.Settings{
		Nodes: s.fleet.Ingress(), Rate: rate, Time: time.Hour, Seed: 1, Tries: sends, Timeout: 5 * time.Second, AnswerBytes: 50_000,
		Fresh: true, Mix: []caller.Mix{{Target: "sizing/size", Share: 1}, {Target: "sizing/order", Share: 1}},
	}}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		s.report, _ = s.caller.Run(ctx)
	}()
}

// whole N waits for N further whole answers.
func cmdWhole(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	more, err := strconv.Atoi(args[0])
	ts.Check(err)
	want := s.caller.Whole() + more
	wait(ts, fmt.Sprintf("%d whole answers", want), func() error {
		if got := s.caller.Whole(); got < want {
			return errors.Errorf("%d whole answers", got)
		}
		return nil
	})
}

// seen BY NAME STATE waits until the node BY reports the member NAME in one of the states, or without it if STATE is
// gone.
func cmdSeen(ts *testscript.TestScript, _ bool, args []string) {
	member(func(s *script, by *fleet.Member) error {
		wait(ts, fmt.Sprint("seen ", args), func() error { return s.seen(by, args[1], args[2]) })
		return nil
	})(ts, false, args[:1])
}

func (s *script) seen(by *fleet.Member, name, state string) error {
	status, err := s.fleet.StatusOf(by)
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.Name == name {
			if m.State == state || (state == "gone" && m.State != "serving") {
				return nil
			}
			return errors.Errorf("%s is %s", name, m.State)
		}
	}
	if state == "gone" {
		return nil
	}
	return errors.Errorf("%s is unknown", name)
}

// roll N makes N planned restarts, one node after the other.
func cmdRoll(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for n := range count {
		m := s.fleet.Members[n%len(s.fleet.Members)]
		if !m.Node.Stop(bound) {
			ts.Fatalf("%s did not end its planned stop", m.Name)
		}
		ts.Check(s.start(m))
	}
}

// poison TARGET SERVICE SENDS sends one request that crashes upstreams of the service, SENDS times with one key. It waits
// for the answer of each send.
func cmdPoison(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	sends, err := strconv.Atoi(args[2])
	ts.Check(err)
	c := caller.Caller{Settings: caller.Settings{
		Nodes: s.fleet.Ingress(), Rate: 1, Time: time.Hour, Seed: 2, Label: "poison-", Tries: sends, Timeout: 5 * time.Second,
		Crash: args[1], Fresh: true, Mix: []caller.Mix{{Target: args[0], Share: 1}},
	}}
	report, err := c.One(context.Background())
	ts.Check(err)
	ts.Logf("poison: codes %v", report.Total.Codes)
}

// crashed SERVICE N fails if more than N upstreams of the service have ended.
func cmdCrashed(ts *testscript.TestScript, _ bool, args []string) {
	allowed, err := strconv.Atoi(args[1])
	ts.Check(err)
	ended := 0
	for _, m := range of(ts).fleet.Of(args[0]) {
		if !m.UpstreamRun.Running() {
			ended++
		}
	}
	if ended > allowed {
		ts.Fatalf("%d upstreams of %s ended, allowed are %d", ended, args[0], allowed)
	}
	ts.Logf("%d upstreams of %s ended", ended, args[0])
}

// platform stop, start, slow MS, lose or heal.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	switch args[0] {
	case "stop":
		s.fleet.Platform().Kill()
	case "down":
		ts.Check(s.fleet.SetFaults(platform.Faults{Down: true}))
	case "slow":
		ms, err := strconv.Atoi(args[1])
		ts.Check(err)
		ts.Check(s.fleet.SetFaults(platform.Faults{Delay: ms}))
	case "lose":
		ts.Check(s.fleet.SetFaults(platform.Faults{LoseAnswers: -1}))
	case "heal":
		ts.Check(s.fleet.SetFaults(platform.Faults{}))
	default:
		ts.Fatalf("platform: unknown argument %q", args)
	}
}

func cmdStopLoad(ts *testscript.TestScript, _ bool, _ []string) {
	s := of(ts)
	s.cancel()
	<-s.done
	ts.Logf("offered %d whole %d codes %v", s.report.Total.Offered, s.report.Total.Whole, s.report.Total.Codes)
}

// audit compares the claims with the executions. With "uninterrupted" it also fails on a request that was cut before any
// send had an answer of the upstream; with "certain" on a send whose outcome is unknown, whether it was cut or refused.
func cmdAudit(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	runs, err := s.fleet.Executions()
	ts.Check(err)
	findings := auditor.Auditor{Actions: s.report.Actions, Executions: runs, Idempotent: s.fleet.Deployment.Idempotent()}.Audit()
	for _, f := range findings {
		ts.Logf("%s", f)
	}
	interrupted := 0
	for _, a := range s.report.Actions {
		ran := false
		for _, send := range a.Sends {
			cut := slices.Contains(args, "uninterrupted") && send.Interrupted() && !ran
			ran = ran || send.Claim == hornbeamcroft.ClaimRan.String()
			unknown := slices.Contains(args, "certain") && send.Claim == hornbeamcroft.ClaimMayHaveRun.String()
			if cut || unknown {
				interrupted++
				ts.Logf("interrupted or unknown: %s %s code %s status %d %s", a.Target, a.Marker, send.Code, send.Status, send.Fault)
			}
		}
	}
	s.failOnPanics(ts)
	if len(findings) > 0 || interrupted > 0 {
		ts.Fatalf("%d broken promises, %d interrupted or unknown sends, %d requests", len(findings), interrupted, s.report.Total.Offered)
	}
}

// failOnPanics fails the script if a program wrote a panic to its log: the HTTP server survives one, its caller gets no
// answer.
func (s *script) failOnPanics(ts *testscript.TestScript) {
	logs, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	ts.Check(err)
	if len(logs) == 0 {
		ts.Fatalf("no logs in %s", s.dir)
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		ts.Check(err)
		if at := bytes.Index(text, []byte("panic")); at >= 0 {
			ts.Fatalf("%s: %s", filepath.Base(log), text[at:min(len(text), at+panicBytes)])
		}
	}
}
