package sloreporter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

// Pair is one pair of windows over which burn rates are compared. An objective pages if both burn rates reach the
// threshold: the long window shows that it matters, the short one that it still goes on.
type Pair struct {
	Short, Long time.Duration
	// Threshold is a multiple of the rate that uses up the budget exactly at the end of the period.
	Threshold float64
}

// Pairs are the pairs of windows. The thresholds are the usual ones for a period of 30 days: 14.4 uses up 2 % of the
// budget in 1 h, 6 uses up 5 % in 6 h, 3 uses up 10 % in 24 h, and 1 uses up 10 % in 3 days.
var Pairs = [4]Pair{
	{5 * time.Minute, time.Hour, 14.4},
	{30 * time.Minute, 6 * time.Hour, 6},
	{2 * time.Hour, 24 * time.Hour, 3},
	{6 * time.Hour, 72 * time.Hour, 1},
}

// Goal tells which share an objective is about.
type Goal uint8

// The goals.
const (
	// GoalAnswered counts bad and refused requests against the objective.
	GoalAnswered Goal = iota
	// GoalWithin counts slow ones too.
	GoalWithin
)

// String returns the name used in reports.
func (g Goal) String() string {
	if g == GoalWithin {
		return "within"
	}
	return "answered"
}

// MarshalText makes JSON show the name.
func (g Goal) MarshalText() ([]byte, error) { return []byte(g.String()), nil }

// Input is what a report is made from.
type Input struct {
	Wall time.Time
	// Counts are those of all nodes that answered.
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
	// Restarted names the nodes that began to count less than the longest period ago, with the time since then.
	Restarted  []Start           `json:"restarted"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// Start is when a node began to count.
type Start struct {
	Node  string    `json:"node"`
	Since time.Time `json:"since"`
}

// ObjectiveReport is the state of one objective.
type ObjectiveReport struct {
	Service string `json:"service"`
	Request string `json:"request"`
	Goal    Goal   `json:"goal"`
	// Target is the share that must meet the goal, 0 to 1.
	Target float64       `json:"target"`
	Within time.Duration `json:"within-ns"`
	Period time.Duration `json:"period-ns"`
	// Requests and Missed are the counts over the period.
	Requests float64 `json:"requests"`
	Missed   float64 `json:"missed"`
	// Coverage is the counted share of the time of all nodes over the period, 0 to 1.
	Coverage float64 `json:"coverage"`
	// BudgetAtLeast is the share of the error budget that is left if all requests that nobody counted were missed. It
	// is the figure to act on: a node that loses its counts lowers it. It may be far below zero.
	BudgetAtLeast float64 `json:"budget-at-least"`
	// BudgetAtMost is the share left if none of the requests that nobody counted was missed.
	BudgetAtMost float64     `json:"budget-at-most"`
	Burns        [4]BurnRate `json:"burns"`
	// Fine and Coarse are the sums over all nodes, without the windows that nobody counted.
	Fine   []Point `json:"fine"`
	Coarse []Point `json:"coarse"`
}

// BurnRate is the state of one pair of windows. A rate is negative if nothing was counted in its window.
type BurnRate struct {
	Short         float64 `json:"short"`
	Long          float64 `json:"long"`
	CoverageShort float64 `json:"coverage-short"`
	CoverageLong  float64 `json:"coverage-long"`
	Pages         bool    `json:"pages"`
}

// Point is one window of the sum over all nodes.
type Point struct {
	At       time.Time `json:"at"`
	Requests float64   `json:"requests"`
	Missed   float64   `json:"missed"`
	// Coverage is the counted share of the time of all nodes, 0 to 1.
	Coverage float64 `json:"coverage"`
}

// Build makes a report. Counts of the same node, incarnation and type count once.
func Build(in Input) Report {
	r := Report{Wall: in.Wall, Missing: missing(in), Restarted: starts(in)}
	sums := map[string]*series{}
	seen := map[string]bool{}
	for _, c := range in.Counts {
		id := c.Node + "/" + c.Service + "/" + c.Request
		if seen[id] {
			continue
		}
		seen[id] = true
		name := c.Service + "/" + c.Request
		if sums[name] == nil {
			sums[name] = &series{fine: newRing(FineLength, FineCount), coarse: newRing(CoarseLength, CoarseCount)}
		}
		sums[name].fine.adopt(in.Wall, c.Fine)
		sums[name].coarse.adopt(in.Wall, c.Coarse)
	}
	for _, o := range in.Objectives {
		s := sums[o.Service+"/"+o.Request]
		if s == nil {
			s = &series{fine: newRing(FineLength, FineCount), coarse: newRing(CoarseLength, CoarseCount)}
		}
		if o.Answered > 0 {
			r.Objectives = append(r.Objectives, assess(in, o, GoalAnswered, s))
		}
		if o.Within > 0 {
			r.Objectives = append(r.Objectives, assess(in, o, GoalWithin, s))
		}
	}
	return r
}

func missing(in Input) []string {
	out := slices.DeleteFunc(slices.Sorted(slices.Values(in.Nodes)), func(n string) bool {
		return slices.ContainsFunc(in.Counts, func(c Counts) bool { return c.Node == n })
	})
	return out
}

func starts(in Input) []Start {
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

// assess computes one objective from the sums of its request type.
func assess(in Input, o hornbeamcroft.Objective, g Goal, s *series) ObjectiveReport {
	out := ObjectiveReport{Service: o.Service, Request: o.Request, Goal: g, Target: o.Answered, Period: o.Period}
	if g == GoalWithin {
		out.Target, out.Within = o.WithinShare, o.Within
	}
	allowed := 1 - out.Target
	nodes := float64(max(1, len(in.Nodes)))
	sum, share := s.coarse.sum(in.Wall, o.Period, nodes)
	out.Requests, out.Missed, out.Coverage = sum.total(), missed(sum, g), share
	out.BudgetAtLeast, out.BudgetAtMost = budget(out, allowed)
	for i, p := range Pairs {
		out.Burns[i] = burn(in.Wall, s, p, g, allowed, nodes)
	}
	out.Fine, out.Coarse = s.fine.points(in.Wall, g, nodes), s.coarse.points(in.Wall, g, nodes)
	return out
}

func missed(w Window, g Goal) float64 {
	m := float64(w.Bad) + float64(w.Refused)
	if g == GoalWithin {
		m += float64(w.Slow)
	}
	return m
}

// budget returns the bounds of the share of the error budget that is left. The number of requests of the whole period
// is the counted one, scaled up by the coverage.
func budget(o ObjectiveReport, allowed float64) (least, most float64) {
	if allowed <= 0 || o.Coverage <= 0 || o.Requests == 0 {
		return 1 - (1-o.Coverage)/max(allowed, 1e-9), 1
	}
	all := o.Requests / o.Coverage
	most = 1 - o.Missed/(allowed*all)
	return most - (1-o.Coverage)/allowed, most
}

func burn(wall time.Time, s *series, p Pair, g Goal, allowed, nodes float64) BurnRate {
	rate := func(d time.Duration) (float64, float64) {
		r := &s.fine
		if d > time.Duration(FineCount-1)*FineLength {
			r = &s.coarse
		}
		sum, share := r.sum(wall, d, nodes)
		if sum.total() == 0 || allowed <= 0 {
			return -1, share
		}
		return missed(sum, g) / sum.total() / allowed, share
	}
	var b BurnRate
	b.Short, b.CoverageShort = rate(p.Short)
	b.Long, b.CoverageLong = rate(p.Long)
	b.Pages = b.Short >= p.Threshold && b.Long >= p.Threshold
	return b
}

// sum adds the windows that began in the last d, the one under way included, and returns the share of the nodes' time
// that was counted.
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

func (r *ring) points(wall time.Time, g Goal, nodes float64) []Point {
	var out []Point
	for _, w := range r.used(wall) {
		at := time.UnixMilli(w.Index * r.length.Milliseconds()).UTC()
		span := min(r.length, wall.Sub(at))
		share := min(1, float64(w.Covered)/(nodes*float64(max(1, span.Milliseconds()))))
		out = append(out, Point{At: at, Requests: w.total(), Missed: missed(w, g), Coverage: share})
	}
	return out
}

// Name returns "service/request goal".
func (o ObjectiveReport) Name() string {
	return strings.Join([]string{o.Service + "/" + o.Request, o.Goal.String()}, " ")
}
