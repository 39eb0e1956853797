package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/cmd/hornbeam-standin/exchange"
)

// Action is one user action: one request, sent up to Tries times with the same key.
type Action struct {
	Target string `json:"target"`
	Marker string `json:"marker"`
	Key    string `json:"key"`
	// At is the intended time of arrival since the start; Latency counts from it, so that a late send is not hidden.
	At      time.Duration `json:"at"`
	Latency time.Duration `json:"latency"`
	Sends   []Send        `json:"sends"`
}

// Send is the outcome of one send.
type Send struct {
	// Sent and Ended are Unix times in nanoseconds.
	Sent  int64 `json:"sent"`
	Ended int64 `json:"ended"`
	// Status is 0 if no answer arrived.
	Status int                `json:"status"`
	Code   hornbeamcroft.Code `json:"code"`
	Claim  string             `json:"claim,omitempty"`
	Result Result             `json:"result"`
	Fault  string             `json:"fault,omitempty"`
}

// Result classifies the outcome of a send.
type Result string

// The results.
const (
	// ResultWhole is status 200 with the whole answer to the own request.
	ResultWhole Result = "whole"
	// ResultDamaged is an answer claimed as ran whose body is truncated or belongs to another request.
	ResultDamaged Result = "damaged"
	// ResultFailed is a whole answer of an upstream that failed the request.
	ResultFailed Result = "failed"
	// ResultRefused is an answer of a node without one of an upstream.
	ResultRefused Result = "refused"
	// ResultLost is the lack of an answer: a broken connection or the caller's timeout.
	ResultLost Result = "lost"
)

// Whole reports whether the action got its whole answer.
func (a Action) Whole() bool {
	return len(a.Sends) > 0 && a.Sends[len(a.Sends)-1].Result == ResultWhole
}

// Interrupted reports whether the send was cut after it may have been received. A refused connection is no interruption,
// since nothing was sent; nor is a refusal because of earlier sends, whose outcome alone is unknown.
func (s Send) Interrupted() bool {
	if s.Result == ResultLost {
		return !strings.Contains(s.Fault, syscall.ECONNREFUSED.Error())
	}
	switch s.Code {
	case hornbeamcroft.CodeKeyBeforeTakeover, hornbeamcroft.CodeKeyExpired, hornbeamcroft.CodeEarlierSendUnknown:
		return false
	}
	return s.Claim == hornbeamcroft.ClaimMayHaveRun.String()
}

// send makes one send and classifies its outcome.
func (c *Caller) send(ctx context.Context, node string, a Action, attempt int) Send {
	s := Send{Sent: time.Now().UnixNano()}
	err := c.exchange(ctx, node, a, attempt, &s)
	s.Ended = time.Now().UnixNano()
	if err != nil && s.Result == "" {
		s.Result = ResultLost
	}
	if err != nil {
		s.Fault = err.Error()
	}
	return s
}

func (c *Caller) exchange(ctx context.Context, node string, a Action, attempt int, s *Send) error {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Timeout+timeoutSlack)
	defer cancel()
	request := exchange.Request{Marker: a.Marker, Crash: c.Settings.Crash, AnswerBytes: c.Settings.AnswerBytes}
	r, err := c.request(ctx, node, a, attempt, request)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	s.Status = resp.StatusCode
	code, _ := strconv.Atoi(resp.Header.Get(exchange.HeaderCode))
	s.Code, s.Claim = hornbeamcroft.Code(code), resp.Header.Get(exchange.HeaderClaim)
	if c.Settings.Direct && s.Claim == "" {
		s.Claim = hornbeamcroft.ClaimRan.String()
	}
	s.Result, err = classify(*s, request, body)
	return err
}

// timeoutSlack is the time beyond the timeout that the caller waits for the answer of its node.
const timeoutSlack = 100 * time.Millisecond

func (c *Caller) request(ctx context.Context, node string, a Action, attempt int, request exchange.Request) (*http.Request, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	path := "/call/" + a.Target
	if c.Settings.Direct {
		path = "/" + a.Target
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	exchange.SetBody(r, body)
	r.Header.Set(exchange.HeaderKey, a.Key)
	r.Header.Set(exchange.HeaderTimeout, strconv.FormatInt(c.Settings.Timeout.Milliseconds(), 10))
	r.Header.Set(exchange.HeaderAttempt, strconv.Itoa(attempt))
	return r, nil
}

// classify judges an answer that arrived as a whole HTTP message.
func classify(s Send, request exchange.Request, body []byte) (Result, error) {
	if s.Claim != hornbeamcroft.ClaimRan.String() {
		return ResultRefused, nil
	}
	if err := exchange.Verify(request, body); err != nil {
		return ResultDamaged, err
	}
	if s.Status != http.StatusOK {
		return ResultFailed, nil
	}
	return ResultWhole, nil
}
