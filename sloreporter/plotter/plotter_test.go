package plotter

import (
	"strings"
	"testing"
	"time"

	"hornbeamcroft/sloreporter"

	"github.com/matryer/is"
)

// TestPage guards against a page that refers to other files, does not escape names as HTML, or draws a line across a gap.
func TestPage(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	o := sloreporter.ObjectiveReport{Service: "<b>", Request: "order", Target: 0.99, Coverage: 0.5}
	for i := range 10 {
		if i != 5 {
			o.Fine = append(o.Fine, sloreporter.Point{At: at.Add(time.Duration(i) * time.Minute), Requests: 10, Missed: float64(i % 2)})
		}
	}
	var b strings.Builder
	is.NoErr(Plotter{}.WriteHTML(&b, sloreporter.Report{Wall: at, Missing: []string{"n7"}, Objectives: []sloreporter.ObjectiveReport{o}}))
	is.Equal(strings.Count(b.String(), "<svg"), 2)
	is.True(!strings.Contains(b.String(), "<b>") && !strings.Contains(b.String(), "<?xml"))
	is.True(!strings.Contains(b.String(), "src=") && !strings.Contains(b.String(), "href="))
	is.Equal(len(splitAtGaps(o.Fine, time.Minute)), 2)
}
