package applier_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamcroft"
	"hornbeamcroft/editor"
	"hornbeamcroft/faker"
	"hornbeamcroft/parser"
)

// offLine matches the line of a script that lists the mechanisms without which the scenario must fail, for example
// "# off: compare-writer repair".
var offLine = regexp.MustCompile(`(?m)^# off:(.*)$`)

// TestScenarios guards against an edit that is lost, made twice, reverted or reported with a wrong result under the
// failures of each script. Each script must also fail if any one of the mechanisms that it lists is disabled: this
// shows that the script tests them.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/scenarios/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no files in testdata/scenarios", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Base(file), func(t *testing.T) { testscript.Run(t, params(file, "")) })
		var off string
		if m := offLine.FindSubmatch(text); m != nil {
			off = string(m[1])
		}
		for _, name := range strings.Fields(off) {
			t.Run(filepath.Base(file)+"/without-"+name, func(t *testing.T) {
				r := &recorder{}
				r.Run("", func(testscript.T) { testscript.RunT(r, params(file, name)) })
				t.Log(r.log.String())
				if !r.failed {
					t.Errorf("the script passes although %s is disabled", name)
				}
			})
		}
	}
}

// params returns the parameters for a run of the script in which the named mechanism is disabled, or none if off is
// empty.
func params(file, off string) testscript.Params {
	mechanisms, ok := mechanismNames[off]
	if !ok {
		panic("unknown mechanism " + off)
	}
	return testscript.Params{
		Files: []string{file},
		Setup: func(env *testscript.Env) error {
			env.Values["world"] = newWorld(mechanisms)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"store": cmdStore, "node": cmdNode, "expect": cmdExpect, "digests": cmdDigests,
			"apply":        func(ts *testscript.TestScript, _ bool, args []string) { apply(ts, false, args) },
			"reapply":      func(ts *testscript.TestScript, _ bool, args []string) { apply(ts, true, args) },
			"remove":       remove,
			"before-write": func(ts *testscript.TestScript, _ bool, args []string) { addHook(ts, false, args) },
			"after-write":  func(ts *testscript.TestScript, _ bool, args []string) { addHook(ts, true, args) },
		},
	}
}

// recorder is a testscript.T that records a failure instead of failing the test.
type recorder struct {
	failed bool
	log    strings.Builder
}

func (r *recorder) Skip(...any)       { panic(r) }
func (r *recorder) Fatal(args ...any) { r.Log(args...); r.FailNow() }
func (r *recorder) Parallel()         {}
func (r *recorder) Log(args ...any)   { fmt.Fprintln(&r.log, args...) }
func (r *recorder) FailNow()          { r.failed = true; panic(r) }
func (r *recorder) Verbose() bool     { return false }
func (r *recorder) Run(_ string, f func(testscript.T)) {
	defer func() {
		if v := recover(); v != nil && v != any(r) {
			panic(v)
		}
	}()
	f(r)
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value("world").(*world) }

// cmdStore injects faults into the store, or loads, saves and restores its data:
// store down|lose-answers|lose-requests|normal, store stale COPY, store load FILE, store save|restore COPY.
func cmdStore(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	f := faker.Faults{}
	switch args[0] {
	case "load":
		sections := readSections(ts, args[1])
		if r := w.apply(editor.Edit{Owner: "any", Writer: "load", Write: sections}, false); r.Code != hornbeamcroft.CodeAccepted {
			ts.Fatalf("load: %v %v", r.Code, r.Err)
		}
		return
	case "save":
		w.Save(args[1])
		return
	case "restore":
		ts.Check(w.Restore(args[1]))
		return
	case "down":
		f.Down = true
	case "lose-answers":
		f.LoseAnswers = 1
	case "lose-requests":
		f.LoseRequests = 1
	case "stale":
		f.StaleSnapshot = args[1]
	case "normal":
	default:
		ts.Fatalf("unknown store command %s", args[0])
	}
	w.SetFaults(f)
}

// readSections returns the sections of a file.
func readSections(ts *testscript.TestScript, file string) []hornbeamcroft.Section {
	sections, err := parser.Split([]byte(ts.ReadFile(file)))
	ts.Check(err)
	return sections
}

// apply applies an edit and checks the code of its result: apply WRITER FILE CODE. The command reapply has the same
// arguments and sets repeat, so that the history is searched for the writer first.
func apply(ts *testscript.TestScript, repeat bool, args []string) {
	edit := editor.Edit{Owner: "any", Writer: args[0], Write: readSections(ts, args[1])}
	r := worldOf(ts).apply(edit, repeat)
	if got := r.Code.Info().Name; got != args[2] {
		ts.Fatalf("apply %s: got %s (%v), want %s", args[0], got, r.Err, args[2])
	}
	ts.Logf("%s: %s, revision %d, %d conflicts", args[0], r.Code, r.Revision, len(r.Conflicts))
}

// remove applies an edit that removes a section, and checks the code of its result: remove WRITER SECTION CODE.
func remove(ts *testscript.TestScript, _ bool, args []string) {
	r := worldOf(ts).apply(editor.Edit{Owner: "any", Writer: args[0], Remove: args[1:2]}, false)
	if got := r.Code.Info().Name; got != args[2] {
		ts.Fatalf("remove: got %s (%v), want %s", got, r.Err, args[2])
	}
}

// addHook runs a command before or after the next transaction: before-write COMMAND ARGS or after-write COMMAND ARGS.
func addHook(ts *testscript.TestScript, after bool, args []string) {
	commands := map[string]func(*testscript.TestScript, bool, []string){
		"store": cmdStore, "apply": apply, "node": cmdNode, "digests": cmdDigests,
	}
	fn := func() { commands[args[0]](ts, false, args[1:]) }
	if w := worldOf(ts); after {
		w.afterWrite = append(w.afterWrite, fn)
	} else {
		w.beforeWrite = append(w.beforeWrite, fn)
	}
}

// cmdNode starts a node, lets it read the store or receive N events of its watch (all if N is missing), or cuts or
// restores its links: node start|read|watch|cut|heal NAME [N].
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	w, name := worldOf(ts), args[1]
	switch args[0] {
	case "start":
		w.start(name)
	case "read":
		w.read(name)
	case "watch":
		n := len(w.events)
		if len(args) > 2 {
			n, _ = strconv.Atoi(args[2])
		}
		w.watch(name, n)
	case "cut", "heal":
		w.nodes[name].cut = args[0] == "cut"
	default:
		ts.Fatalf("unknown node command %s", args[0])
	}
}

// cmdDigests lets all pairs of linked nodes exchange digests: digests.
func cmdDigests(ts *testscript.TestScript, _ bool, _ []string) { worldOf(ts).digests() }

// cmdExpect checks the document in the store or at a node, or the status of a node:
// expect store|NODE revision|text|status VALUE. For text, the document must contain VALUE.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	stored := hornbeamcroft.StoredDocument{}
	if args[0] == "store" {
		stored = w.current()
	} else if n := w.nodes[args[0]]; n != nil {
		stored = n.Newest()
	}
	var got string
	switch args[1] {
	case "revision":
		got = fmt.Sprint(stored.Revision)
	case "text":
		if strings.Contains(string(parser.Join(stored.Sections)), args[2]) {
			return
		}
		got = string(parser.Join(stored.Sections))
	case "status":
		s := w.nodes[args[0]].Status()
		got = map[bool]string{s.StoreBehind: "behind", s.Diverged: "diverged"}[true]
	}
	if got != args[2] {
		ts.Fatalf("%s %s: got %q, want %q", args[0], args[1], got, args[2])
	}
}
