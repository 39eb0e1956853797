package receiver

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestNoDocumentClaim guards against the claim "not run" for a resend at a node that has just started and has no
// document. An earlier send of the key may have run at another node. The proof script kill found this.
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
		v := &Receiver{Clock: fixedClock{}, Document: func() *hornbeamcroft.Document { return nil }}
		v.Serve(w, r, "s", "t")
		is.Equal(w.Header().Get(HeaderCode), tt.want)
	}
}

// TestFirstDocument guards against a resend that is refused with the code earlier-send-unknown only because its node
// has just started. The call must wait for the first document. The proof script rolling-certain found this.
func TestFirstDocument(t *testing.T) {
	is := is.New(t)
	accepted := make(chan struct{})
	var doc atomic.Pointer[hornbeamcroft.Document]
	v := &Receiver{Clock: fixedClock{}, Document: doc.Load, HasDocument: accepted}
	r := httptest.NewRequest(http.MethodPost, "/call/s/t", strings.NewReader("x"))
	r.Header.Set("Idempotency-Key", "k")
	r.Header.Set(HeaderAttempt, "2")
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.Serve(w, r, "s", "t")
	}()
	select {
	case <-done:
		t.Fatalf("refused with %s before the first document", w.Header().Get(HeaderCode))
	case <-time.After(documentWait / 10):
	}
	doc.Store(&hornbeamcroft.Document{Services: map[string]hornbeamcroft.Service{"s": {}}})
	close(accepted)
	<-done
	is.Equal(w.Header().Get(HeaderCode), strconv.Itoa(int(hornbeamcroft.CodeUnknownRequestType)))
}

// fixedClock is a clock whose time does not change.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return 0 }
