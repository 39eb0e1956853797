package drainer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

// scriptState is the Drainer and the virtual clock of one test script.
type scriptState struct {
	d   *Drainer
	now time.Duration
}

// TestScripts runs the scripts in testdata. Each begins with the failure that it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			d, err := New(Config{Linger: DefaultLinger, Deadline: DefaultDeadline, HandoverTimeout: DefaultHandoverTimeout})
			e.Values["state"] = &scriptState{d: d}
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"begin": cmdBegin, "admit": cmdAdmit, "end": cmdEnd, "start": cmdStart, "tick": cmdTick, "status": cmdStatus,
			"handed-over": func(ts *testscript.TestScript, _ bool, _ []string) { stateOf(ts).d.HandedOver() },
		},
	})
}

func stateOf(ts *testscript.TestScript) *scriptState { return ts.Value("state").(*scriptState) }

// kind returns the Kind of the given name, or KindCount if there is none.
func kind(name string) Kind {
	for k := range KindCount {
		if k.String() == name {
			return k
		}
	}
	return KindCount
}

// cmdBegin runs "begin KIND", or "! begin KIND" for a call that must be refused.
func cmdBegin(ts *testscript.TestScript, neg bool, args []string) {
	if stateOf(ts).d.Begin(kind(args[0])) == neg {
		ts.Fatalf("begin %s: unexpected result", args[0])
	}
}

func cmdAdmit(ts *testscript.TestScript, _ bool, args []string) { stateOf(ts).d.Admit(kind(args[0])) }

func cmdEnd(ts *testscript.TestScript, _ bool, args []string) { stateOf(ts).d.End(kind(args[0])) }

// cmdStart runs "start ACTION...", which begins the planned stop and compares the returned actions.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	compareActions(ts, stateOf(ts).d.Start(stateOf(ts).now), args)
}

// cmdTick runs "tick TIME ACTION...", which lets TIME pass in steps of 50 ms and compares the actions returned
// meanwhile.
func cmdTick(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	var all []Action
	for end := state.now + d; state.now < end; {
		state.now += 50 * time.Millisecond
		all = append(all, state.d.Tick(state.now)...)
	}
	compareActions(ts, all, args[1:])
}

// compareActions fails the script unless the names of the actions are those wanted, in order.
func compareActions(ts *testscript.TestScript, got []Action, want []string) {
	if s := strings.Trim(fmt.Sprint(got), "[]"); s != strings.Join(want, " ") {
		ts.Fatalf("got actions: %s", s)
	}
}

// cmdStatus runs "status FIELD...", which compares the Status at the current time.
func cmdStatus(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts).d.Status(stateOf(ts).now)
	got := fmt.Sprintf("%s refused=%d interrupted=%d handover-timed-out=%v remaining=%s", s.State, s.Refused, s.Interrupted, s.HandoverTimedOut, s.Remaining)
	if got != strings.Join(args, " ") {
		ts.Fatalf("got status: %s", got)
	}
}

// TestNames guards against enum values without a name in status output, and against an invalid Config that New accepts.
func TestNames(t *testing.T) {
	is := is.New(t)
	is.Equal(fmt.Sprint(StateDrained, ActionLeave, KindChild), "drained leave child")
	is.Equal(fmt.Sprint(State(9), Action(9), Kind(9)), "invalid invalid invalid")
	_, err := New(Config{Linger: 2, Deadline: 1, HandoverTimeout: 1})
	is.True(err != nil)
}

func BenchmarkBeginEnd(b *testing.B) {
	d, _ := New(Config{Deadline: time.Second, HandoverTimeout: time.Second})
	for b.Loop() {
		d.Begin(KindLink)
		d.End(KindLink)
	}
}
