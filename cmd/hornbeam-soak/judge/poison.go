package judge

import (
	"slices"
	"time"

	"hornbeamcroft/platform/standin/worker"
)

// Types of requests that the judge treats specially, and the kind of step that sends the requests of TypePoison.
const (
	TypeLong   = "long"
	TypePoison = "poison"
	KindPoison = "poison-rolling"
)

const (
	// crashesToRefuse is the number of crashes after which a request must be refused, and latePoisonRuns the number of its attempts that
	// may reach upstreams later than settleTime after that.
	crashesToRefuse = 3
	latePoisonRuns  = 3
)

// checkPoison adds a finding if requests of TypePoison, which all have the same content, reach upstreams again after they have to be refused.
// A node can learn of the crashes only from others, so arrivals do not count if an unplanned disruption of another kind has begun since.
func (j *Judge) checkPoison() {
	var arrivals []worker.Run
	for _, list := range j.arrivals {
		for _, a := range list {
			if o := j.observations[a.Attempt]; o != nil && o.sent.Type == TypePoison {
				arrivals = append(arrivals, a.Run)
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b worker.Run) int { return a.At.Compare(b.At) })
	// The first arrival at each instance crashes it.
	crashed := make(map[string]bool)
	var refusedFrom time.Time
	late := 0
	for _, a := range arrivals {
		crashed[a.Instance] = true
		switch {
		case len(crashed) < crashesToRefuse:
		case refusedFrom.IsZero():
			refusedFrom = a.At.Add(settleTime)
		case a.At.After(refusedFrom) && !j.otherDisrupted(refusedFrom, a.At):
			late++
		}
	}
	if late > latePoisonRuns {
		j.addFinding("poison", "", "%d attempts of a request reached upstreams later than %s after it had crashed %d; %d crashes",
			late, settleTime, crashesToRefuse, len(crashed))
	}
}

// otherDisrupted reports whether an unplanned disruption that no request caused was in progress between the times or within settleTime before.
func (j *Judge) otherDisrupted(from, to time.Time) bool {
	return slices.ContainsFunc(j.disruptions, func(d *Disruption) bool {
		return !d.Planned && d.Kind != KindPoison && d.during(from.Add(-settleTime), to)
	})
}

// checkLong adds a finding for a long request that an upstream ran and that the node answered itself with an unknown outcome.
func (j *Judge) checkLong(r *observation) {
	o := r.outcome
	if len(r.runs) > 0 && !o.Signed && !o.PromisesNotRun() && !j.disrupted(o.SentAt, o.EndedAt, "") {
		j.addFinding("lost", r.sent.ID, "ran at %s, but was answered by the node of %s with status %d after %s",
			formatRuns(r.runs), r.sent.Host, o.Status, o.EndedAt.Sub(o.SentAt))
	}
}
