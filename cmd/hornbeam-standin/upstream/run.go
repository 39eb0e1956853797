package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/exchange"
	"hornbeamcroft/sleeper"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 1 << 20

// crashExitStatus is the exit status of the process if a request tells it to crash.
const crashExitStatus = 86

// serveCall handles one request: it waits for a slot, sleeps for the drawn service time, makes the
// child calls and answers. It refuses
// a request that is invalid, or whose context ends or whose start deadline passes before a slot is free.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(exchange.HeaderCall, r.Header.Get(exchange.HeaderCall))
	requestType := pathvar.Vars(r)["type"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var request exchange.Request
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err == nil {
		err = request.Check()
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := withTimeout(r)
	defer cancel()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-ctx.Done():
		refuse(w, http.StatusServiceUnavailable, "cancelled or timed out while waiting for a slot")
		return
	}
	if ctx.Err() != nil || startDeadlinePassed(r.Header) {
		refuse(w, http.StatusServiceUnavailable, "deadline for the start has passed")
		return
	}
	u.execute(ctx, w, r, request, requestType)
}

// execute runs the request, records the run and answers, unless the answer must be withheld.
func (u *Upstream) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, request exchange.Request, requestType string) {
	n := u.recorder.start(Execution{
		Service: u.Settings.Service, Type: requestType, Key: r.Header.Get(exchange.HeaderKey), Marker: request.Marker,
	})
	if request.Crash == u.Settings.Service {
		u.Exit(crashExitStatus)
	}
	work, fail := u.model.draw(requestType)
	began := time.Now()
	completed := sleeper.Sleep(ctx, work)
	spent := time.Since(began)
	status, fault := http.StatusOK, ""
	switch {
	case !completed:
		status, fault = http.StatusGatewayTimeout, "cancelled while running"
	case fail:
		status, fault = http.StatusInternalServerError, "injected error"
	default:
		if err := u.callChildren(ctx, r.Header, requestType, request); err != nil {
			status, fault = http.StatusBadGateway, err.Error()
		}
	}
	cancelled := ctx.Err() != nil
	if u.withholdsAnswer(r) {
		u.recorder.end(n, spent, cancelled, 0)
		<-r.Context().Done()
		return
	}
	u.recorder.end(n, spent, cancelled, status)
	writeReply(w, status, exchange.NewReply(request, u.Settings.Service, requestType, fault))
}

// withholdsAnswer reports whether the request must not be answered because its connection was silenced or the upstream
// is silent.
func (u *Upstream) withholdsAnswer(r *http.Request) bool {
	select {
	case <-silenced(r.Context()):
		return true
	default:
		return u.model.currentControl().Silent
	}
}

// callChildren makes the child calls of the request type one after the other. It stops at the first that fails and
// returns its error.
func (u *Upstream) callChildren(ctx context.Context, parent http.Header, requestType string, request exchange.Request) error {
	t := u.Settings.Types[requestType]
	for _, target := range t.Calls {
		key := ""
		if t.OwnKey {
			key = deriveChildKey(parent.Get(exchange.HeaderKey), target)
		}
		if err := u.childClient.call(ctx, parent, target, key, request); err != nil {
			return err
		}
	}
	return nil
}

// writeReply writes the answer of a request that ran.
func writeReply(w http.ResponseWriter, status int, reply exchange.Reply) {
	body, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refuse answers with an error status and the claim that the request did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(exchange.HeaderClaim, hornbeamcroft.ClaimNotRun.String())
	http.Error(w, reason, status)
}

// withTimeout returns the request's context with the timeout of the Request-Timeout header, in milliseconds, if there
// is a valid one.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(exchange.HeaderTimeout), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
