package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/portallocator"
)

// ports are below the range of ephemeral ports and above the ports of the fleets of other tests.
var ports = portallocator.PortAllocator{First: 30100, Last: 32700}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// agentSettings returns the text of the settings of an agent whose store is unreachable.
func agentSettings(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("[agent]\nname = a\nservice = s\nzone = z\nmemory-mb = 200\nbounds = graceS=6\n")
	for _, key := range []string{"way-in", "links", "announcements", "readiness", "metrics", "upstream"} {
		fmt.Fprintf(&b, "%s = %s\n", key, freeAddress(t))
	}
	fmt.Fprintf(&b, "[platform-store]\naddress = %s\n", freeAddress(t))
	return b.String()
}

// build compiles the node and returns the path of the program.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "hornbeam-node")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// TestHangupDuringStop guards against a SIGHUP, which reloads the settings, that ends the process during a planned
// stop.
func TestHangupDuringStop(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "agent.ini")
	is.NoErr(os.WriteFile(path, []byte(agentSettings(t)), 0o600))
	var out bytes.Buffer
	cmd := exec.Command(build(t), "agent", "--settings", path)
	cmd.Stdout, cmd.Stderr = &out, &out
	is.NoErr(cmd.Start())
	time.Sleep(500 * time.Millisecond)
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the node exited with %v; its output is\n%s", err, out.String())
	}
	is.True(strings.Contains(out.String(), "agent: stopped"))
}

// TestInvalidSettings guards against an invalid settings file for which the node does not print each wrong key and exit
// with status 2.
func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "agent.ini")
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(agentSettings(t), "zone = z", "zone =\ncolour = red", 1)), 0o600))
	out, err := exec.Command(build(t), "agent", "--settings", path).CombinedOutput()
	var exitErr *exec.ExitError
	is.True(err != nil)
	is.True(asExitError(err, &exitErr))
	is.Equal(exitErr.ExitCode(), 2)
	is.True(strings.Contains(string(out), "[agent] zone"))
	is.True(strings.Contains(string(out), "[agent] colour: unknown key"))
}

func asExitError(err error, target **exec.ExitError) bool {
	e, ok := err.(*exec.ExitError)
	*target = e
	return ok
}
