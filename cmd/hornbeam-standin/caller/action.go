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

// Action is one user action: a request that is sent up to Settings.MaxSends times with the same idempotency key.
type Action struct {
	// Target is service/type.
	Target string `json:"target"`
	// Marker identifies the action in request bodies, answers and execution records.
	Marker string `json:"marker"`
	// Key is the value of the Idempotency-Key header.
	Key string `json:"key"`
	// At is the scheduled arrival time, counted from the start of the load.
	At time.Duration `json:"at"`
	// Latency is the time from the scheduled arrival to the end of the last send. It counts from At, not from the first
	// send, so that it includes the delay of a generator that falls behind its schedule.
	Latency time.Duration `json:"latency"`
	Sends   []SendRecord  `json:"sends"`
}

// SendRecord describes one send of an action and its outcome.
type SendRecord struct {
	// Sent and Ended are Unix times in nanoseconds.
	Sent  int64 `json:"sent"`
	Ended int64 `json:"ended"`
	// Status is the HTTP status; 0 if no complete answer arrived.
	Status int `json:"status"`
	// Code is the result code of the Hornbeam-Code header; 0 if there was none.
	Code hornbeamcroft.Code `json:"code"`
	// Claim is the Hornbeam-Claim header: whether the request ran. Answers of an upstream that is called directly without
	// the header count as "ran".
	Claim  string `json:"claim,omitempty"`
	Result Result `json:"result"`
	// Fault is the error of the send; empty if there was none.
	Fault string `json:"fault,omitempty"`
}

// Result classifies the outcome of a send.
type Result string

// The results of a send.
const (
	// ResultSucceeded means success: status 200 with a complete answer to this request.
	ResultSucceeded Result = "whole"
	// ResultDamaged is an answer that claims that the request ran, but whose body is truncated or belongs to another
	// request.
	ResultDamaged Result = "damaged"
	// ResultFailed is a complete answer of an upstream to this request with a status other than 200.
	ResultFailed Result = "failed"
	// ResultRefused is an answer that does not claim that the request ran: a node answered in place of an upstream, or an
	// upstream refused to start the request.
	ResultRefused Result = "refused"
	// ResultLost means that no complete answer arrived: the connection failed or the caller timed out.
	ResultLost Result = "lost"
)

// Succeeded reports whether the result of the last send of the action is ResultSucceeded.
func (a Action) Succeeded() bool {
	return len(a.Sends) > 0 && a.Sends[len(a.Sends)-1].Result == ResultSucceeded
}

// Interrupted reports whether the send failed after the request may have reached a node. A refused connection does not
// count, because nothing was sent; nor does a refusal that only says that the outcome of earlier sends is unknown.
func (s SendRecord) Interrupted() bool {
	if s.Result == ResultLost {
		return !strings.Contains(s.Fault, syscall.ECONNREFUSED.Error())
	}
	switch s.Code {
	case hornbeamcroft.CodeKeyBeforeTakeover, hornbeamcroft.CodeKeyExpired, hornbeamcroft.CodeEarlierSendUnknown:
		return false
	}
	return s.Claim == hornbeamcroft.ClaimMayHaveRun.String()
}

// send sends the action once to node and records the outcome. sendNumber counts the sends of the action from 1.
func (c *Caller) send(ctx context.Context, node string, a Action, sendNumber int) SendRecord {
	s := SendRecord{Sent: time.Now().UnixNano()}
	err := c.roundTrip(ctx, node, a, sendNumber, &s)
	s.Ended = time.Now().UnixNano()
	if err != nil && s.Result == "" {
		s.Result = ResultLost
	}
	if err != nil {
		s.Fault = err.Error()
	}
	return s
}

// roundTrip sends the request, reads the answer and fills in s. An error that leaves s.Result empty means that no
// complete answer arrived.
func (c *Caller) roundTrip(ctx context.Context, node string, a Action, sendNumber int, s *SendRecord) error {
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Timeout+timeoutMargin)
	defer cancel()
	request := exchange.Request{Marker: a.Marker, Crash: c.Settings.Crash, AnswerBytes: c.Settings.AnswerBytes}
	r, err := c.newRequest(ctx, node, a, sendNumber, request)
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
	if c.Settings.BypassNodes && s.Claim == "" {
		s.Claim = hornbeamcroft.ClaimRan.String()
	}
	s.Result, err = classify(*s, request, body)
	return err
}

// timeoutMargin is how long after Settings.Timeout the caller still waits, so that the node's own timeout answer can
// arrive.
const timeoutMargin = 100 * time.Millisecond

// newRequest returns the HTTP request for one send to node.
func (c *Caller) newRequest(ctx context.Context, node string, a Action, sendNumber int, request exchange.Request) (*http.Request, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	path := "/call/" + a.Target
	if c.Settings.BypassNodes {
		path = "/" + a.Target
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	exchange.SetBody(r, body)
	r.Header.Set(exchange.HeaderKey, a.Key)
	r.Header.Set(exchange.HeaderTimeout, strconv.FormatInt(c.Settings.Timeout.Milliseconds(), 10))
	r.Header.Set(exchange.HeaderAttempt, strconv.Itoa(sendNumber))
	return r, nil
}

// classify returns the result of a send whose answer arrived as a complete HTTP message. For ResultDamaged, the error
// says what is wrong with the body.
func classify(s SendRecord, request exchange.Request, body []byte) (Result, error) {
	if s.Claim != hornbeamcroft.ClaimRan.String() {
		return ResultRefused, nil
	}
	if err := exchange.Verify(request, body); err != nil {
		return ResultDamaged, err
	}
	if s.Status != http.StatusOK {
		return ResultFailed, nil
	}
	return ResultSucceeded, nil
}
