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

// Header names what was measured and where.
type Header struct {
	Commit string `json:"commit"`
	// Modified is true if the working copy differed from the commit.
	Modified bool      `json:"modified"`
	Time     time.Time `json:"time"`
	Cores    int       `json:"cores"`
	// Memory is the machine's memory in bytes.
	Memory int64 `json:"memory"`
	// Load is the machine's load average over one minute at the start; other work changes the figures.
	Load float64 `json:"load"`
	Go   string  `json:"go"`
	Seed uint64  `json:"seed"`
	// Scale divides the slots and connections of the design page.
	Scale int `json:"scale"`
	Runs  int `json:"runs"`
}

func newHeader(seed uint64, runs int) Header {
	h := Header{
		Commit: "unknown", Time: time.Now().UTC().Truncate(time.Second), Cores: runtime.NumCPU(), Memory: memory(), Load: load(), Go: runtime.Version(),
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
		h.fromGit()
	}
	return h
}

// fromGit asks git about the current folder: the Go command does not stamp programs that it builds in a linked working
// copy.
func (h *Header) fromGit() {
	commit, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return
	}
	h.Commit = strings.TrimSpace(string(commit))
	changes, err := exec.Command("git", "status", "--porcelain").Output()
	h.Modified = err != nil || len(changes) > 0
}

// memory returns the machine's memory in bytes; 0 if it is not known.
func memory() int64 {
	data, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(f[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// load returns the load average over one minute; 0 if it is not known.
func load() float64 {
	data, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(data), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}

// Run holds the figures of one scenario on one system.
type Run struct {
	Deployment string `json:"deployment"`
	System     string `json:"system"`
	Scenario   string `json:"scenario"`
	Number     int    `json:"number"`
	// Error says why there are no figures.
	Error   string `json:"error,omitempty"`
	Offered int    `json:"offered"`
	Whole   int    `json:"whole"`
	Unsent  int    `json:"unsent"`
	// The goodputs are whole requests per second of those that arrived in the part of the scenario.
	GoodputBefore float64 `json:"goodput-before"`
	GoodputFault  float64 `json:"goodput-fault"`
	GoodputAfter  float64 `json:"goodput-after"`
	// Recovery is in seconds after the end of the fault; it has no meaning unless Recovered.
	Recovery  float64 `json:"recovery"`
	Recovered bool    `json:"recovered"`
	// Waste is a share of all upstream work.
	Waste float64 `json:"waste"`
	// RunsMean and RunsMost are runs at the deep service per request that ran there.
	RunsMean float64 `json:"runs-mean"`
	RunsMost float64 `json:"runs-most"`
	// Lookups and Orders are shares of whole answers during the fault.
	Lookups float64 `json:"lookups"`
	Orders  float64 `json:"orders"`
	// P99 is the latency of whole answers in milliseconds.
	P99      float64                `json:"p99"`
	Restarts int                    `json:"restarts"`
	Codes    map[string]int         `json:"codes"`
	Breaches map[auditor.Breach]int `json:"breaches"`
	Bins     []scorer.Bin           `json:"bins"`
}

// Results is the JSON output of bench.
type Results struct {
	Header Header `json:"header"`
	Times  Times  `json:"times"`
	Runs   []Run  `json:"runs"`
}

// writeJSON writes v to the output folder.
func writeJSON(dir, name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "output folder")
	}
	if err := os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
