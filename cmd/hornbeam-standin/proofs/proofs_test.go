package proofs

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamcroft/cmd/hornbeam-standin/fleet"
)

// bound ends a condition that never comes. It is far above what any condition takes, so that the verdict does not depend
// on the machine's speed.
const bound = 2 * time.Minute

var (
	only = flag.String("binaries", "", "folder with built programs; they are built if empty")
	rest = flag.Int("restarts", 16, "planned restarts in the script rolling")
	red  = flag.Bool("red", false, "run the scripts that KNOWN-RED.txt lists, too")
)

// turns bounds the scripts that run at once: each starts 17 to 33 processes, and a machine is to hold fewer than 120.
var turns = make(chan struct{}, 3)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	logx.Disable() // the framework's own statistics would mix with the output
	os.Exit(run(m))
}

func run(m *testing.M) int {
	binaries = *only
	if testing.Short() || binaries != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "hornbeamcroft-proofs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	out, err := exec.Command("go", "build", "-o", dir, "hornbeamcroft/cmd/hornbeam-node", "hornbeamcroft/cmd/hornbeam-standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// TestProofs runs the scripts. The first comment of each script names the failure that it guards against.
func TestProofs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			if name := known(env.WorkDir); name != "" && !*red {
				env.T().Skip("listed in KNOWN-RED.txt: " + name)
			}
			env.Setenv("RESTARTS", strconv.Itoa(*rest))
			turns <- struct{}{}
			env.Defer(func() { <-turns })
			s := &script{dir: filepath.Join(env.WorkDir, "fleet")}
			env.Values[key{}] = s
			env.Defer(s.end)
			return os.Mkdir(s.dir, 0o700)
		},
		Cmds: commands,
	})
}

// known returns the name of the script that runs in the folder if KNOWN-RED.txt lists it.
func known(dir string) string {
	list, _ := os.ReadFile("../../../KNOWN-RED.txt")
	name := "TestProofs/" + strings.TrimPrefix(filepath.Base(dir), "script-")
	for line := range strings.Lines(string(list)) {
		if f := strings.Fields(line); len(f) > 0 && f[0] == name {
			return name
		}
	}
	return ""
}

type key struct{}

func of(ts *testscript.TestScript) *script { return ts.Value(key{}).(*script) }

// wait calls check until it returns nil, and fails the script at the bound.
func wait(ts *testscript.TestScript, what string, check func() error) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	ts.Check(fleet.WaitFor(ctx, what, check))
}
