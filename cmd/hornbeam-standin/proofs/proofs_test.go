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

// conditionTimeout is how long a script waits for a condition before it fails. It is far above what any condition
// takes, so that the result does not depend on the machine's speed.
const conditionTimeout = 2 * time.Minute

var (
	binariesFlag = flag.String("binaries", "", "folder with the built programs; if empty, the test builds them")
	restartsFlag = flag.Int("restarts", 16, "number of planned restarts in the script rolling")
	runKnownRed  = flag.Bool("red", false, "also run the scripts that KNOWN-RED.txt lists")
)

// scriptSlots is a semaphore that lets three scripts run at once: each starts 17 to 33 processes, and all together
// should stay below 120 on one machine.
var scriptSlots = make(chan struct{}, 3)

// binaries is the folder of the programs under test, hornbeam-node and hornbeam-standin.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	logx.Disable() // go-zero would write its statistics into the test output
	os.Exit(runTests(m))
}

// runTests builds the programs into a temporary folder, unless they are given or not needed, and runs the tests.
func runTests(m *testing.M) int {
	binaries = *binariesFlag
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

// TestProofs runs the scripts under testdata. The comment at the head of each script names the failure that it guards
// against.
func TestProofs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes; not run with -short")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			if name := knownRedName(env.WorkDir); name != "" && !*runKnownRed {
				env.T().Skip("listed in KNOWN-RED.txt: " + name)
			}
			env.Setenv("RESTARTS", strconv.Itoa(*restartsFlag))
			scriptSlots <- struct{}{}
			env.Defer(func() { <-scriptSlots })
			s := &script{dir: filepath.Join(env.WorkDir, "fleet")}
			env.Values[scriptKey{}] = s
			env.Defer(s.stopAll)
			return os.Mkdir(s.dir, 0o700)
		},
		Cmds: commands,
	})
}

// knownRedName returns the test name of the script that runs in the folder dir if KNOWN-RED.txt lists it, and an empty
// string otherwise.
func knownRedName(dir string) string {
	list, _ := os.ReadFile("../../../KNOWN-RED.txt")
	name := "TestProofs/" + strings.TrimPrefix(filepath.Base(dir), "script-")
	for line := range strings.Lines(string(list)) {
		if f := strings.Fields(line); len(f) > 0 && f[0] == name {
			return name
		}
	}
	return ""
}

// scriptKey is the key of the *script in testscript.Env.Values.
type scriptKey struct{}

// scriptOf returns the state of the running script.
func scriptOf(ts *testscript.TestScript) *script { return ts.Value(scriptKey{}).(*script) }

// waitFor calls check repeatedly until it returns nil. It fails the script after conditionTimeout.
func waitFor(ts *testscript.TestScript, what string, check func() error) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	ts.Check(fleet.WaitFor(ctx, what, check))
}
