package receiver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/dispatcher"
	"hornbeamcroft/registrar"
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
	v := newReceiver(doc.Load)
	v.HasDocument = accepted
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
	doc.Store(testDocument())
	close(accepted)
	<-done
	is.Equal(w.Header().Get(HeaderCode), strconv.Itoa(int(hornbeamcroft.CodeAnswered)))
}

// testDocument returns a document with the non-idempotent request type s/t and the idempotent one s/get.
func testDocument() *hornbeamcroft.Document {
	d := &hornbeamcroft.Document{
		Services: map[string]hornbeamcroft.Service{"s": {}},
		RequestTypes: map[string]hornbeamcroft.RequestType{
			"s/t":   {Timeout: time.Second, Importance: hornbeamcroft.ImportanceCritical},
			"s/get": {Timeout: time.Second, Importance: hornbeamcroft.ImportanceCritical, Idempotent: true},
		},
	}
	d.Platform.MaxBody = 100
	return d
}

// newReceiver returns a Receiver that forwards to an upstream which answers each call.
func newReceiver(document func() *hornbeamcroft.Document) *Receiver {
	return &Receiver{
		Clock: fixedClock{}, Document: document, Calls: registrar.New(fixedClock{}, 1), Refuses: func(bool) bool { return false },
		Forward: func(context.Context, []*registrar.RunningCall, hornbeamcroft.Call) hornbeamcroft.Answer {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: http.StatusOK}
		},
	}
}

// TestRejectedResend guards against the claim "not run" for a resend that is rejected because of its content or of a changed
// document. An earlier send of the key may have run at a node with another document, or with its whole body.
func TestRejectedResend(t *testing.T) {
	for name, c := range map[string]struct{ path, attempt, body, timeout, want string }{
		"first send, too large":        {"t", "1", strings.Repeat("x", 101), "", "406"},
		"resend, too large":            {"t", "2", strings.Repeat("x", 101), "", "308"},
		"resend, malformed timeout":    {"t", "2", "x", "soon", "308"},
		"resend, type removed":         {"gone", "2", "x", "", "308"},
		"first send, type removed":     {"gone", "1", "x", "", "401"},
		"idempotent resend, too large": {"get", "2", strings.Repeat("x", 101), "", "406"},
		"resend, accepted":             {"t", "2", "x", "", "100"},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/call/s/"+c.path, strings.NewReader(c.body))
			r.Header.Set("Idempotency-Key", "k")
			r.Header.Set(HeaderAttempt, c.attempt)
			if c.timeout != "" {
				r.Header.Set(dispatcher.HeaderTimeout, c.timeout)
			}
			w := httptest.NewRecorder()
			newReceiver(testDocument).Serve(w, r, "s", c.path)
			is.New(t).Equal(w.Header().Get(HeaderCode), c.want)
		})
	}
}

// TestRefusalOfRunCall guards against an answer of a call that ran with a status by which HTTP clients take it as not run and send it again.
func TestRefusalOfRunCall(t *testing.T) {
	for status, want := range map[int]int{
		http.StatusRequestTimeout: http.StatusBadGateway, http.StatusMisdirectedRequest: http.StatusBadGateway,
		http.StatusTooManyRequests: http.StatusBadGateway, http.StatusServiceUnavailable: http.StatusBadGateway,
		http.StatusOK: http.StatusOK, http.StatusConflict: http.StatusConflict, http.StatusInternalServerError: http.StatusInternalServerError,
		http.StatusGatewayTimeout: http.StatusGatewayTimeout,
	} {
		is := is.New(t)
		v := newReceiver(testDocument)
		v.Forward = func(context.Context, []*registrar.RunningCall, hornbeamcroft.Call) hornbeamcroft.Answer {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: status, Body: []byte("b")}
		}
		r := httptest.NewRequest(http.MethodPost, "/call/s/t", strings.NewReader("x"))
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		v.Serve(w, r, "s", "t")
		is.Equal(w.Code, want)
		is.Equal(w.Header().Get(dispatcher.HeaderClaim), "ran")
		is.Equal(w.Body.String(), "b")
	}
}

// fixedClock is a clock whose time does not change.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return 0 }
