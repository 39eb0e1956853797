package hornbeamcroft

import (
	"testing"

	"github.com/matryer/is"
)

// TestCodesMatchRanges guards against a code whose claim contradicts its range or that is listed out of order.
func TestCodesMatchRanges(t *testing.T) {
	is := is.New(t)
	last := Code(0)
	for _, info := range Codes {
		is.True(info.Code > last) // ascending and unique
		last = info.Code
		is.True(info.Meaning != "")
		if info.Code < 200 {
			is.Equal(info.Code.Claim(), ClaimRan)
		}
	}
}
