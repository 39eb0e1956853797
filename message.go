package hornbeamcroft

import (
	"time"

	"github.com/go-faster/errors"
)

// Field is one header field of an HTTP message.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Message is the HTTP request that the upstream gets, without its body, which is in Call.Body.
type Message struct {
	Method string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	// Target is the request target, usually the path with the query, byte for byte as the caller sent it.
	Target string `cbor:"3,keyasint"`
	// Header holds the end-to-end header fields in their order. Hop-by-hop fields and fields that the node sets itself are
	// left out.
	Header []Field `cbor:"4,keyasint,omitempty"`
}

// Check returns an error if the message is malformed.
func (m Message) Check() error {
	if m.Method == "" || m.Target == "" || m.Target[0] != '/' && m.Target != "*" {
		return errors.Errorf("message: method %q and target %q: need a method and a path", m.Method, m.Target)
	}
	return nil
}

// Incoming is a request as a node received it from a caller or from its local upstream.
type Incoming struct {
	// Attempt is the id of the caller's attempt.
	Attempt string
	Message Message
	Body    []byte
	// Credentials holds the values of the header field with the caller's API key.
	Credentials []string
	// Remaining is how long the caller waits for the answer; zero if the request does not carry that time.
	Remaining time.Duration
	// Memory is the account of the memory that the bodies of the request and of its answer hold; nil if they are not
	// accounted for.
	Memory Memory
}

// Load is the load of an upstream. The upstream's node reports it, so that senders can choose the upstream for their calls.
type Load struct {
	// Running is the number of calls that the upstream runs, and Waiting the number of calls that wait for a slot; both are
	// at least 0.
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Limit is the number of calls that may run at once; zero while the upstream accepts none.
	Limit int `cbor:"3,keyasint"`
	// ServiceTime is the smoothed time for which a call occupies a slot; zero while too few calls have ended.
	ServiceTime time.Duration `cbor:"4,keyasint"`
	// FailureRatio is the share, in thousandths, of recent calls that failed at the upstream or that it refused.
	FailureRatio int `cbor:"5,keyasint,omitempty"`
	// Capacity is the demand that the upstream can serve, in hundredths of a slot.
	Capacity int `cbor:"6,keyasint,omitempty"`
	// Demand is the demand by importance, in hundredths of a slot. It includes requests that were refused at the node where
	// they entered. It has at most ImportanceLevels entries; further levels have no demand.
	Demand []int `cbor:"7,keyasint,omitempty"`
	// Shares names the tenants that demand more than their fair share, at most MaxTenantShares. Demand does not hold their excess.
	Shares []TenantShare `cbor:"8,keyasint,omitempty"`
}

// Check returns an error if a field of the load is out of range.
func (l Load) Check() error {
	if l.Running < 0 || l.Waiting < 0 || l.Limit < 0 || l.ServiceTime < 0 || l.FailureRatio < 0 || l.FailureRatio > 1000 {
		return errors.Errorf("load: %+v: counts and service time must be at least 0, failure ratio must be 0 to 1000", l)
	}
	if len(l.Demand) > int(ImportanceLevels) {
		return errors.Errorf("load: %d levels of demand: must be at most %d", len(l.Demand), ImportanceLevels)
	}
	if err := checkShares(l.Shares); err != nil {
		return errors.Wrap(err, "load")
	}
	return nil
}

// ServiceCalls is the number of calls to a service that one run of a request caused, at any depth of the call graph
// below the run.
type ServiceCalls struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Calls   int
}

// MaxServiceCalls is the maximum number of ServiceCalls entries in one answer.
const MaxServiceCalls = 32
