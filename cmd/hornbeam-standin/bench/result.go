package bench

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft/cmd/hornbeam-standin/auditor"
	"hornbeamcroft/cmd/hornbeam-standin/fleet"
	"hornbeamcroft/cmd/hornbeam-standin/scorer"
)

// Header records which build was measured, on which machine and with which parameters.
type Header struct {
	Commit string `json:"commit"`
	// Modified is true if the working tree differed from the commit, or if its state is not known.
	Modified bool      `json:"modified"`
	Time     time.Time `json:"time"`
	Cores    int       `json:"cores"`
	// Memory is the machine's memory in bytes.
	Memory int64 `json:"memory"`
	// Load is the machine's load average over one minute at the start. Other work on the machine changes the figures.
	Load float64 `json:"load"`
	Go   string  `json:"go"`
	Seed uint64  `json:"seed"`
	// Scale is the number by which the slots and connections in docs/design.md, section 1, were divided.
	Scale int `json:"scale"`
	Runs  int `json:"runs"`
}

// newHeader describes this build and this machine at the time of the call.
func newHeader(seed uint64, runs int) Header {
	h := Header{
		Commit: "unknown", Time: time.Now().UTC().Truncate(time.Second), Cores: runtime.NumCPU(), Memory: machineMemory(), Load: loadAverage(), Go: runtime.Version(),
		Seed: seed, Scale: fleet.Scale, Runs: runs,
	}
	info, _ := debug.ReadBuildInfo()
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			h.Commit = s.Value[:min(len(s.Value), 12)]
		case "vcs.modified":
			h.Modified = s.Value == "true"
		}
	}
	if h.Commit == "unknown" {
		h.readGitState()
	}
	return h
}

// readGitState reads the commit of the current directory from git, because the Go command does not stamp programs that it builds
// in a linked worktree.
func (h *Header) readGitState() {
	commit, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return
	}
	h.Commit = strings.TrimSpace(string(commit))
	changes, err := exec.Command("git", "status", "--porcelain").Output()
	h.Modified = err != nil || len(changes) > 0
}

// machineMemory returns the machine's memory in bytes; 0 if it is not known.
func machineMemory() int64 {
	data, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(f[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// loadAverage returns the machine's load average over one minute; 0 if it is not known.
func loadAverage() float64 {
	data, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(data), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}

// Run holds the figures of one run of a scenario on one system.
type Run struct {
	Deployment string `json:"deployment"`
	System     string `json:"system"`
	Scenario   string `json:"scenario"`
	// Number counts the runs of a scenario on a system from 1.
	Number int `json:"number"`
	// Error says why the run was not measured; empty if it was.
	Error string `json:"error,omitempty"`
	// Offered counts the requests that the callers sent, Whole those of them that got a whole answer.
	Offered int `json:"offered"`
	Whole   int `json:"whole"`
	// Unsent counts arrivals that the callers did not send, because too many requests were in flight. They do not count as
	// offered.
	Unsent int `json:"unsent"`
	// The goodput of each part of the scenario is the number of requests per second that arrived in the part and got a
	// whole answer.
	GoodputBefore float64 `json:"goodput-before"`
	GoodputFault  float64 `json:"goodput-fault"`
	GoodputAfter  float64 `json:"goodput-after"`
	// Recovery is the time in seconds from the end of the fault, or from its start if the fault is permanent, until goodput is
	// back. It has no meaning unless Recovered is true.
	Recovery  float64 `json:"recovery"`
	Recovered bool    `json:"recovered"`
	// Waste is the share of the upstream work that was for requests without a whole answer or repeated earlier work; 0 to 1.
	Waste float64 `json:"waste"`
	// RunsMean and RunsMost are the mean and the maximum number of runs at the deep service, per request that ran there.
	RunsMean float64 `json:"runs-mean"`
	RunsMost float64 `json:"runs-most"`
	// Lookups and Orders are the shares of lookups and of other requests that arrived during the fault and got a whole answer;
	// 0 to 1.
	Lookups float64 `json:"lookups"`
	Orders  float64 `json:"orders"`
	// P99 is the 99th percentile of the latency of whole answers, in milliseconds.
	P99 float64 `json:"p99"`
	// Restarts counts the node restarts of a rolling restart.
	Restarts int `json:"restarts"`
	// Codes counts sends by result code.
	Codes    map[string]int         `json:"codes"`
	Breaches map[auditor.Breach]int `json:"breaches"`
	Bins     []scorer.Bin           `json:"bins"`
}

// Results is the content of bench.json.
type Results struct {
	Header Header `json:"header"`
	Times  Times  `json:"times"`
	Runs   []Run  `json:"runs"`
}

// writeJSON writes v as JSON to a file in the output directory, which it creates if needed.
func writeJSON(dir, name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "create the output directory")
	}
	if err := os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
