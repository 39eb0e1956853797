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

// maxBody bounds the body of a call in bytes.
const maxBody = 1 << 20

// crashStatus is the exit status of a process that a request crashed.
const crashStatus = 86

// serveCall runs one request: it waits for a slot, works, makes the child calls and answers.
func (u *Upstream) serveCall(w http.ResponseWriter, r *http.Request) {
	requestType := pathvar.Vars(r)["type"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
		refuse(w, http.StatusServiceUnavailable, "cancelled before the start")
		return
	}
	if ctx.Err() != nil || startIsLate(r.Header) {
		refuse(w, http.StatusServiceUnavailable, "too late to start")
		return
	}
	u.run(ctx, w, r, request, requestType)
}

func (u *Upstream) run(ctx context.Context, w http.ResponseWriter, r *http.Request, request exchange.Request, requestType string) {
	n := u.recorder.start(Execution{
		Service: u.Settings.Service, Type: requestType, Key: r.Header.Get(exchange.HeaderKey), Marker: request.Marker,
	})
	if request.Crash == u.Settings.Service {
		u.Exit(crashStatus)
	}
	work, fails := u.pace.draw(requestType)
	begin := time.Now()
	done := sleeper.Sleep(ctx, work)
	spent := time.Since(begin)
	status, fault := http.StatusOK, ""
	switch {
	case !done:
		status, fault = http.StatusGatewayTimeout, "cancelled while running"
	case fails:
		status, fault = http.StatusInternalServerError, "error by its settings"
	default:
		if err := u.callChildren(ctx, r.Header, requestType, request); err != nil {
			status, fault = http.StatusBadGateway, err.Error()
		}
	}
	cancelled := ctx.Err() != nil
	if u.holdsAnswer(r) {
		u.recorder.end(n, spent, cancelled, 0)
		<-r.Context().Done()
		return
	}
	u.recorder.end(n, spent, cancelled, status)
	writeReply(w, status, exchange.NewReply(request, u.Settings.Service, requestType, fault))
}

// holdsAnswer reports whether the answer must be withheld because the upstream or the connection is silent.
func (u *Upstream) holdsAnswer(r *http.Request) bool {
	select {
	case <-silenced(r.Context()):
		return true
	default:
		return u.pace.get().Silent
	}
}

func (u *Upstream) callChildren(ctx context.Context, parent http.Header, requestType string, request exchange.Request) error {
	t := u.Settings.Types[requestType]
	for _, target := range t.Calls {
		key := ""
		if t.OwnKey {
			key = childKey(parent.Get(exchange.HeaderKey), target)
		}
		if err := u.children.call(ctx, parent, target, key, request); err != nil {
			return err
		}
	}
	return nil
}

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

// refuse answers that the request did not start.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(exchange.HeaderClaim, hornbeamcroft.ClaimNotRun.String())
	http.Error(w, reason, status)
}

// withTimeout returns the request's context, bounded by its Request-Timeout header.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(exchange.HeaderTimeout), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}
