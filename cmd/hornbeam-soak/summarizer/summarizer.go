// Package summarizer prints a table of the outcomes that callers observed, by request type.
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

// sampleSize is the number of latencies that are kept for each request type, drawn uniformly from all of them.
const sampleSize = 100_000

// Summarizer counts outcomes by request type. The zero value is ready for use; it is not safe for concurrent use.
type Summarizer struct {
	types map[string]*results
}

// results are the counts and latencies of one request type.
type results struct {
	requests, served, refused, failed int
	latency                           metrics.Histogram
}

// Add counts an outcome. Its request type is the first segment of the path.
func (s *Summarizer) Add(o caller.Outcome) {
	name, _, _ := strings.Cut(strings.TrimPrefix(o.Attempt.Target, "/"), "/")
	r := s.types[name]
	if r == nil {
		if s.types == nil {
			s.types = make(map[string]*results)
		}
		r = &results{latency: metrics.NewHistogram(metrics.NewUniformSample(sampleSize))}
		s.types[name] = r
	}
	r.requests++
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

// Write writes a table with one row for each request type. Latencies are those of the requests that were served.
func (s *Summarizer) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{"request\tasked\tserved\trefused\tfailed\tp50 ms\tp99 ms\t"}
	for _, name := range slices.Sorted(maps.Keys(s.types)) {
		r := s.types[name]
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t", name, r.requests,
			r.share(r.served), r.share(r.refused), r.share(r.failed), r.latencyMillis(0.5), r.latencyMillis(0.99)))
	}
	if _, err := fmt.Fprintln(t, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return t.Flush()
}

func (r *results) share(n int) float64 { return float64(n) / float64(r.requests) }

func (r *results) latencyMillis(quantile float64) float64 {
	return r.latency.Percentile(quantile) * float64(time.Microsecond) / float64(time.Millisecond)
}
