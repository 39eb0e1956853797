// Package recorder bounds the lines that are logged about requests. Each kind of outcome has its own allowance, so that
// successes never push out failures; what was left out is counted and said once a second.
package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Kind is a kind of outcome.
type Kind uint8

// The kinds of outcomes.
const (
	// Failed requests are those whose outcome is unknown or an upstream's failure.
	Failed Kind = iota
	// Refused requests did not run.
	Refused
	// Late requests have an answer, after their objective.
	Late
	// Served requests have an answer in time.
	Served

	kindCount
)

var kindNames = [kindCount]string{"failed", "refused", "late", "served"}

// allowances are the lines per second of each kind.
var allowances = [kindCount]int{150, 100, 50, 30}

// period is the time over which lines are counted.
const period = time.Second

// Recorder decides which lines are written. Set the exported fields before Run. It is safe for concurrent use.
type Recorder struct {
	Log *log.Logger

	mu      sync.Mutex
	written [kindCount]int
	omitted [kindCount]int
	total   [kindCount]int64
}

// Allow reports whether a line about an outcome of the kind may be written now, and counts it.
func (r *Recorder) Allow(k Kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.written[k] >= allowances[k] {
		r.omitted[k]++
		r.total[k]++
		return false
	}
	r.written[k]++
	return true
}

// Omitted returns the lines left out since the start, by the name of their kind.
func (r *Recorder) Omitted() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]int64, kindCount)
	for k, n := range r.total {
		m[kindNames[k]] = n
	}
	return m
}

// Run starts a new period each second and says what was left out, until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.turn()
			return
		case <-t.C:
			r.turn()
		}
	}
}

func (r *Recorder) turn() {
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
