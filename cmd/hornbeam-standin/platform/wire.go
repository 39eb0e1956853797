package platform

// These types are the messages of the gateway. The JSON names are those of the published protocol: snake case, and also camel
// case for the fields that the examples of the protocol write in camel case. 64-bit integers are encoded as strings, keys and
// values in base64.

type responseHeader struct {
	ClusterID string `json:"cluster_id"`
	MemberID  string `json:"member_id"`
	Revision  int64  `json:"revision,string"`
	RaftTerm  string `json:"raft_term"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs,omitempty"`
	Count  int64          `json:"count,string,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type requestOp struct {
	Put         *putRequest   `json:"request_put"`
	PutCamel    *putRequest   `json:"requestPut"`
	Delete      *rangeRequest `json:"request_delete_range"`
	DeleteCamel *rangeRequest `json:"requestDeleteRange"`
}

// put returns the put operation under either JSON name; nil if op is none.
func (op requestOp) put() *putRequest {
	if op.Put != nil {
		return op.Put
	}
	return op.PutCamel
}

// remove returns the delete operation under either JSON name; nil if op is none.
func (op requestOp) remove() *rangeRequest {
	if op.Delete != nil {
		return op.Delete
	}
	return op.DeleteCamel
}

// compare is one comparison of a transaction.
type compare struct {
	Target           string `json:"target"`
	Result           string `json:"result"`
	Key              []byte `json:"key"`
	ModRevision      int64  `json:"mod_revision,string"`
	ModRevisionCamel int64  `json:"modRevision,string"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	Header responseHeader `json:"header"`
	ID     int64          `json:"ID,string,omitempty"`
	TTL    int64          `json:"TTL,string,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	// Type is DELETE, or empty for a put, since the gateway omits default values.
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          responseHeader `json:"header"`
	Created         bool           `json:"created,omitempty"`
	Canceled        bool           `json:"canceled,omitempty"`
	CompactRevision int64          `json:"compact_revision,string,omitempty"`
	CancelReason    string         `json:"cancel_reason,omitempty"`
	Events          []watchEvent   `json:"events,omitempty"`
}

// streamMessage is one message of a stream with results of type T.
type streamMessage[T any] struct {
	Result T `json:"result"`
}

// errorResponse is the body of an answer with an error. The gateway writes the text twice, as error and as message.
type errorResponse struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// header returns the header of an answer. The ids and the Raft term have no meaning.
func header(revision int64) responseHeader {
	return responseHeader{ClusterID: "1", MemberID: "1", Revision: revision, RaftTerm: "1"}
}

// toWire returns the record as a message of the gateway.
func (r record) toWire() keyValue {
	return keyValue{[]byte(r.key), r.createRevision, r.modRevision, r.version, r.value, r.lease}
}
