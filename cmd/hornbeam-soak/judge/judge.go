// Package judge checks that what callers and upstreams observed keeps the promises made to the platform's users.
package judge

import (
	"fmt"
	"sync"
	"time"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/worker"
)

// Bounds of the promises.
const (
	// settleTime is the time after the end of a disruption from which promises with a time bound hold again.
	settleTime = 3 * time.Second
	// storeFaultExtension is added to applyLimit if the store was disrupted in the meantime.
	storeFaultExtension = 5 * time.Second
	// applyLimit is the time within which a node must apply a configuration that the store has acknowledged.
	applyLimit = 2 * time.Second
	// crossingTime is the time within which requests may be routed by the configuration before the one just applied.
	crossingTime = 2 * time.Second
	// drainGrace is how long a draining upstream may still receive requests.
	drainGrace = 2 * time.Second
	// answerGrace is the time from which a request without an answer counts as lost even if no upstream ran it: the
	// node must have read it by then.
	answerGrace = 200 * time.Millisecond
	// In each retryWindow, a service may receive RetryAllowance retries, and RetryRatio retries for each request sent
	// to it.
	RetryRatio     = 0.2
	RetryAllowance = 48
	retryWindow    = 10 * time.Second
	// A rate limit must be kept from limitSettle after an upstream first stated it. Only requests count that came from a host
	// whose node passed on the statement at least toldLag before.
	limitSettle    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	toldLag        = 500 * time.Millisecond
	// storeReadRate is the number of reads per second that the store allows all nodes together.
	storeReadRate = 2000
	// maxFindings is the number of findings that are kept for each promise.
	maxFindings = 20
)

// Finding is a broken promise. The promises are:
//   - drain: no request reaches an upstream later than drainGrace after a node acknowledged that the upstream drains
//   - leaving: no request that a caller sent later than drainGrace after its node had passed on a statement that the upstream
//     leaves reaches that upstream
//   - limit: an upstream gets at most limitFactor times the rate that it states, and limitAllowance requests, in a
//     limitWindow, from nodes that have passed on its statement
//   - lost: each request is answered, also during planned operations; not checked during other disruptions. A long
//     request (TypeLong) that has run is answered by its upstream
//   - once: a non-idempotent request runs at most once
//   - memory: the resident memory of a node stays within its limit
//   - poison: a request that has crashed crashesToRefuse upstreams reaches at most latePoisonRuns more from settleTime after that
//   - process: nodes and upstreams can be started, nodes exit only when they are told to, and the configuration can be
//     encoded
//   - recovery: at the end of a run, most requests are served again
//   - refusal: a request whose answer excludes a run did not run
//   - repeats: the retries at a service stay within RetryRatio and RetryAllowance
//   - routes: a node applies a configuration in time (see MustApply) and does not return to an older one
//   - service: a request runs at the service that the configuration names for it
//   - stop: a node exits in time after SIGTERM
//   - store-rate: all nodes together make at most storeReadRate reads of the store in each second
//   - unasked: upstreams run only requests that were sent, with the method, target, body and origin of the sent ones
//   - whole: a signed answer is complete, and an answer with a status of 200 to 299 is signed
type Finding struct {
	Promise string    `json:"promise"`
	At      time.Time `json:"at"`
	Attempt string    `json:"attempt,omitempty"`
	Text    string    `json:"text"`
}

// SentAttempt is an attempt as it was sent to the ingress of a host. Origin is the service of that host, and Service
// the one that the request is for.
type SentAttempt struct {
	caller.Attempt
	Host, Origin, Service string
	// Type is the name of the type of request.
	Type       string
	Idempotent bool
	// FromCaller is true for the request of a caller, and false for a child call of an upstream and for a probe of the
	// configuration.
	FromCaller bool
	At         time.Time
}

// arrival is a request that reached an upstream.
type arrival struct {
	worker.Run
	// retry is true if the attempt had reached the service before.
	retry bool
}

// observation is all that was observed of one attempt.
type observation struct {
	sent    SentAttempt
	runs    []worker.Run
	outcome *caller.Outcome
}

// Judge collects what was observed and checks it. The zero value is ready for use. It is safe for concurrent use.
type Judge struct {
	mu           sync.Mutex
	observations map[string]*observation
	unknownRuns  []worker.Run
	arrivals     map[string][]arrival
	seenAttempts map[string]bool
	drains       map[string]drain
	disruptions  []*Disruption
	// storeReads is the number of reads of the store in the second storeSecond, in Unix time.
	storeReads    int
	storeSecond   int64
	findings      []Finding
	findingCounts map[string]int
}

// drain is the acknowledged announcement that an instance on the host drains.
type drain struct {
	host string
	at   time.Time
}

// AddSent adds an attempt. Call it before the attempt is sent.
func (j *Judge) AddSent(s SentAttempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.observations == nil {
		j.observations = make(map[string]*observation)
	}
	if j.observations[s.ID] == nil {
		j.observations[s.ID] = &observation{sent: s}
	}
}

// AddOutcome adds the outcome of an attempt as its sender observed it.
func (j *Judge) AddOutcome(o caller.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.observations[o.Attempt.ID]; r != nil {
		r.outcome = &o
	}
}

// AddArrival adds a request that reached an upstream, and checks that the instance had not drained before.
func (j *Judge) AddArrival(r worker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.arrivals == nil {
		j.arrivals, j.seenAttempts = make(map[string][]arrival), make(map[string]bool)
	}
	key := r.Service + " " + r.Attempt
	j.arrivals[r.Service] = append(j.arrivals[r.Service], arrival{r, j.seenAttempts[key]})
	j.seenAttempts[key] = true
	if d, ok := j.drains[r.Instance]; ok && r.At.Sub(d.at) > drainGrace && !j.hostDisrupted(r.At, d.host) {
		j.addFinding("drain", r.Attempt, "reached the draining instance %s %s after the acknowledgement", r.Instance, r.At.Sub(d.at))
	}
}

// AddStoreRead adds a read of the store, and checks the rate of the reads.
func (j *Judge) AddStoreRead() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now := time.Now().Unix(); now != j.storeSecond {
		j.storeReads, j.storeSecond = 0, now
	}
	if j.storeReads++; j.storeReads == storeReadRate+1 {
		j.addFinding("store-rate", "", "more than %d reads of the store in one second", storeReadRate)
	}
}

// AddRun adds a request that an upstream began to run.
func (j *Judge) AddRun(r worker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o := j.observations[r.Attempt]; o != nil {
		o.runs = append(o.runs, r)
		return
	}
	j.unknownRuns = append(j.unknownRuns, r)
}

// AddDrain adds that the node of the host has just acknowledged that an instance drains.
func (j *Judge) AddDrain(host, instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drains == nil {
		j.drains = make(map[string]drain)
	}
	if _, ok := j.drains[instance]; !ok {
		j.drains[instance] = drain{host, time.Now()}
	}
}

// AddFinding adds a broken promise that the caller of this method detected.
func (j *Judge) AddFinding(promise, attempt, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addFinding(promise, attempt, format, args...)
}

// addFinding counts a broken promise and keeps it as a finding unless maxFindings of the same promise are kept. j.mu
// must be held.
func (j *Judge) addFinding(promise, attempt, format string, args ...any) {
	if j.findingCounts == nil {
		j.findingCounts = make(map[string]int)
	}
	if j.findingCounts[promise]++; j.findingCounts[promise] <= maxFindings {
		j.findings = append(j.findings, Finding{promise, time.Now(), attempt, fmt.Sprintf(format, args...)})
	}
}

// MustApply reports whether a request that was sent to the host at the given time must be routed by the configuration
// that the store acknowledged at ack. That holds applyLimit after ack, or later if the store was disrupted in the
// meantime. It does not hold while the host or the store is disrupted, nor within settleTime after that.
func (j *Judge) MustApply(ack, at time.Time, host string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := applyLimit
	for _, d := range j.disruptions {
		if !d.during(ack.Add(-settleTime), at) {
			continue
		}
		if d.Store {
			limit = applyLimit + storeFaultExtension
		}
		if d.Host == host && d.during(at.Add(-settleTime), at) && !d.Store {
			return false
		}
		if d.Store && d.during(at.Add(-settleTime), at) {
			return false
		}
	}
	return at.Sub(ack) > limit
}

// Outcomes returns the outcomes of all attempts that have ended, also of child calls and probes.
func (j *Judge) Outcomes() []caller.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []caller.Outcome
	for _, r := range j.observations {
		if r.outcome != nil {
			list = append(list, *r.outcome)
		}
	}
	return list
}

// ServedShare returns the number of ended requests of callers that were sent since the given time, and the share of
// them that was answered with status 200.
func (j *Judge) ServedShare(since time.Time) (int, float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sent, served := 0, 0
	for _, r := range j.observations {
		if r.sent.At.Before(since) || r.outcome == nil || !r.sent.FromCaller {
			continue
		}
		sent++
		if r.outcome.Status == 200 {
			served++
		}
	}
	return sent, float64(served) / float64(max(sent, 1))
}
