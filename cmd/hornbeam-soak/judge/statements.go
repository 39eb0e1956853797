package judge

import (
	"cmp"
	"slices"
	"time"

	"hornbeamcroft/platform/standin/worker"
)

// statements holds what the answers of one instance stated.
type statements struct {
	// leavingAt and limitedAt hold, by host, when its node first passed on an answer that states that the instance leaves, or
	// its limit.
	leavingAt, limitedAt map[string]time.Time
	// limit is the stated rate limit in requests per second; zero if there was none.
	limit float64
	// answers holds the complete answers that do not state that the instance leaves.
	answers []statingAnswer
}

// statingAnswer is an answer that ended at a time, and whether it stated a rate limit.
type statingAnswer struct {
	at     time.Time
	stated bool
}

// limitPeriod is a time in which an instance has stated a rate limit and has not withdrawn it.
type limitPeriod struct{ from, until time.Time }

// withdrawingAnswers is the number of answers in a row without a limit that withdraw it. Fewer may have been on their way when the
// instance began to state it.
const withdrawingAnswers = 3

// limitPeriods returns the periods in which the instance stated a limit.
func (s *statements) limitPeriods() []limitPeriod {
	slices.SortFunc(s.answers, func(a, b statingAnswer) int { return a.at.Compare(b.at) })
	var periods []limitPeriod
	without := withdrawingAnswers
	for _, a := range s.answers {
		if !a.stated {
			without++
			continue
		}
		if without >= withdrawingAnswers {
			periods = append(periods, limitPeriod{from: a.at})
		}
		periods[len(periods)-1].until = a.at
		without = 0
	}
	return periods
}

// collectStatements returns the statements of each instance.
func (j *Judge) collectStatements() map[string]*statements {
	byInstance := make(map[string]*statements)
	for _, r := range j.observations {
		o := r.outcome
		if o == nil || !o.Complete {
			continue
		}
		s := byInstance[o.Instance]
		if s == nil {
			s = &statements{leavingAt: make(map[string]time.Time), limitedAt: make(map[string]time.Time)}
			byInstance[o.Instance] = s
		}
		if o.Leaving {
			keepEarliest(s.leavingAt, r.sent.Host, o.EndedAt)
			continue
		}
		s.answers = append(s.answers, statingAnswer{o.EndedAt, o.RateLimit > 0})
		if o.RateLimit > 0 {
			s.limit = o.RateLimit
			keepEarliest(s.limitedAt, r.sent.Host, o.EndedAt)
		}
	}
	return byInstance
}

func keepEarliest(times map[string]time.Time, host string, at time.Time) {
	if known, ok := times[host]; !ok || at.Before(known) {
		times[host] = at
	}
}

// checkStatements checks the arrivals at each instance against what it stated.
func (j *Judge) checkStatements() {
	byInstance := j.collectStatements()
	limited := make(map[string][]worker.Run)
	for _, list := range j.arrivals {
		for _, a := range list {
			s, r := byInstance[a.Instance], j.observations[a.Attempt]
			if s == nil || r == nil {
				continue
			}
			j.checkLeaving(s, r, a.Run)
			told, ok := s.limitedAt[r.sent.Host]
			if ok && a.At.Sub(told) >= toldLag && !j.excused(told, a.At, r.sent.Host) {
				limited[a.Instance] = append(limited[a.Instance], a.Run)
			}
		}
	}
	for instance, runs := range limited {
		s := byInstance[instance]
		for _, p := range s.limitPeriods() {
			j.checkLimit(s.limit, p, runs)
		}
	}
}

// checkLeaving adds a finding if the request was sent too late after its node had passed on that the instance leaves.
func (j *Judge) checkLeaving(s *statements, r *observation, run worker.Run) {
	told, ok := s.leavingAt[r.sent.Host]
	if ok && r.sent.At.Sub(told) > drainGrace && !j.excused(told, run.At, r.sent.Host) {
		j.addFinding("leaving", run.Attempt, "sent at %s %s after the node had passed on that %s leaves",
			r.sent.Host, r.sent.At.Sub(told), run.Instance)
	}
}

// checkLimit adds a finding for the first window of a period in which the instance got more requests than it stated to take.
func (j *Judge) checkLimit(limit float64, p limitPeriod, runs []worker.Run) {
	slices.SortFunc(runs, func(a, b worker.Run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	allowed := limitFactor*limit*limitWindow.Seconds() + limitAllowance
	first := 0
	for i, run := range runs {
		for run.At.Sub(runs[first].At) >= limitWindow {
			first++
		}
		if runs[first].At.Sub(p.from) < limitSettle || run.At.After(p.until) {
			continue
		}
		if n := i - first + 1; float64(n) > allowed {
			j.addFinding("limit", run.Attempt, "%s got %d requests in 4 s and states a limit of %.1f a second", run.Instance, n, limit)
			return
		}
	}
}

// excused reports whether the node of the host was restarted, paused or cut off between the times.
func (j *Judge) excused(from, to time.Time, host string) bool {
	kinds := []string{"kill", "kill-many", "kill-all", "stop", "pause", "links-silent", "links-one-way", "links-reset"}
	return slices.ContainsFunc(j.disruptions, func(d *Disruption) bool {
		return slices.Contains(kinds, d.Kind) && (d.Host == "" || d.Host == host) && d.during(from, to)
	})
}
