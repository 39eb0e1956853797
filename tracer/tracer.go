// Package tracer keeps the requests that run at the upstream beside the node, so that a call which the upstream makes is
// matched to the request that it belongs to.
package tracer

import (
	"strings"
	"time"

	"hornbeamcroft"
)

// separator stands between the id of a request and the rest of the id of a call that it makes.
const separator = '.'

// Run is a request at the upstream.
type Run struct {
	Attempt string
	// Root is the id of the request of a caller that all calls belong to.
	Root       string
	Importance hornbeamcroft.Importance
	Depth      int
	// Deadline and Objective are on the monotonic clock of the node.
	Deadline  time.Duration
	Objective time.Duration
	// Repeat is true if an earlier send of the request may have run.
	Repeat bool
	// Weight is the number of requests that the request stands for where the demand is estimated.
	Weight float32
	// Started is when the upstream got the request, on the monotonic clock of the node.
	Started time.Duration

	reach map[string]int
	// calls is the number of its calls that run now. worked is how long it worked while none ran, up to since.
	calls  int
	worked time.Duration
	since  time.Duration
}

// Worked returns for how long the run has worked itself, and whether it waits for a call now.
func (r *Run) Worked(now time.Duration) (time.Duration, bool) {
	if r.calls > 0 {
		return r.worked, true
	}
	return r.worked + now - r.since, false
}

// Tracer holds the running requests. It is not safe for concurrent use.
type Tracer struct {
	runs map[string]*Run
}

// Open records that a request starts at the upstream. A second request with the id of one that runs is not recorded.
func (t *Tracer) Open(r Run) *Run {
	if t.runs == nil {
		t.runs = make(map[string]*Run)
	}
	run := &r
	run.since = run.Started
	if _, taken := t.runs[r.Attempt]; !taken {
		t.runs[r.Attempt] = run
	}
	return run
}

// Close ends a request and returns the calls that it made to each service, at any depth.
func (t *Tracer) Close(r *Run) []hornbeamcroft.Reach {
	if t.runs[r.Attempt] == r {
		delete(t.runs, r.Attempt)
	}
	list := make([]hornbeamcroft.Reach, 0, len(r.reach))
	for service, calls := range r.reach {
		if len(list) < hornbeamcroft.MaxReach {
			list = append(list, hornbeamcroft.Reach{Service: service, Calls: calls})
		}
	}
	return list
}

// Parent returns the running request whose id the given id extends, or nil.
func (t *Tracer) Parent(attempt string) *Run {
	for end := strings.LastIndexByte(attempt, separator); end > 0; end = strings.LastIndexByte(attempt[:end], separator) {
		if r := t.runs[attempt[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Calling tells that a child of the parent begins.
func (t *Tracer) Calling(parent *Run, now time.Duration) {
	if parent.calls == 0 {
		parent.worked += now - parent.since
	}
	parent.calls++
}

// Called tells that a child has ended, and adds its calls: one to its own service, and those that it made itself.
func (t *Tracer) Called(parent *Run, now time.Duration, service string, below []hornbeamcroft.Reach) {
	if parent.calls--; parent.calls <= 0 {
		parent.calls, parent.since = 0, now
	}
	if parent.reach == nil {
		parent.reach = make(map[string]int)
	}
	parent.reach[service]++
	for _, r := range below {
		parent.reach[r.Service] += r.Calls
	}
}

// Len returns the number of running requests.
func (t *Tracer) Len() int { return len(t.runs) }
