// Package scorer computes the figures of measurements from accounts of callers and records of upstreams.
package scorer

import (
	"math"
	"slices"
	"time"

	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// Widths in the search for recovery. A window of a second holds enough arrivals that one failure does not decide.
const (
	Step   = 250 * time.Millisecond
	Window = time.Second
)

// RecoveryShare is the share of the level before at which goodput counts as recovered.
const RecoveryShare = 0.95

// Bin counts the actions that arrived in one Step.
type Bin struct {
	Offered int `json:"offered"`
	Whole   int `json:"whole"`
}

// Bins counts actions by time of arrival. Goodput by arrival is a share of what was offered, so that the randomness of
// arrivals does not look like a loss.
func Bins(actions []caller.Action, total time.Duration) []Bin {
	bins := make([]Bin, int(total/Step))
	for _, a := range actions {
		n := int(a.At / Step)
		if n >= len(bins) {
			continue
		}
		bins[n].Offered++
		if a.Whole() {
			bins[n].Whole++
		}
	}
	return bins
}

// share returns the whole ones as a share of the offered, 1 if nothing was offered.
func share(bins []Bin) float64 {
	offered, whole := 0, 0
	for _, b := range bins {
		offered += b.Offered
		whole += b.Whole
	}
	if offered == 0 {
		return 1
	}
	return float64(whole) / float64(offered)
}

// Recovery returns the time from the end of the fault until the share of whole requests is back at RecoveryShare of the
// level before the fault, in two overlapping windows one after the other. It returns false if that does not happen
// within the bins.
func Recovery(bins []Bin, faultStart, faultEnd time.Duration) (time.Duration, bool) {
	before := int(faultStart / Step)
	level := share(bins[:before]) * RecoveryShare
	width := int(Window / Step)
	for n := int(faultEnd / Step); n+width+1 <= len(bins); n++ {
		if share(bins[n:n+width]) >= level && share(bins[n+1:n+width+1]) >= level {
			return time.Duration(n)*Step - faultEnd, true
		}
	}
	return 0, false
}

// Goodput returns the whole requests per second of arrivals in the span.
func Goodput(bins []Bin, from, to time.Duration) float64 {
	whole := 0
	for _, b := range bins[int(from/Step):int(to/Step)] {
		whole += b.Whole
	}
	return float64(whole) / (to - from).Seconds()
}

// WholeMarkers returns the markers of the actions with a whole answer.
func WholeMarkers(actions []caller.Action) map[string]bool {
	whole := make(map[string]bool, len(actions))
	for _, a := range actions {
		if a.Whole() {
			whole[a.Marker] = true
		}
	}
	return whole
}

// Waste returns the work for requests that got no whole answer, and repeated work for those that did, as a share of
// all upstream work. Runs of markers for which keep is false are left out.
func Waste(runs []upstream.Execution, whole map[string]bool, keep func(marker string) bool) float64 {
	var all, wasted int64
	done := make(map[string]bool)
	for _, e := range runs {
		if !keep(e.Marker) {
			continue
		}
		all += e.Work
		id := e.Marker + " " + e.Service + "/" + e.Type
		if !whole[e.Marker] || done[id] {
			wasted += e.Work
		}
		done[id] = true
	}
	if all == 0 {
		return 0
	}
	return float64(wasted) / float64(all)
}

// PerRequest returns the mean and the maximum of runs at the service per request that ran there at all.
func PerRequest(runs []upstream.Execution, service string, keep func(marker string) bool) (mean, most float64) {
	counts := make(map[string]float64)
	for _, e := range runs {
		if e.Service == service && keep(e.Marker) {
			counts[e.Marker]++
		}
	}
	for _, n := range counts {
		mean += n / float64(len(counts))
		most = max(most, n)
	}
	return mean, most
}

// Median returns the median, or NaN for no values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	n := len(v)
	return (v[(n-1)/2] + v[n/2]) / 2
}

// Slope returns the slope of the least-squares line through the points, or NaN if it is not defined.
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
