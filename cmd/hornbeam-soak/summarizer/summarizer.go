// Package summarizer makes a page of results from what callers saw of their requests.
package summarizer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rcrowley/go-metrics"

	"hornbeamcroft/platform/standin/caller"
)

// sampleSize bounds the latencies of a kind that are kept.
const sampleSize = 100_000

// Summarizer counts outcomes by kind of request. The zero value is ready for use; it is not safe for concurrent use.
type Summarizer struct {
	kinds map[string]*results
}

// results are the outcomes of one kind of request.
type results struct {
	asked, served, refused, failed int
	latency                        metrics.Histogram
}

// Add counts an outcome under the first segment of its path.
func (s *Summarizer) Add(o caller.Outcome) {
	name, _, _ := strings.Cut(strings.TrimPrefix(o.Attempt.Target, "/"), "/")
	r := s.kinds[name]
	if r == nil {
		if s.kinds == nil {
			s.kinds = make(map[string]*results)
		}
		r = &results{latency: metrics.NewHistogram(metrics.NewUniformSample(sampleSize))}
		s.kinds[name] = r
	}
	r.asked++
	switch {
	case o.Complete:
		r.served++
		r.latency.Update(o.EndedAt.Sub(o.SentAt).Microseconds())
	case o.PromisesNotRun():
		r.refused++
	default:
		r.failed++
	}
}

// Write writes a row for each kind of request. Latencies are of the requests that were served.
func (s *Summarizer) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{"request\tasked\tserved\trefused\tfailed\tp50 ms\tp99 ms\t"}
	for _, name := range slices.Sorted(maps.Keys(s.kinds)) {
		r := s.kinds[name]
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t", name, r.asked,
			r.share(r.served), r.share(r.refused), r.share(r.failed), r.millis(0.5), r.millis(0.99)))
	}
	if _, err := fmt.Fprintln(t, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return t.Flush()
}

func (r *results) share(n int) float64 { return float64(n) / float64(r.asked) }

func (r *results) millis(quantile float64) float64 {
	return r.latency.Percentile(quantile) * float64(time.Microsecond) / float64(time.Millisecond)
}
