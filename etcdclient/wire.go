package etcdclient

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// codeNotFound is the gRPC status of a lease that does not exist.
const codeNotFound = 5

// int64s is an int64 that the gateway writes as a JSON string. Numbers are accepted as well, since protocol buffers'
// JSON mapping allows both.
type int64s int64

func (n int64s) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

func (n *int64s) UnmarshalJSON(data []byte) error {
	s := string(data)
	if len(s) >= 2 && s[0] == '"' {
		s = s[1 : len(s)-1]
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return errors.Errorf("integer %q: allowed is a 64-bit integer", s)
	}
	*n = int64s(v)
	return nil
}

type responseHeader struct {
	Revision int64s `json:"revision"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64s `json:"mod_revision"`
	Lease       int64s `json:"lease"`
}

func (kv keyValue) entry() hornbeamcroft.Entry {
	return hornbeamcroft.Entry{
		Key: string(kv.Key), Value: kv.Value, ModRevision: int64(kv.ModRevision), Lease: hornbeamcroft.LeaseID(kv.Lease),
	}
}

// check refuses what no store can answer, so that a broken answer is not taken for a missing key.
func (kv keyValue) check() error {
	if len(kv.Key) == 0 || kv.ModRevision <= 0 {
		return errors.Errorf("answer: key %q with revision %d: allowed are a key and a revision above 0", kv.Key, kv.ModRevision)
	}
	return nil
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs"`
}

type compare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64s `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64s `json:"lease,omitempty"`
}

type requestOp struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseGrantRequest struct {
	TTL int64s `json:"TTL"`
}

type leaseRequest struct {
	ID int64s `json:"ID"`
}

type leaseResponse struct {
	ID    int64s `json:"ID"`
	TTL   int64s `json:"TTL"`
	Error string `json:"error"`
}

// streamResponse is one message of a stream: either a result or an error.
type streamResponse[T any] struct {
	Result *T           `json:"result"`
	Error  *streamError `json:"error"`
}

type streamError struct {
	GRPCCode int    `json:"grpc_code"`
	Code     int    `json:"code"`
	Message  string `json:"message"`
}

func (e *streamError) err() error {
	return &answerError{Code: max(e.GRPCCode, e.Code), Message: e.Message}
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64s `json:"start_revision,omitempty"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created"`
	Canceled        bool           `json:"canceled"`
	CancelReason    string         `json:"cancel_reason"`
	CompactRevision int64s         `json:"compact_revision"`
	Events          []watchEvent   `json:"events"`
}

// answerErrorOf reads the error of a gateway; its message is bounded, since it ends in logs.
func answerErrorOf(status int, data []byte) error {
	var body struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
		Error   string `json:"error"`
	}
	const maxMessage = 200
	if json.Unmarshal(data, &body) != nil {
		body.Message = string(data[:min(len(data), maxMessage)])
	}
	if body.Message == "" {
		body.Message = body.Error
	}
	return &answerError{Status: status, Code: body.Code, Message: body.Message[:min(len(body.Message), maxMessage)]}
}

// rangeEnd returns the end of the range of all keys with the prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// ttlSeconds rounds up, so that a lease lives at least as long as asked for.
func ttlSeconds(ttl time.Duration) int64s {
	return int64s(math.Ceil(ttl.Seconds()))
}
