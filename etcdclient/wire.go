package etcdclient

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// grpcNotFound is the gRPC status code with which etcd answers if a lease does not exist.
const grpcNotFound = 5

// jsonInt64 is an int64 that is encoded as a JSON string, as the gateway does. JSON numbers are accepted as well, since the
// JSON mapping of protocol buffers allows both.
type jsonInt64 int64

func (n jsonInt64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

func (n *jsonInt64) UnmarshalJSON(data []byte) error {
	s := string(data)
	if len(s) >= 2 && s[0] == '"' {
		s = s[1 : len(s)-1]
	}
	value, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return errors.Errorf("invalid integer %q in answer: must be a 64-bit integer", s)
	}
	*n = jsonInt64(value)
	return nil
}

type responseHeader struct {
	Revision jsonInt64 `json:"revision"`
}

// keyValue is an entry of the store.
type keyValue struct {
	Key         []byte    `json:"key"`
	Value       []byte    `json:"value"`
	ModRevision jsonInt64 `json:"mod_revision"`
	Lease       jsonInt64 `json:"lease"`
}

func (kv keyValue) entry() hornbeamcroft.Entry {
	return hornbeamcroft.Entry{
		Key: string(kv.Key), Value: kv.Value, ModRevision: int64(kv.ModRevision), Lease: hornbeamcroft.LeaseID(kv.Lease),
	}
}

// validate rejects an entry that no store can hold, so that a malformed answer is not taken for a missing key.
func (kv keyValue) validate() error {
	if len(kv.Key) == 0 || kv.ModRevision <= 0 {
		return errors.Errorf("invalid entry in answer: key %q, revision %d: needs a key and a revision above 0", kv.Key, kv.ModRevision)
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

// compare is one condition of a transaction.
type compare struct {
	Target      string    `json:"target"`
	Result      string    `json:"result"`
	Key         []byte    `json:"key"`
	ModRevision jsonInt64 `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease jsonInt64 `json:"lease,omitempty"`
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
	TTL jsonInt64 `json:"TTL"`
}

type leaseRequest struct {
	ID jsonInt64 `json:"ID"`
}

type leaseResponse struct {
	ID    jsonInt64 `json:"ID"`
	TTL   jsonInt64 `json:"TTL"`
	Error string    `json:"error"`
}

// streamResponse is one message of a stream. It holds either a result or an error.
type streamResponse[T any] struct {
	Result *T           `json:"result"`
	Error  *streamError `json:"error"`
}

// streamError is an error that the gateway sends in a stream. The code is in grpc_code or in code, depending on the version of
// the gateway.
type streamError struct {
	GRPCCode int    `json:"grpc_code"`
	Code     int    `json:"code"`
	Message  string `json:"message"`
}

func (e *streamError) toStoreError() error {
	return &storeError{Code: max(e.GRPCCode, e.Code), Message: e.Message}
}

type watchCreateRequest struct {
	Key           []byte    `json:"key"`
	RangeEnd      []byte    `json:"range_end,omitempty"`
	StartRevision jsonInt64 `json:"start_revision,omitempty"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
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
	CompactRevision jsonInt64      `json:"compact_revision"`
	Events          []watchEvent   `json:"events"`
}

// parseStoreError returns the error that an answer with a status other than 200 states. The message is truncated, since it is
// logged.
func parseStoreError(status int, data []byte) error {
	var body struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
		Error   string `json:"error"`
	}
	const maxMessageBytes = 200
	if json.Unmarshal(data, &body) != nil {
		body.Message = string(data[:min(len(data), maxMessageBytes)])
	}
	if body.Message == "" {
		body.Message = body.Error
	}
	return &storeError{Status: status, Code: body.Code, Message: body.Message[:min(len(body.Message), maxMessageBytes)]}
}

// prefixEnd returns the exclusive end of the range of all keys with the prefix. The end 0x00 stands for the end of all keys.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// ttlSeconds rounds ttl up to whole seconds, so that a lease lives at least as long as requested.
func ttlSeconds(ttl time.Duration) jsonInt64 {
	return jsonInt64(math.Ceil(ttl.Seconds()))
}
