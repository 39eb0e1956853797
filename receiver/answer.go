package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"hornbeamcroft"
	"hornbeamcroft/dispatcher"
)

// refusalBody is the body of an answer that does not come from an upstream.
type refusalBody struct {
	Code    hornbeamcroft.Code `json:"code"`
	Name    string             `json:"name"`
	Claim   string             `json:"claim"`
	Meaning string             `json:"meaning"`
}

// write writes the answer with its code and claim.
func (v *Receiver) write(w http.ResponseWriter, call hornbeamcroft.Call, a hornbeamcroft.Answer) {
	info := a.Code.Info()
	h := w.Header()
	h.Set(HeaderCode, strconv.Itoa(int(a.Code)))
	h.Set(dispatcher.HeaderClaim, a.Code.Claim().String())
	if call.Request != "" {
		h.Set(HeaderRequest, call.Request)
	}
	body := a.Body
	status := info.Status
	if a.Code.Claim() == hornbeamcroft.ClaimRan {
		status = ranStatus(a.Status)
		setContentType(h, a.ContentType)
	} else {
		setContentType(h, "application/json")
		body, _ = json.Marshal(refusalBody{a.Code, info.Name, a.Code.Claim().String(), info.Meaning})
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
			h.Set(HeaderRetryAfterMs, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ranStatus returns the status of the answer to a request that ran, with the status of the upstream's answer. Those by which HTTP clients
// take a request as not run, and send it again whatever its claim is, become 502.
func ranStatus(status int) int {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return status
}

func setContentType(h http.Header, value string) {
	if value != "" {
		h.Set("Content-Type", value)
	}
}
