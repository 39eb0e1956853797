// Package tracer tracks the requests that run at the local upstream, so that a call which the upstream makes can be
// matched to the request that it belongs to.
package tracer

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// separator precedes the part that a child call appends to the attempt id of its parent.
const separator = '.'

// Run is a request that runs at the upstream.
type Run struct {
	Attempt string
	// Root is the id of the request of the external caller, which all calls below it share.
	Root       string
	Importance hornbeamcroft.Importance
	Depth      int
	// Tenant is the name of the tenant of the whole request; empty if there is none.
	Tenant string
	// Deadline and Objective are on the monotonic clock of the node.
	Deadline  time.Duration
	Objective time.Duration
	// Retry is true if an earlier send of the request, or of one above it, may have run.
	Retry bool
	// Weight is the number of requests that this one stands for in estimates of the demand.
	Weight float32
	// Started is when the request was sent to the upstream, on the monotonic clock of the node.
	Started time.Duration

	// serviceCalls is the number of calls to each service that the request has made, at any depth.
	serviceCalls map[string]int
	// activeCalls is the number of child calls that are running. ownTime is how long the request had run without a
	// child call up to activeSince, the end of its latest child call or its start.
	activeCalls int
	ownTime     time.Duration
	activeSince time.Duration
}

// OwnTime returns for how long the request has run without waiting for a child call, and whether it waits for one now.
func (r *Run) OwnTime(now time.Duration) (time.Duration, bool) {
	if r.activeCalls > 0 {
		return r.ownTime, true
	}
	return r.ownTime + now - r.activeSince, false
}

// Tracer holds the running requests by attempt id. It is not safe for concurrent use.
type Tracer struct {
	runs map[string]*Run
	// repeats holds the further running requests with the attempt id of one in runs, in order of their start: retries beside a run that
	// goes on.
	repeats map[string][]*Run
}

// Open records that a request starts at the upstream. If a running request has the same attempt id, Parent goes on finding the
// earlier one until it is closed.
func (t *Tracer) Open(r Run) *Run {
	if t.runs == nil {
		t.runs = make(map[string]*Run)
	}
	run := &r
	run.activeSince = run.Started
	if _, exists := t.runs[r.Attempt]; !exists {
		t.runs[r.Attempt] = run
		return run
	}
	if t.repeats == nil {
		t.repeats = make(map[string][]*Run)
	}
	t.repeats[r.Attempt] = append(t.repeats[r.Attempt], run)
	return run
}

// Close removes a request and returns the number of calls to each service that it made, at any depth.
func (t *Tracer) Close(r *Run) []hornbeamcroft.ServiceCalls {
	repeats := slices.DeleteFunc(t.repeats[r.Attempt], func(other *Run) bool { return other == r })
	if t.runs[r.Attempt] == r {
		delete(t.runs, r.Attempt)
		if len(repeats) > 0 {
			t.runs[r.Attempt], repeats = repeats[0], repeats[1:]
		}
	}
	if len(repeats) > 0 {
		t.repeats[r.Attempt] = repeats
	} else {
		delete(t.repeats, r.Attempt)
	}
	return r.ServiceCalls()
}

// ServiceCalls returns the number of calls to each service that the request has made so far, at any depth.
func (r *Run) ServiceCalls() []hornbeamcroft.ServiceCalls {
	list := make([]hornbeamcroft.ServiceCalls, 0, len(r.serviceCalls))
	for service, calls := range r.serviceCalls {
		if len(list) < hornbeamcroft.MaxServiceCalls {
			list = append(list, hornbeamcroft.ServiceCalls{Service: service, Calls: calls})
		}
	}
	return list
}

// Parent returns the running request with the longest attempt id that the given one extends, or nil.
func (t *Tracer) Parent(attempt string) *Run {
	for end := strings.LastIndexByte(attempt, separator); end > 0; end = strings.LastIndexByte(attempt[:end], separator) {
		if r := t.runs[attempt[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// ChildStarted records that a child call of the parent starts.
func (t *Tracer) ChildStarted(parent *Run, now time.Duration) {
	if parent.activeCalls == 0 {
		parent.ownTime += now - parent.activeSince
	}
	parent.activeCalls++
}

// ChildEnded records that a child call of the parent has ended. It adds one call to the given service and the calls
// below to those of the parent.
func (t *Tracer) ChildEnded(parent *Run, now time.Duration, service string, below []hornbeamcroft.ServiceCalls) {
	if parent.activeCalls--; parent.activeCalls <= 0 {
		parent.activeCalls, parent.activeSince = 0, now
	}
	if parent.serviceCalls == nil {
		parent.serviceCalls = make(map[string]int)
	}
	parent.serviceCalls[service]++
	for _, r := range below {
		parent.serviceCalls[r.Service] += r.Calls
	}
}

// Len returns the number of running requests that are recorded.
func (t *Tracer) Len() int { return len(t.runs) }
