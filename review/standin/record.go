package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, for record.txt.
type record struct {
	start time.Time
	// startMilli is the Unix time in milliseconds at the start.
	startMilli int64

	mu    sync.Mutex
	lines []string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// unixMilli returns the Unix time in milliseconds, as the steady clock has advanced it since the start.
func (r *record) unixMilli() int64 { return r.startMilli + time.Since(r.start).Milliseconds() }

// write writes all lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
