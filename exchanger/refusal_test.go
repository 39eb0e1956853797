package exchanger

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRefusalOutcome guards against an answer that counts as a refusal, by its status or its sender, although the upstream has run the request.
func TestRefusalOutcome(t *testing.T) {
	names := headerNames
	names.Signature, names.MisdirectedStatus = "signature", http.StatusMisdirectedRequest
	names.RefusalStatuses = []int{http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, c := range []struct {
		status int
		fields string
		want   Outcome
	}{
		{http.StatusServiceUnavailable, "", OutcomeUnprovenRefusal},
		{http.StatusServiceUnavailable, "Signature: s\r\n", OutcomeUnprovenRefusal},
		{http.StatusServiceUnavailable, names.NotRun + ": 1\r\n", OutcomeNotRun},
		{http.StatusTooManyRequests, "Signature: s\r\n", OutcomeUnprovenRefusal},
		{http.StatusMisdirectedRequest, "", OutcomeWrongInstance},
		{http.StatusMisdirectedRequest, names.NotRun + ": 1\r\nSignature: s\r\n", OutcomeWrongInstance},
		{http.StatusMisdirectedRequest, "Signature: s\r\n", OutcomeUnprovenRefusal},
		{http.StatusInternalServerError, "Signature: s\r\n", OutcomeAnswered},
		{http.StatusRequestTimeout, "Signature: s\r\n", OutcomeAnswered}, // not among the statuses of this test
	} {
		is := is.New(t)
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt: a\r\n%sContent-Length: 2\r\n\r\nok", c.status, c.fields)
		res, _ := readText(names, text)
		is.Equal(res.Outcome, c.want)
		is.Equal(res.Status, c.status)
	}
}
