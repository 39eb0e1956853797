// Package scorer computes benchmark metrics, such as goodput, recovery time and wasted work, from the actions of
// callers and the executions of upstreams.
package scorer

import (
	"math"
	"slices"
	"time"

	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// Widths used in the search for recovery.
const (
	// BinWidth is the width of a Bin.
	BinWidth = 250 * time.Millisecond
	// RecoveryWindow is the width over which the success ratio is computed. One second contains enough arrivals that a
	// single failure does not decide the result.
	RecoveryWindow = time.Second
)

// RecoveryShare is the share of the success ratio before a fault that must be reached again for recovery.
const RecoveryShare = 0.95

// Bin counts the actions that arrived within one BinWidth.
type Bin struct {
	// Offered counts all actions.
	Offered int `json:"offered"`
	// Succeeded counts the actions that succeeded.
	Succeeded int `json:"whole"`
}

// Bins counts the actions that arrived before total, by time of arrival. Successes are counted by arrival, not by
// completion, so that they can be divided by the actions offered in the same bin; random changes of the arrival rate
// then do not look like failures.
func Bins(actions []caller.Action, total time.Duration) []Bin {
	bins := make([]Bin, int(total/BinWidth))
	for _, a := range actions {
		n := int(a.At / BinWidth)
		if n >= len(bins) {
			continue
		}
		bins[n].Offered++
		if a.Succeeded() {
			bins[n].Succeeded++
		}
	}
	return bins
}

// successRatio returns the share of the offered actions that succeeded, or 1 if none were offered.
func successRatio(bins []Bin) float64 {
	offered, succeeded := 0, 0
	for _, b := range bins {
		offered += b.Offered
		succeeded += b.Succeeded
	}
	if offered == 0 {
		return 1
	}
	return float64(succeeded) / float64(offered)
}

// Recovery returns the time from the end of a fault until the success ratio is at least RecoveryShare of the ratio
// before the fault. Two windows must reach that level, the second of which begins one BinWidth after the first.
// Recovery returns false if that does not happen within the bins.
func Recovery(bins []Bin, faultStart, faultEnd time.Duration) (time.Duration, bool) {
	faultBin := int(faultStart / BinWidth)
	level := successRatio(bins[:faultBin]) * RecoveryShare
	width := int(RecoveryWindow / BinWidth)
	for n := int(faultEnd / BinWidth); n+width+1 <= len(bins); n++ {
		if successRatio(bins[n:n+width]) >= level && successRatio(bins[n+1:n+width+1]) >= level {
			return time.Duration(n)*BinWidth - faultEnd, true
		}
	}
	return 0, false
}

// Goodput returns the number of successful actions per second among those that arrived between from and to.
func Goodput(bins []Bin, from, to time.Duration) float64 {
	succeeded := 0
	for _, b := range bins[int(from/BinWidth):int(to/BinWidth)] {
		succeeded += b.Succeeded
	}
	return float64(succeeded) / (to - from).Seconds()
}

// SucceededMarkers returns the set of markers of the actions that succeeded.
func SucceededMarkers(actions []caller.Action) map[string]bool {
	succeeded := make(map[string]bool, len(actions))
	for _, a := range actions {
		if a.Succeeded() {
			succeeded[a.Marker] = true
		}
	}
	return succeeded
}

// WastedShare returns the wasted share of all upstream work: the work for actions that did not succeed, and repeated
// runs at one service and type for actions that did. The markers of the successful actions are in succeeded. Runs of
// markers for which keep returns false are ignored.
func WastedShare(runs []upstream.Execution, succeeded map[string]bool, keep func(marker string) bool) float64 {
	var total, wasted int64
	seen := make(map[string]bool)
	for _, e := range runs {
		if !keep(e.Marker) {
			continue
		}
		total += e.Work
		id := e.Marker + " " + e.Service + "/" + e.Type
		if !succeeded[e.Marker] || seen[id] {
			wasted += e.Work
		}
		seen[id] = true
	}
	if total == 0 {
		return 0
	}
	return float64(wasted) / float64(total)
}

// RunsPerAction returns the mean and the maximum number of runs at a service per action. Actions that did not run
// there, and markers for which keep returns false, are ignored.
func RunsPerAction(runs []upstream.Execution, service string, keep func(marker string) bool) (mean, maximum float64) {
	counts := make(map[string]float64)
	for _, e := range runs {
		if e.Service == service && keep(e.Marker) {
			counts[e.Marker]++
		}
	}
	for _, n := range counts {
		mean += n / float64(len(counts))
		maximum = max(maximum, n)
	}
	return mean, maximum
}

// Median returns the median, or NaN if there are no values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2
}

// Slope returns the slope of the least-squares line through the points, or NaN if all x are equal or there are no
// points.
func Slope(x, y []float64) float64 {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return math.NaN()
	}
	return (n*sxy - sx*sy) / d
}
