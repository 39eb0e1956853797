// Package judge holds what callers and upstreams saw against the promises of the platform's users.
package judge

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/worker"
)

// The bounds of the promises.
const (
	// settleTime is how long after the end of a disturbance the promises with a time bound hold again.
	settleTime = 3 * time.Second
	// stretchTime is added to the bound of a configuration while the store is disturbed.
	stretchTime = 5 * time.Second
	// applyTime is the time in which an acknowledged configuration is in force.
	applyTime = 2 * time.Second
	// slipTime is the time in which requests may cross the coming into force of a configuration.
	slipTime = 2 * time.Second
	// drainTime is how long a leaving upstream may still get requests.
	drainTime = 2 * time.Second
	// lossSlack is the time after which a request that was read must be answered.
	lossSlack = 200 * time.Millisecond
	// RepeatRatio, RepeatSlack and repeatWindow bound the repeats at a service.
	RepeatRatio  = 0.2
	RepeatSlack  = 48
	repeatWindow = 10 * time.Second
	// maxFindings bounds the findings of one promise that are kept.
	maxFindings = 20
)

// Finding is a broken promise.
type Finding struct {
	Promise string    `json:"promise"`
	At      time.Time `json:"at"`
	Attempt string    `json:"attempt,omitempty"`
	Text    string    `json:"text"`
}

// Sent is an attempt with the host where it entered.
type Sent struct {
	caller.Attempt
	Host, Origin, Service string
	Idempotent            bool
	// Caller is true for the request of a caller, and false for a call of an upstream or a question about the configuration.
	Caller bool
	At     time.Time
}

// Disturbance is a fault on a host, or on the store if Host is empty.
type Disturbance struct {
	Kind, Host string
	// Planned is true for work that must cut no request.
	Planned bool
	// Store is true if the way to the store or the store itself is disturbed.
	Store    bool
	From, To time.Time
}

type arrival struct {
	worker.Run
	// again is true if the attempt had arrived at the service before.
	again bool
}

type record struct {
	sent    Sent
	runs    []worker.Run
	outcome *caller.Outcome
}

// Judge collects what was seen. The zero value is ready for use. It is safe for concurrent use.
type Judge struct {
	mu           sync.Mutex
	records      map[string]*record
	unknown      []worker.Run
	arrivals     map[string][]arrival
	arrived      map[string]bool
	drains       map[string]drain
	disturbances []*Disturbance
	findings     []Finding
	counts       map[string]int
}

type drain struct {
	host string
	at   time.Time
}

// Send notes an attempt before it is sent.
func (j *Judge) Send(s Sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.records == nil {
		j.records = make(map[string]*record)
	}
	if j.records[s.ID] == nil {
		j.records[s.ID] = &record{sent: s}
	}
}

// End notes what the caller saw of an attempt.
func (j *Judge) End(o caller.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.records[o.Attempt.ID]; r != nil {
		r.outcome = &o
	}
}

// Arrive notes a request that reached an upstream.
func (j *Judge) Arrive(r worker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.arrivals == nil {
		j.arrivals, j.arrived = make(map[string][]arrival), make(map[string]bool)
	}
	key := r.Service + " " + r.Attempt
	j.arrivals[r.Service] = append(j.arrivals[r.Service], arrival{r, j.arrived[key]})
	j.arrived[key] = true
	if d, ok := j.drains[r.Instance]; ok && r.At.Sub(d.at) > drainTime && !j.disturbed(d.at, r.At, d.host) {
		j.find("drain", r.Attempt, "reached the leaving %s %s after the acknowledgement", r.Instance, r.At.Sub(d.at))
	}
}

// Run notes a request that an upstream began to work on.
func (j *Judge) Run(r worker.Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if rec := j.records[r.Attempt]; rec != nil {
		rec.runs = append(rec.runs, r)
		return
	}
	j.unknown = append(j.unknown, r)
}

// Drained notes that the node acknowledged the leaving of an instance.
func (j *Judge) Drained(host, instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.drains == nil {
		j.drains = make(map[string]drain)
	}
	if _, ok := j.drains[instance]; !ok {
		j.drains[instance] = drain{host, time.Now()}
	}
}

// Disturb notes the begin of a disturbance and returns the function that notes its end.
func (j *Judge) Disturb(d Disturbance) func() {
	d.From = time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbances = append(j.disturbances, &d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.To = time.Now()
	}
}

// Find notes a broken promise that was seen elsewhere.
func (j *Judge) Find(promise, attempt, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.find(promise, attempt, format, args...)
}

func (j *Judge) find(promise, attempt, format string, args ...any) {
	if j.counts == nil {
		j.counts = make(map[string]int)
	}
	if j.counts[promise]++; j.counts[promise] <= maxFindings {
		j.findings = append(j.findings, Finding{promise, time.Now(), attempt, fmt.Sprintf(format, args...)})
	}
}

// disturbed reports whether unplanned trouble touched the host, or any host if it is empty, in the time or shortly before.
func (j *Judge) disturbed(from, to time.Time, host string) bool {
	return slices.ContainsFunc(j.disturbances, func(d *Disturbance) bool {
		return !d.Planned && (host == "" || d.Host == "" || d.Host == host) && d.during(from.Add(-settleTime), to)
	})
}

func (d *Disturbance) during(from, to time.Time) bool {
	return d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
}

// Late reports whether a request that was sent at the time to the host is bound by a configuration acknowledged at ack.
func (j *Judge) Late(ack, at time.Time, host string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := applyTime
	for _, d := range j.disturbances {
		if !d.during(ack.Add(-settleTime), at) {
			continue
		}
		if d.Store {
			limit = applyTime + stretchTime
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

// Finish checks what can only be known at the end, and returns all findings.
func (j *Judge) Finish() []Finding {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.unknown {
		j.find("unasked", r.Attempt, "ran at %s, but nobody sent it", r.Instance)
	}
	for _, r := range j.records {
		j.check(r)
	}
	for service, list := range j.arrivals {
		j.checkRepeats(service, list)
	}
	return j.findings
}

func (j *Judge) check(r *record) {
	s := r.sent
	if !s.Idempotent && len(r.runs) > 1 {
		j.find("once", s.ID, "ran %d times: %s", len(r.runs), places(r.runs))
	}
	for _, run := range r.runs {
		if run.Method != s.Method || run.Target != s.Target || run.Body != s.Body || run.Origin != s.Origin {
			j.find("unasked", s.ID, "ran as %s %s from %s, was sent as %s %s from %s",
				run.Method, run.Target, run.Origin, s.Method, s.Target, s.Origin)
		}
	}
	o := r.outcome
	if o == nil {
		return
	}
	if o.PromisesNotRun() && len(r.runs) > 0 {
		j.find("refusal", s.ID, "was answered %d and ran at %s", o.Status, places(r.runs))
	}
	if o.Signed && !o.Complete || o.Status >= 200 && o.Status < 300 && !o.Signed {
		j.find("whole", s.ID, "status %d, signed %t, whole %t", o.Status, o.Signed, o.Complete)
	}
	if o.Err != nil && !o.SentAt.IsZero() {
		j.checkLost(r)
	}
}

// checkLost looks at a request that ended without an answer: planned work alone is no reason.
func (j *Judge) checkLost(r *record) {
	o := r.outcome
	if j.disturbed(o.SentAt, o.EndedAt, "") {
		return
	}
	if len(r.runs) > 0 || o.EndedAt.Sub(o.SentAt) > lossSlack {
		j.find("lost", r.sent.ID, "ended after %s without an answer at %s (%d runs, reused %t): %v",
			o.EndedAt.Sub(o.SentAt), r.sent.Host, len(r.runs), o.Reused, o.Err)
	}
}

func places(runs []worker.Run) string {
	list := make([]string, len(runs))
	for i, r := range runs {
		list[i] = r.Instance + " at " + r.At.Format("15:04:05.000")
	}
	return strings.Join(list, ", ")
}

// checkRepeats looks at the arrivals beyond the first of each request, in windows that slide by a tenth.
func (j *Judge) checkRepeats(service string, list []arrival) {
	if len(list) == 0 {
		return
	}
	var asked []time.Time
	for _, r := range j.records {
		if r.sent.Service == service {
			asked = append(asked, r.sent.At)
		}
	}
	last := list[len(list)-1].At
	for from := list[0].At; from.Before(last); from = from.Add(repeatWindow / 10) {
		again := 0
		for _, a := range list {
			if a.again && within(a.At, from) {
				again++
			}
		}
		requests := max(count(asked, from), count(asked, from.Add(-repeatWindow/2)), count(asked, from.Add(-repeatWindow)))
		if allowed := RepeatRatio*float64(requests) + RepeatSlack; float64(again) > allowed {
			j.find("repeats", "", "%s got %d repeats for %d requests in 10 s from %s: allowed are %.0f",
				service, again, requests, from.Format("15:04:05.000"), allowed)
			return
		}
	}
}

func within(at, from time.Time) bool { return !at.Before(from) && at.Before(from.Add(repeatWindow)) }

func count(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if within(at, from) {
			n++
		}
	}
	return n
}

// Outcomes returns what callers saw of their requests.
func (j *Judge) Outcomes() []caller.Outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []caller.Outcome
	for _, r := range j.records {
		if r.outcome != nil {
			list = append(list, *r.outcome)
		}
	}
	return list
}

// Share returns the number of requests of callers sent since the time, and the share of them that was served.
func (j *Judge) Share(since time.Time) (int, float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	sent, served := 0, 0
	for _, r := range j.records {
		if r.sent.At.Before(since) || r.outcome == nil || !r.sent.Caller {
			continue
		}
		sent++
		if r.outcome.Status == 200 {
			served++
		}
	}
	return sent, float64(served) / float64(max(sent, 1))
}
