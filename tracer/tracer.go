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

	reach map[string]int
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

// Called adds the calls of a child: one to its own service, and those that it made itself.
func (t *Tracer) Called(parent *Run, service string, below []hornbeamcroft.Reach) {
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
