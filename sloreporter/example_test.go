package sloreporter_test

import (
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/sloreporter"
)

// One request in four fails although one in a hundred may, which gives a burn rate of 25.
func Example() {
	wall := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	r := sloreporter.New(wall, "stock-1", 1)
	_ = r.Register(wall, "felt-stock", "lookup")
	for i := range 3600 {
		wall = wall.Add(time.Second)
		r.Tick(wall)
		o := sloreporter.OutcomeGood
		if i%4 == 0 {
			o = sloreporter.OutcomeBad
		}
		r.Record(wall, "felt-stock", "lookup", o)
	}
	report := sloreporter.Build(sloreporter.Input{
		Wall: wall, Counts: r.Snapshot(wall), Nodes: []string{"stock-1", "stock-2"},
		Objectives: []hornbeamcroft.Objective{{Service: "felt-stock", RequestType: "lookup", Answered: 0.99, Period: time.Hour}},
	})
	fmt.Printf("%.1f %v %v\n", report.Objectives[0].Burns[0].Long, report.Objectives[0].Burns[0].Pages, report.Missing)
	// Output: 25.0 true [stock-2]
}
