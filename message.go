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

// Message is the HTTP part of a request as the upstream gets it; the body travels in Call.Body.
type Message struct {
	Method string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	// Target is the path with the query, byte for byte as the caller sent it.
	Target string `cbor:"3,keyasint"`
	// Header holds the end-to-end fields in their order. Fields of one connection and those that the node sets itself
	// are not in it.
	Header []Field `cbor:"4,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (m Message) Check() error {
	if m.Method == "" || m.Target == "" || m.Target[0] != '/' && m.Target != "*" {
		return errors.Errorf("message: method %q and target %q: need a method and a path", m.Method, m.Target)
	}
	return nil
}

// Incoming is a request as it entered at a node.
type Incoming struct {
	// Attempt is the id of the caller's attempt.
	Attempt string
	Message Message
	Body    []byte
	// Remaining is how long the caller waits; zero if it did not say so.
	Remaining time.Duration
}

// Load is what the node beside an upstream reports of it, so that senders can place their calls.
type Load struct {
	// Running and Waiting are the calls at the upstream and those that wait for it; at least 0.
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Limit is the number of calls that may run at once; zero while the upstream takes none.
	Limit int `cbor:"3,keyasint"`
	// Hold is the smoothed time for which a call occupies a slot.
	Hold time.Duration `cbor:"4,keyasint"`
	// Failing is the recent share of calls that the upstream failed or refused, in thousandths.
	Failing int `cbor:"5,keyasint,omitempty"`
	// Room is the demand that the upstream can take, in hundredths of a slot.
	Room int `cbor:"6,keyasint,omitempty"`
	// Offered is the demand by importance in the same unit, requests included that were refused where they entered; it is
	// nil or has ImportanceCount entries.
	Offered []int `cbor:"7,keyasint,omitempty"`
}

// Check reports whether the load is well formed.
func (l Load) Check() error {
	if l.Running < 0 || l.Waiting < 0 || l.Limit < 0 || l.Hold < 0 || l.Failing < 0 || l.Failing > 1000 {
		return errors.Errorf("load: %+v: allowed are counts of at least 0 and a share of at most 1000", l)
	}
	if len(l.Offered) != 0 && len(l.Offered) != int(ImportanceCount) {
		return errors.Errorf("load: %d levels of demand: allowed are none or %d", len(l.Offered), ImportanceCount)
	}
	return nil
}

// Reach is the number of calls that one run of a request made to a service, at any depth below it.
type Reach struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Calls   int
}

// MaxReach bounds the services on one answer.
const MaxReach = 32
