package plotter_test

import (
	"bytes"
	"fmt"
	"time"

	"hornbeamcroft/sloreporter"
	"hornbeamcroft/sloreporter/plotter"
)

// Example writes a report as one HTML page.
func Example() {
	wall := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	report := sloreporter.Build(sloreporter.Input{Wall: wall, Nodes: []string{"stock-1"}})
	var page bytes.Buffer
	err := plotter.Plotter{}.WriteHTML(&page, report)
	fmt.Println(err, bytes.Contains(page.Bytes(), []byte("No counts from: stock-1")))
	// Output: <nil> true
}
