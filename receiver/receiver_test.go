package receiver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestNoDocumentClaim guards against "not run" for a resend at a node that has just started: an earlier send of the key
// may have run elsewhere. Found by the proof script kill.
func TestNoDocumentClaim(t *testing.T) {
	for _, tt := range []struct{ key, attempt, want string }{
		{"", "", "206"},
		{"k", "1", "206"},
		{"k", "2", "308"},
		{"k", "", "308"},
	} {
		is := is.New(t)
		r := httptest.NewRequest(http.MethodPost, "/call/s/t", strings.NewReader("x"))
		r.Header.Set("Idempotency-Key", tt.key)
		r.Header.Set(HeaderAttempt, tt.attempt)
		w := httptest.NewRecorder()
		v := &Receiver{Clock: stopped{}, Document: func() *hornbeamcroft.Document { return nil }}
		v.Serve(w, r, "s", "t")
		is.Equal(w.Header().Get(HeaderCode), tt.want)
	}
}

// stopped is a clock that stands still.
type stopped struct{}

func (stopped) Now() time.Duration { return 0 }
