package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReviewKindsAddSteps guards against earlier seeds whose other steps change, so that they no longer find what they found, and against
// kinds that are not drawn, or drawn as faults for seeds with planned operations only.
func TestReviewKindsAddSteps(t *testing.T) {
	is := is.New(t)
	const hosts, perSecond = 5, 0.7
	length := 12 * time.Second
	kinds := ReviewKinds
	t.Cleanup(func() { ReviewKinds = kinds })
	drawn := make(map[string]int)
	for seed := range uint64(50) {
		ReviewKinds = kinds
		plan := Plan(seed, hosts, length, perSecond)
		ReviewKinds = nil
		others := Plan(seed, hosts, length, perSecond)
		hasFaults := slices.ContainsFunc(others, func(s Step) bool { return slices.Contains(StatementKinds, s.Kind) })
		is.Equal(slices.DeleteFunc(plan, func(s Step) bool {
			i := slices.IndexFunc(kinds, func(k ReviewKind) bool { return k.Kind == s.Kind })
			if i >= 0 {
				drawn[s.Kind]++
				is.True(kinds[i].Always || hasFaults)
			}
			return i >= 0
		}), others)
	}
	is.Equal(len(drawn), len(kinds))
}
