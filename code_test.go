package hornbeamcroft

import (
	"testing"

	"github.com/matryer/is"
)

// TestCodesMatchRanges guards against a code that is listed out of order or twice, has no meaning for operators, or is in
// the range 1xx without the claim ClaimRan.
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
