package hornbeamcroft_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClock matches code that reads the time of day, or drops the monotonic clock from a time.
var wallClock = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)|time\.Unix(Milli|Micro)?\(|\.Round\(0\)|\.UTC\(\)`)

// wallClockUses lists the files that may use the time of day, with the effect of a step of the clock.
var wallClockUses = map[string]string{
	"agent/components.go":            "incarnation: only compared for equality (TestClockSetBack of locator, TestSenderClockSetBack of deduper)",
	"agent/follow.go":                "time slots of watches: another slot, within one period (TestClockStep of agent)",
	"agent/statement.go":             "answers before the first heartbeat: compared with the upstream's time of start by the same clock, for 30 s (TestScripts of observer)",
	"applier/applier.go":             "history entries: shown to operators",
	"arbiter/arbiter.go":             "keys: their time is compared with the allowed clock skew",
	"pipeliner/date.go":              "Date field of answers",
	"pipeliner/state.go":             "a deadline in the past, whatever the time of day",
	"receiver/receiver.go":           "keys: their time is compared with the allowed clock skew",
	"server/server.go":               "incarnation of the own interface",
	"sloreporter/report.go":          "burn report: counts by time of day",
	"sloreporter/reporter.go":        "burn report: counts by time of day",
	"sloreporter/ring.go":            "burn report: counts by time of day",
	"sloreporter/text.go":            "burn report: shown to operators",
	"sloreporter/plotter/plotter.go": "burn report: shown to operators",
}

// TestWallClock guards against decisions by the time of day, which may jump: timeouts, leases and silence are measured on the
// monotonic clock.
func TestWallClock(t *testing.T) {
	used := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && (path == "cmd" || path == "platform/standin" || path == "tools") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil || !wallClock.Match(text) {
			return err
		}
		used[path] = true
		if wallClockUses[path] == "" {
			t.Errorf("%s uses the time of day", path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for path := range wallClockUses {
		if !used[path] {
			t.Errorf("%s is listed but does not use the time of day", path)
		}
	}
}
