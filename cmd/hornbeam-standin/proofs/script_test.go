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

// maxPanicBytes bounds the part of a log, from the panic on, that a failed script shows.
const maxPanicBytes = 4000

// script is the state of one running script.
type script struct {
	dir   string
	fleet *fleet.Fleet
	// proxies holds the proxy in front of each member's upstream, by the member's name.
	proxies map[string]*proxy
	caller  *caller.Caller
	// cancel ends the load.
	cancel context.CancelFunc
	// done is closed when the load has ended and report is set.
	done   chan struct{}
	report caller.Report
}

// commands are the commands of the scripts by name.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":     cmdFleet,
	"load":      cmdLoad,
	"whole":     cmdWhole,
	"kill-node": memberCommand((*script).killNode),
	"freeze":    memberCommand(func(_ *script, m *fleet.Member) error { m.NodeProcess.Signal(syscall.SIGSTOP); return nil }),
	"thaw":      memberCommand(func(_ *script, m *fleet.Member) error { m.NodeProcess.Signal(syscall.SIGCONT); return nil }),
	"start":     memberCommand((*script).startMember),
	"crash":     memberCommand(func(_ *script, m *fleet.Member) error { m.UpstreamProcess.Kill(); return nil }),
	"silence":   memberCommand(func(s *script, m *fleet.Member) error { return s.fleet.SilenceOpen(m) }),
	"cut":       memberCommand(func(s *script, m *fleet.Member) error { s.proxies[m.Name].setMode(modeCut); return nil }),
	"hush":      memberCommand(func(s *script, m *fleet.Member) error { s.proxies[m.Name].setMode(modeSilence); return nil }),
	"mend":      memberCommand(func(s *script, m *fleet.Member) error { s.proxies[m.Name].setMode(modeForward); return nil }),
	"seen":      cmdSeen,
	"roll":      cmdRoll,
	"platform":  cmdPlatform,
	"stop-load": cmdStopLoad,
	"audit":     cmdAudit,
	"poison":    cmdPoison,
	"crashed":   cmdCrashed,
}

// stopAll stops the load, all processes and the proxies. It resumes frozen nodes first, because a frozen process does
// not handle SIGTERM.
func (s *script) stopAll() {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
	if s.fleet != nil {
		for _, m := range s.fleet.Members {
			if m.NodeProcess != nil {
				m.NodeProcess.Signal(syscall.SIGCONT)
			}
		}
		s.fleet.Stop()
	}
	for _, p := range s.proxies {
		p.close()
	}
}

// cmdFleet implements "fleet [COUNT]": it starts the deployment of the demo with a proxy between each node and its
// upstream. COUNT replaces the number of upstreams of each service, which is two.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	d := fleet.Demo()
	if len(args) > 0 {
		count, err := strconv.Atoi(args[0])
		ts.Check(err)
		for i := range d.Services {
			d.Services[i].Count = count
		}
	}
	s.proxies = make(map[string]*proxy)
	s.fleet = &fleet.Fleet{Deployment: d, Binaries: binaries, Dir: s.dir, UpstreamAddress: func(member, upstream string) string {
		p, err := newProxy(upstream)
		ts.Check(err)
		s.proxies[member] = p
		return p.address()
	}}
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	ts.Check(s.fleet.Start(ctx))
}

// memberCommand returns a command whose only argument is the name of a member. It calls fn with that member.
func memberCommand(fn func(*script, *fleet.Member) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := scriptOf(ts)
		for _, m := range s.fleet.Members {
			if len(args) == 1 && m.Name == args[0] {
				ts.Check(fn(s, m))
				return
			}
		}
		ts.Fatalf("need the name of one member, got %q", args)
	}
}

func (s *script) killNode(m *fleet.Member) error {
	m.NodeProcess.Kill()
	return nil
}

// startMember starts the upstream and the node of a member, unless they run, and waits until the node serves.
func (s *script) startMember(m *fleet.Member) error {
	if !m.UpstreamProcess.Running() {
		if err := s.fleet.StartUpstream(m); err != nil {
			return err
		}
	}
	if !m.NodeProcess.Running() {
		if err := s.fleet.StartNode(m); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	return s.fleet.WaitServing(ctx, m)
}

// cmdLoad implements "load RATE SENDS": it starts a load of RATE actions per second on all nodes, half lookups and half
// orders. Each action is sent up to SENDS times.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	sends, err := strconv.Atoi(args[1])
	ts.Check(err)
	s.caller = &caller.Caller{Settings: caller.Settings{
		Nodes: s.fleet.NodeAddresses(), Rate: rate, Length: time.Hour, Seed: 1, MaxSends: sends, Timeout: 5 * time.Second, AnswerBytes: 50_000,
		NewConnections: true, Mix: []caller.Mix{{Target: "sizing/size", Share: 1}, {Target: "sizing/order", Share: 1}},
	}}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		s.report, _ = s.caller.Run(ctx)
	}()
}

// cmdWhole implements "whole N": it waits until N further actions have succeeded.
func cmdWhole(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	more, err := strconv.Atoi(args[0])
	ts.Check(err)
	want := s.caller.Succeeded() + more
	waitFor(ts, fmt.Sprintf("%d actions have succeeded", want), func() error {
		if got := s.caller.Succeeded(); got < want {
			return errors.Errorf("%d actions have succeeded", got)
		}
		return nil
	})
}

// cmdSeen implements "seen BY NAME STATE": it waits until the node BY reports the member NAME in STATE. The state
// "gone" is any other than serving, and also holds if BY does not report the member.
func cmdSeen(ts *testscript.TestScript, _ bool, args []string) {
	memberCommand(func(s *script, by *fleet.Member) error {
		waitFor(ts, fmt.Sprint("seen ", args), func() error { return s.checkState(by, args[1], args[2]) })
		return nil
	})(ts, false, args[:1])
}

// checkState returns an error unless the node by reports the member name in the state, as cmdSeen describes.
func (s *script) checkState(by *fleet.Member, name, state string) error {
	status, err := s.fleet.StatusOf(by)
	if err != nil {
		return err
	}
	for _, m := range status.Members {
		if m.Name == name {
			if m.State == state || (state == "gone" && m.State != "serving") {
				return nil
			}
			return errors.Errorf("state of %s is %s", name, m.State)
		}
	}
	if state == "gone" {
		return nil
	}
	return errors.Errorf("%s is not reported", name)
}

// cmdRoll implements "roll N": it makes N planned restarts, one node after the other.
func cmdRoll(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for n := range count {
		m := s.fleet.Members[n%len(s.fleet.Members)]
		if !m.NodeProcess.Stop(conditionTimeout) {
			ts.Fatalf("planned stop of %s timed out", m.Name)
		}
		ts.Check(s.startMember(m))
	}
}

// cmdPoison implements "poison TARGET SERVICE SENDS": it sends one request to TARGET that crashes each upstream of
// SERVICE that runs it. The request is sent up to SENDS times with the same key, each time after the previous send has
// ended.
func cmdPoison(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
	sends, err := strconv.Atoi(args[2])
	ts.Check(err)
	c := caller.Caller{Settings: caller.Settings{
		Nodes: s.fleet.NodeAddresses(), Rate: 1, Length: time.Hour, Seed: 2, Label: "poison-", MaxSends: sends, Timeout: 5 * time.Second,
		Crash: args[1], NewConnections: true, Mix: []caller.Mix{{Target: args[0], Share: 1}},
	}}
	report, err := c.RunOne(context.Background())
	ts.Check(err)
	ts.Logf("poison: sends by code: %v", report.Total.Codes)
}

// cmdCrashed implements "crashed SERVICE N": it fails the script if more than N upstreams of SERVICE are not running.
func cmdCrashed(ts *testscript.TestScript, _ bool, args []string) {
	allowed, err := strconv.Atoi(args[1])
	ts.Check(err)
	ended := 0
	for _, m := range scriptOf(ts).fleet.MembersOf(args[0]) {
		if !m.UpstreamProcess.Running() {
			ended++
		}
	}
	if ended > allowed {
		ts.Fatalf("%d upstreams of %s are not running, want at most %d", ended, args[0], allowed)
	}
	ts.Logf("%d upstreams of %s are not running", ended, args[0])
}

// cmdPlatform implements "platform ACTION": stop kills the platform, down makes it close connections without an answer,
// slow MS delays each call by MS milliseconds, lose applies writes without answering them, and heal ends these faults.
// A stopped platform is not started again.
func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
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
		ts.Fatalf("platform: unknown action %q", args)
	}
}

// cmdStopLoad implements "stop-load": it ends the load and waits until all actions have ended.
func cmdStopLoad(ts *testscript.TestScript, _ bool, _ []string) {
	s := scriptOf(ts)
	s.cancel()
	<-s.done
	ts.Logf("actions offered: %d, succeeded: %d, sends by code: %v", s.report.Total.Offered, s.report.Total.Succeeded, s.report.Total.Codes)
}

// cmdAudit implements "audit [uninterrupted] [certain]": it fails the script if claims and executions do not agree, or
// if a program panicked. With "uninterrupted" it also fails on an interrupted send, unless an earlier send of the
// action was answered by an upstream. With "certain" it also fails on any send whose claim is that the request may have
// run.
func cmdAudit(ts *testscript.TestScript, _ bool, args []string) {
	s := scriptOf(ts)
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
			interruptedFirst := slices.Contains(args, "uninterrupted") && send.Interrupted() && !ran
			ran = ran || send.Claim == hornbeamcroft.ClaimRan.String()
			unknown := slices.Contains(args, "certain") && send.Claim == hornbeamcroft.ClaimMayHaveRun.String()
			if interruptedFirst || unknown {
				interrupted++
				ts.Logf("interrupted send or unknown outcome: %s %s: code %s, status %d: %s", a.Target, a.Marker, send.Code, send.Status, send.Fault)
			}
		}
	}
	s.failOnPanics(ts)
	if len(findings) > 0 || interrupted > 0 {
		ts.Fatalf("%d violated guarantees, %d interrupted or unknown sends, %d actions offered", len(findings), interrupted, s.report.Total.Offered)
	}
}

// failOnPanics fails the script if a program wrote a panic to its log. A panic in a handler does not end the program,
// because the HTTP server recovers from it, but the caller gets no answer.
func (s *script) failOnPanics(ts *testscript.TestScript) {
	logs, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	ts.Check(err)
	if len(logs) == 0 {
		ts.Fatalf("no log files in %s", s.dir)
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		ts.Check(err)
		if at := bytes.Index(text, []byte("panic")); at >= 0 {
			ts.Fatalf("%s: %s", filepath.Base(log), text[at:min(len(text), at+maxPanicBytes)])
		}
	}
}
