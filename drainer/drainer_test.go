package drainer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

type world struct {
	d   *Drainer
	now time.Duration
}

// TestScripts runs the scenarios under testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			d, err := New(Config{Linger: DefaultLinger, Deadline: DefaultDeadline, HandOverTime: DefaultHandOverTime})
			e.Values["world"] = &world{d: d}
			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"begin": cmdBegin, "admit": cmdAdmit, "end": cmdEnd, "start": cmdStart, "tick": cmdTick, "status": cmdStatus,
			"handed-over": func(ts *testscript.TestScript, _ bool, _ []string) { at(ts).d.HandedOver() },
		},
	})
}

func at(ts *testscript.TestScript) *world { return ts.Value("world").(*world) }

func kind(name string) Kind {
	for k := range KindCount {
		if k.String() == name {
			return k
		}
	}
	return KindCount
}

func cmdBegin(ts *testscript.TestScript, neg bool, args []string) {
	if at(ts).d.Begin(kind(args[0])) == neg {
		ts.Fatalf("begin %s", args[0])
	}
}

func cmdAdmit(ts *testscript.TestScript, _ bool, args []string) { at(ts).d.Admit(kind(args[0])) }

func cmdEnd(ts *testscript.TestScript, _ bool, args []string) { at(ts).d.End(kind(args[0])) }

// start ACTION... and tick TIME ACTION... compare the actions.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	compare(ts, at(ts).d.Start(at(ts).now), args)
}

func cmdTick(ts *testscript.TestScript, _ bool, args []string) {
	w := at(ts)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	var all []Action
	for end := w.now + d; w.now < end; {
		w.now += 50 * time.Millisecond
		all = append(all, w.d.Tick(w.now)...)
	}
	compare(ts, all, args[1:])
}

func compare(ts *testscript.TestScript, got []Action, want []string) {
	if s := strings.Trim(fmt.Sprint(got), "[]"); s != strings.Join(want, " ") {
		ts.Fatalf("actions: %s", s)
	}
}

func cmdStatus(ts *testscript.TestScript, _ bool, args []string) {
	s := at(ts).d.Status(at(ts).now)
	got := fmt.Sprintf("%s refused=%d interrupted=%d cut=%v left=%s", s.State, s.Refused, s.Interrupted, s.HandOverCut, s.Left)
	if got != strings.Join(args, " ") {
		ts.Fatalf("status: %s", got)
	}
}

// TestNames guards against enums without a name in show.
func TestNames(t *testing.T) {
	is := is.New(t)
	is.Equal(fmt.Sprint(StateDrained, ActionLeave, KindChild), "drained leave child")
	is.Equal(fmt.Sprint(State(9), Action(9), Kind(9)), "invalid invalid invalid")
	_, err := New(Config{Linger: 2, Deadline: 1, HandOverTime: 1})
	is.True(err != nil)
}

func BenchmarkBeginEnd(b *testing.B) {
	d, _ := New(Config{Deadline: time.Second, HandOverTime: time.Second})
	for b.Loop() {
		d.Begin(KindLink)
		d.End(KindLink)
	}
}
