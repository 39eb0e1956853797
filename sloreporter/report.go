package sloreporter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// WindowPair is a short and a long time span whose burn rates are compared with one threshold. An objective pages if both
// burn rates reach it: the long one shows that the loss of budget is significant, the short one that it continues.
type WindowPair struct {
	Short, Long time.Duration
	// Threshold is the burn rate from which on the objective pages. At a burn rate of 1, the budget is used up exactly at
	// the end of the period.
	Threshold float64
}

// WindowPairs are the pairs for which a report holds burn rates. The thresholds are the usual ones for a period of 30
// days: 14.4 uses up 2 % of the budget in 1 h, 6 uses up 5 % in 6 h, 3 uses up 10 % in 24 h, and 1 uses up 10 % in 3 days.
var WindowPairs = [4]WindowPair{
	{5 * time.Minute, time.Hour, 14.4},
	{30 * time.Minute, 6 * time.Hour, 6},
	{2 * time.Hour, 24 * time.Hour, 3},
	{6 * time.Hour, 72 * time.Hour, 1},
}

// Goal states which requests count as missed by an objective.
type Goal uint8

// The goals.
const (
	// GoalAnswered counts bad and refused requests as missed.
	GoalAnswered Goal = iota
	// GoalWithin counts slow requests as missed, too.
	GoalWithin
)

// String returns the name used in reports.
func (g Goal) String() string {
	if g == GoalWithin {
		return "within"
	}
	return "answered"
}

// MarshalText returns the name of the goal, so that JSON holds it instead of a number.
func (g Goal) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// Input holds what Build computes a report from.
type Input struct {
	// Wall is the wall-clock time of the report.
	Wall time.Time
	// Counts are the counts of all nodes that answered.
	Counts []Counts
	// Nodes are the names of the nodes that should have answered, at least one.
	Nodes      []string
	Objectives []hornbeamcroft.Objective
}

// Report is the state of all objectives.
type Report struct {
	Wall time.Time `json:"wall"`
	// Missing names the nodes that did not answer.
	Missing []string `json:"missing"`
	// Restarted lists the nodes that began to count less than the longest period of all objectives ago.
	Restarted  []Start           `json:"restarted"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// Start is the time at which a node began to count.
type Start struct {
	Node  string    `json:"node"`
	Since time.Time `json:"since"`
}

// ObjectiveReport is the state of one objective.
type ObjectiveReport struct {
	Service string `json:"service"`
	Request string `json:"request"`
	Goal    Goal   `json:"goal"`
	// Target is the share of requests that must meet the goal, 0 to 1.
	Target float64 `json:"target"`
	// Within is the time in which requests must be answered; zero for GoalAnswered.
	Within time.Duration `json:"within-ns"`
	// Period is the time over which the error budget is counted.
	Period time.Duration `json:"period-ns"`
	// Requests is the number of requests counted over the period, Missed the number of those that missed the goal.
	Requests float64 `json:"requests"`
	Missed   float64 `json:"missed"`
	// Coverage is the share, 0 to 1, of the time of all nodes over the period for which counts exist.
	Coverage float64 `json:"coverage"`
	// BudgetAtLeast is the share of the error budget that is left if all uncounted requests missed the goal. Act on
	// this value: it falls if a node loses its counts. It may be far below zero.
	BudgetAtLeast float64 `json:"budget-at-least"`
	// BudgetAtMost is the share of the error budget that is left if all uncounted requests met the goal.
	BudgetAtMost float64 `json:"budget-at-most"`
	// Burns holds the burn rates of each element of WindowPairs.
	Burns [4]BurnRate `json:"burns"`
	// Fine and Coarse are the sums over all nodes in windows of FineLength and CoarseLength, without the windows for
	// which no counts exist.
	Fine   []Point `json:"fine"`
	Coarse []Point `json:"coarse"`
}

// BurnRate holds the burn rates of one WindowPair.
type BurnRate struct {
	// Short and Long are multiples of the burn rate that uses up the budget exactly at the end of the period. They are
	// negative if no request was counted or the objective allows no miss.
	Short float64 `json:"short"`
	Long  float64 `json:"long"`
	// CoverageShort and CoverageLong are the shares, 0 to 1, of the time of all nodes for which counts exist.
	CoverageShort float64 `json:"coverage-short"`
	CoverageLong  float64 `json:"coverage-long"`
	// Pages is true if both burn rates reach the threshold of the WindowPair.
	Pages bool `json:"pages"`
}

// Point is one window of the sum over all nodes.
type Point struct {
	// At is the start of the window.
	At       time.Time `json:"at"`
	Requests float64   `json:"requests"`
	Missed   float64   `json:"missed"`
	// Coverage is the share, 0 to 1, of the time of all nodes for which counts exist.
	Coverage float64 `json:"coverage"`
}

// Build computes a report. Of several Counts of the same node and request type, only the first is used.
func Build(in Input) Report {
	r := Report{Wall: in.Wall, Missing: missingNodes(in), Restarted: recentStarts(in)}
	totals := map[string]*series{}
	seen := map[string]bool{}
	for _, c := range in.Counts {
		id := c.Node + "/" + c.Service + "/" + c.Request
		if seen[id] {
			continue
		}
		seen[id] = true
		name := c.Service + "/" + c.Request
		if totals[name] == nil {
			totals[name] = &series{fine: newRing(FineLength, FineCount), coarse: newRing(CoarseLength, CoarseCount)}
		}
		totals[name].fine.merge(in.Wall, c.Fine)
		totals[name].coarse.merge(in.Wall, c.Coarse)
	}
	for _, o := range in.Objectives {
		s := totals[o.Service+"/"+o.RequestType]
		if s == nil {
			s = &series{fine: newRing(FineLength, FineCount), coarse: newRing(CoarseLength, CoarseCount)}
		}
		if o.Answered > 0 {
			r.Objectives = append(r.Objectives, evaluate(in, o, GoalAnswered, s))
		}
		if o.Within > 0 {
			r.Objectives = append(r.Objectives, evaluate(in, o, GoalWithin, s))
		}
	}
	return r
}

// missingNodes returns the sorted names of the nodes without counts.
func missingNodes(in Input) []string {
	out := slices.DeleteFunc(slices.Sorted(slices.Values(in.Nodes)), func(n string) bool {
		return slices.ContainsFunc(in.Counts, func(c Counts) bool { return c.Node == n })
	})
	return out
}

// recentStarts returns the start times, sorted by node, that are less than the longest period of all objectives ago.
func recentStarts(in Input) []Start {
	var period time.Duration
	for _, o := range in.Objectives {
		period = max(period, o.Period)
	}
	since := map[string]time.Time{}
	for _, c := range in.Counts {
		if t := time.UnixMilli(c.Since); t.After(in.Wall.Add(-period)) {
			since[c.Node] = t.UTC()
		}
	}
	var out []Start
	for _, n := range slices.Sorted(maps.Keys(since)) {
		out = append(out, Start{Node: n, Since: since[n]})
	}
	return out
}

// evaluate computes the report of one objective and goal from the sums of its request type.
func evaluate(in Input, o hornbeamcroft.Objective, g Goal, s *series) ObjectiveReport {
	out := ObjectiveReport{Service: o.Service, Request: o.RequestType, Goal: g, Target: o.Answered, Period: o.Period}
	if g == GoalWithin {
		out.Target, out.Within = o.WithinShare, o.Within
	}
	allowed := 1 - out.Target
	nodes := float64(max(1, len(in.Nodes)))
	sum, coverage := s.coarse.sum(in.Wall, o.Period, nodes)
	out.Requests, out.Missed, out.Coverage = sum.total(), missedRequests(sum, g), coverage
	out.BudgetAtLeast, out.BudgetAtMost = remainingBudget(out, allowed)
	for i, p := range WindowPairs {
		out.Burns[i] = burnRates(in.Wall, s, p, g, allowed, nodes)
	}
	out.Fine, out.Coarse = s.fine.points(in.Wall, g, nodes), s.coarse.points(in.Wall, g, nodes)
	return out
}

// missedRequests returns the number of requests in w that miss the goal.
func missedRequests(w Window, g Goal) float64 {
	m := float64(w.Bad) + float64(w.Refused)
	if g == GoalWithin {
		m += float64(w.Slow)
	}
	return m
}

// remainingBudget returns the lower and the upper bound of the share of the error budget that is left. It estimates the
// number of requests of the whole period as the counted number divided by the coverage.
func remainingBudget(o ObjectiveReport, allowed float64) (least, most float64) {
	if allowed <= 0 || o.Coverage <= 0 || o.Requests == 0 {
		return 1 - (1-o.Coverage)/max(allowed, 1e-9), 1
	}
	all := o.Requests / o.Coverage
	most = 1 - o.Missed/(allowed*all)
	return most - (1-o.Coverage)/allowed, most
}

// burnRates computes the burn rates of one pair. Spans of up to 6 hours use the fine windows, longer ones the coarse
// windows.
func burnRates(wall time.Time, s *series, p WindowPair, g Goal, allowed, nodes float64) BurnRate {
	rate := func(d time.Duration) (float64, float64) {
		r := &s.fine
		if d > time.Duration(FineCount-1)*FineLength {
			r = &s.coarse
		}
		sum, coverage := r.sum(wall, d, nodes)
		if sum.total() == 0 || allowed <= 0 {
			return -1, coverage
		}
		return missedRequests(sum, g) / sum.total() / allowed, coverage
	}
	var b BurnRate
	b.Short, b.CoverageShort = rate(p.Short)
	b.Long, b.CoverageLong = rate(p.Long)
	b.Pages = b.Short >= p.Threshold && b.Long >= p.Threshold
	return b
}

// sum returns the sum of the windows that began in the last d, including the current one, and the share of the nodes'
// time in them for which counts exist. nodes is the number of nodes.
func (r *ring) sum(wall time.Time, d time.Duration, nodes float64) (Window, float64) {
	var out Window
	first := r.index(wall.Add(r.length - d - time.Millisecond))
	for i := first; i <= r.index(wall); i++ {
		if w := r.windows[i%int64(len(r.windows))]; w.Index == i {
			out.add(w)
		}
	}
	span := wall.Sub(time.UnixMilli(first * r.length.Milliseconds()))
	return out, min(1, float64(out.Covered)/(nodes*float64(max(1, span.Milliseconds()))))
}

// points returns the windows that hold counts or coverage, oldest first.
func (r *ring) points(wall time.Time, g Goal, nodes float64) []Point {
	var out []Point
	for _, w := range r.nonEmpty(wall) {
		at := time.UnixMilli(w.Index * r.length.Milliseconds()).UTC()
		span := min(r.length, wall.Sub(at))
		coverage := min(1, float64(w.Covered)/(nodes*float64(max(1, span.Milliseconds()))))
		out = append(out, Point{At: at, Requests: w.total(), Missed: missedRequests(w, g), Coverage: coverage})
	}
	return out
}

// Name returns "service/request goal".
func (o ObjectiveReport) Name() string {
	return strings.Join([]string{o.Service + "/" + o.Request, o.Goal.String()}, " ")
}
