package leveler

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func load(room int, offered ...int) hornbeamcroft.Load {
	return hornbeamcroft.Load{Limit: 1, Room: room, Offered: offered}
}

// TestPressure guards against a level that sheds important requests before others, or sheds while there is room.
func TestPressure(t *testing.T) {
	for name, c := range map[string]struct {
		loads      []hornbeamcroft.Load
		importance hornbeamcroft.Importance
		share      float64
	}{
		"nothing known":     {nil, hornbeamcroft.ImportanceLow, 1},
		"room for all":      {[]hornbeamcroft.Load{load(1000, 0, 500, 200, 300)}, hornbeamcroft.ImportanceLow, 1},
		"half of the least": {[]hornbeamcroft.Load{load(1000, 0, 1000, 200, 300)}, hornbeamcroft.ImportanceNormal, 0.5},
		"the most alone":    {[]hornbeamcroft.Load{load(100, 0, 1000, 200, 400)}, hornbeamcroft.ImportanceCritical, 0.25},
		"one full host":     {[]hornbeamcroft.Load{load(0, 0, 500, 0, 0), load(1000, 0, 100, 0, 0)}, hornbeamcroft.ImportanceLow, 1},
		"a host that is down": {
			[]hornbeamcroft.Load{{Room: 1000, Offered: []int{0, 0, 0, 0}}, load(100, 0, 400, 0, 0)},
			hornbeamcroft.ImportanceNormal, 0.25,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Leveler
			for _, load := range c.loads {
				l.Add(load)
			}
			p := l.Pressure("s")
			is.Equal(p.Importance, c.importance)
			is.Equal(float64(p.Threshold)/hornbeamcroft.ThresholdAll, c.share)
		})
	}
}
