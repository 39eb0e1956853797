package exchanger

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestStatement guards against a stated limit that is lost or invented when its field cannot be read.
func TestStatement(t *testing.T) {
	names := HeaderNames{RateLimit: "Limit", Leaving: "Leaving"}
	for _, c := range []struct {
		limit, leaving string
		want           *hornbeamcroft.Statement
	}{
		{"", "", &hornbeamcroft.Statement{}},
		{"18.6", "", &hornbeamcroft.Statement{Limited: true, RateLimit: 18.6}},
		{"0", "", &hornbeamcroft.Statement{Limited: true}},
		{"12", "1", &hornbeamcroft.Statement{Leaving: true}},
		{"", "0", &hornbeamcroft.Statement{}},
		{"-1", "", nil},
		{"NaN", "", nil},
		{"Inf", "", nil},
		{"many", "", nil},
		{"many", "1", &hornbeamcroft.Statement{Leaving: true}},
	} {
		h := http.Header{}
		if c.limit != "" {
			h.Set("Limit", c.limit)
		}
		if c.leaving != "" {
			h.Set("Leaving", c.leaving)
		}
		is.New(t).Equal(statement(h, names), c.want)
	}
}
