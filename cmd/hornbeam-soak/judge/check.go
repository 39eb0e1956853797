package judge

import (
	"strings"
	"time"

	"hornbeamcroft/platform/standin/worker"
)

// Finish makes the checks that need all observations, and returns all findings.
func (j *Judge) Finish() []Finding {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.unknownRuns {
		j.addFinding("unasked", r.Attempt, "ran at %s, but was never sent", r.Instance)
	}
	for _, r := range j.observations {
		j.checkAttempt(r)
	}
	for service, list := range j.arrivals {
		j.checkRetries(service, list)
	}
	j.checkStatements()
	j.checkPoison()
	return j.findings
}

// checkAttempt checks what was observed of one attempt.
func (j *Judge) checkAttempt(r *observation) {
	s := r.sent
	if !s.Idempotent && len(r.runs) > 1 {
		j.addFinding("once", s.ID, "ran %d times: %s", len(r.runs), formatRuns(r.runs))
	}
	for _, run := range r.runs {
		if run.Method != s.Method || run.Target != s.Target || run.Body != s.Body || run.Origin != s.Origin {
			j.addFinding("unasked", s.ID, "ran as %s %s from %s, was sent as %s %s from %s",
				run.Method, run.Target, run.Origin, s.Method, s.Target, s.Origin)
		}
		if run.Service != s.Service {
			j.addFinding("service", s.ID, "ran at %s, an upstream of %s, and is for %s", run.Instance, run.Service, s.Service)
		}
	}
	o := r.outcome
	if o == nil {
		return
	}
	if o.PromisesNotRun() && len(r.runs) > 0 {
		j.addFinding("refusal", s.ID, "was answered with status %d, which excludes a run, but ran at %s", o.Status, formatRuns(r.runs))
	}
	if o.Signed && !o.Complete || o.Status >= 200 && o.Status < 300 && !o.Signed {
		j.addFinding("whole", s.ID, "answer incomplete or unsigned: status %d, signed %t, complete %t", o.Status, o.Signed, o.Complete)
	}
	if s.Type == TypeLong && o.Err == nil {
		j.checkLong(r)
	}
	if o.Err != nil && !o.SentAt.IsZero() {
		j.checkUnanswered(r)
	}
}

// checkUnanswered adds a finding for a request that ended without an answer, if an upstream ran it or it lasted longer
// than answerGrace. It adds none if an unplanned disruption of any host began or was in progress meanwhile, or ended at
// most settleTime before.
func (j *Judge) checkUnanswered(r *observation) {
	o := r.outcome
	if j.disrupted(o.SentAt, o.EndedAt, "") {
		return
	}
	if len(r.runs) > 0 || o.EndedAt.Sub(o.SentAt) > answerGrace {
		j.addFinding("lost", r.sent.ID, "ended after %s without an answer at %s (%d runs, connection reused: %t): %v",
			o.EndedAt.Sub(o.SentAt), r.sent.Host, len(r.runs), o.Reused, o.Err)
	}
}

// formatRuns lists the instance and time of each run.
func formatRuns(runs []worker.Run) string {
	list := make([]string, len(runs))
	for i, r := range runs {
		list[i] = r.Instance + " at " + r.At.Format("15:04:05.000")
	}
	return strings.Join(list, ", ")
}

// checkRetries adds a finding for the first window of length retryWindow in which a service received more retries than
// allowed. The retries of an attempt are its arrivals at the service after the first. A window begins every tenth of
// retryWindow. It allows RetryAllowance retries, and RetryRatio for each request: the number of requests is the highest
// of those sent in the window itself, in the one that begins half of retryWindow earlier, and in the one that begins a
// whole retryWindow earlier.
func (j *Judge) checkRetries(service string, list []arrival) {
	if len(list) == 0 {
		return
	}
	var sendTimes []time.Time
	for _, r := range j.observations {
		if r.sent.Service == service {
			sendTimes = append(sendTimes, r.sent.At)
		}
	}
	last := list[len(list)-1].At
	for from := list[0].At; from.Before(last); from = from.Add(retryWindow / 10) {
		retries := 0
		for _, a := range list {
			if a.retry && inWindow(a.At, from) {
				retries++
			}
		}
		requests := max(countInWindow(sendTimes, from), countInWindow(sendTimes, from.Add(-retryWindow/2)),
			countInWindow(sendTimes, from.Add(-retryWindow)))
		if allowed := RetryRatio*float64(requests) + RetryAllowance; float64(retries) > allowed {
			j.addFinding("repeats", "", "%s received %d retries for %d requests within 10 s from %s; %.0f are allowed",
				service, retries, requests, from.Format("15:04:05.000"), allowed)
			return
		}
	}
}

// inWindow reports whether the time lies in the window that begins at from.
func inWindow(at, from time.Time) bool { return !at.Before(from) && at.Before(from.Add(retryWindow)) }

// countInWindow returns the number of times that lie in the window that begins at from.
func countInWindow(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if inWindow(at, from) {
			n++
		}
	}
	return n
}
