// Package recorder limits the rate of log lines about requests. Each kind of outcome has a limit of its own, so that
// successes never displace failures. Lines that exceed a limit are left out, and their number is logged once a second.
package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Kind is a kind of request outcome.
type Kind uint8

// The kinds of outcomes.
const (
	// Failed requests have an unknown outcome or failed at the upstream.
	Failed Kind = iota
	// Refused requests did not run.
	Refused
	// Late requests were answered after their objective.
	Late
	// Served requests were answered within their objective.
	Served

	kindCount
)

var kindNames = [kindCount]string{"failed", "refused", "late", "served"}

// maxLines is the maximum number of lines of each kind in one period.
var maxLines = [kindCount]int{150, 100, 50, 30}

// period is the time over which lines are counted against their limit.
const period = time.Second

// Recorder decides which log lines about requests are written. Set the exported fields before Run. It is safe for concurrent
// use.
type Recorder struct {
	Log *log.Logger

	mu sync.Mutex
	// written and omitted count the lines of the present period.
	written [kindCount]int
	omitted [kindCount]int
	// omittedTotal counts the omitted lines since the start.
	omittedTotal [kindCount]int64
}

// Allow reports whether a line about an outcome of the kind may be written now, and counts the line as written or omitted.
func (r *Recorder) Allow(k Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written[k] >= maxLines[k] {
		r.omitted[k]++
		r.omittedTotal[k]++
		return false
	}
	r.written[k]++
	return true
}

// Omitted returns the number of lines left out since the start, by the name of their kind.
func (r *Recorder) Omitted() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]int64, kindCount)
	for k, n := range r.omittedTotal {
		m[kindNames[k]] = n
	}
	return m
}

// Run logs the number of omitted lines and starts a new period each second, until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.startPeriod()
			return
		case <-t.C:
			r.startPeriod()
		}
	}
}

// startPeriod starts a new period and logs the lines omitted in the last one, if there were any.
func (r *Recorder) startPeriod() {
	r.mu.Lock()
	omitted := r.omitted
	r.written, r.omitted = [kindCount]int{}, [kindCount]int{}
	r.mu.Unlock()
	if omitted == [kindCount]int{} {
		return
	}
	line := r.Log.Info()
	for k, n := range omitted {
		if n > 0 {
			line.Int(kindNames[k], n)
		}
	}
	line.Msg("recorder: lines left out")
}
