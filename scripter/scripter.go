// Package scripter runs scripted tests from data files.
package scripter

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Scripter runs each script of testdata as a test. A line of a script is a command of words and, behind " -> ", what the command shows. Lines
// without words and those that begin with # are left out.
type Scripter struct {
	// New returns the function that runs the commands of one script and returns what they show.
	New func(t *testing.T) func(t *testing.T, words []string) string
}

// Run runs the scripts. It fails if there is none.
func (s Scripter) Run(t *testing.T) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { s.runScript(t, path) })
	}
}

func (s Scripter) runScript(t *testing.T, path string) {
	f, err := os.Open(path)
	is.New(t).NoErr(err)
	defer func() { _ = f.Close() }()
	run := s.New(t)
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		command, want, _ := strings.Cut(lines.Text(), "->")
		words := strings.Fields(command)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if got := run(t, words); got != strings.TrimSpace(want) {
			t.Errorf("line %d: %s: got %q, want %q", n, command, got, strings.TrimSpace(want))
		}
	}
	is.New(t).NoErr(lines.Err())
}
