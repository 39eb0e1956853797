package leveler

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func load(capacity int, demand ...int) hornbeamcroft.Load {
	return hornbeamcroft.Load{Limit: 1, Capacity: capacity, Demand: demand}
}

// TestAdmissionLevel guards against a level that sheds important requests before less important ones, or that sheds
// requests while there is capacity for them.
func TestAdmissionLevel(t *testing.T) {
	for name, c := range map[string]struct {
		loads      []hornbeamcroft.Load
		importance hornbeamcroft.Importance
		share      float64
	}{
		"nothing known":                  {nil, hornbeamcroft.ImportanceLow, 1},
		"capacity for all":               {[]hornbeamcroft.Load{load(1000, 0, 500, 200, 300)}, hornbeamcroft.ImportanceLow, 1},
		"half of the lowest importance":  {[]hornbeamcroft.Load{load(1000, 0, 1000, 200, 300)}, hornbeamcroft.ImportanceNormal, 0.5},
		"part of the highest importance": {[]hornbeamcroft.Load{load(100, 0, 1000, 200, 400)}, hornbeamcroft.ImportanceCritical, 0.25},
		"one full host":                  {[]hornbeamcroft.Load{load(0, 0, 500, 0, 0), load(1000, 0, 100, 0, 0)}, hornbeamcroft.ImportanceLow, 1},
		"a host with a limit of zero": {
			[]hornbeamcroft.Load{{Capacity: 1000, Demand: []int{0, 0, 0, 0}}, load(100, 0, 400, 0, 0)},
			hornbeamcroft.ImportanceNormal, 0.25,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Leveler
			for _, load := range c.loads {
				l.Add(load)
			}
			p := l.AdmissionLevel("s")
			is.Equal(p.Importance, c.importance)
			is.Equal(float64(p.Threshold)/hornbeamcroft.ThresholdAll, c.share)
		})
	}
}
