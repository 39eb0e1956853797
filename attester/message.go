package attester

import (
	"time"

	"github.com/go-faster/errors"
)

// Kinds of messages. An offer is a hint that the sender has a recent proof. Only the answer to a query counts as proof, because
// its age is bounded by the time at which the receiver sent the query.
const (
	KindOffer  = 1
	KindQuery  = 2
	KindAnswer = 3
)

// Message is a message about the proof of a configuration, the value of framer.TypeConfigurationProof.
type Message struct {
	// Kind is the kind of the message. Messages of unknown kinds are ignored.
	Kind int `cbor:"1,keyasint"`
	// Nonce is the number of the query, in a query and in its answer.
	Nonce uint64 `cbor:"2,keyasint,omitempty"`
	// Version, Sum and Era are those of the proof, in an offer and in an answer.
	Version int64  `cbor:"3,keyasint,omitempty"`
	Sum     uint64 `cbor:"4,keyasint,omitempty"`
	Era     int64  `cbor:"5,keyasint,omitempty"`
	// Age is the age of the proof when the message was made, in nanoseconds; 0 to maxMessageAge.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// maxMessageAge is the maximum age in a message.
const maxMessageAge = time.Minute

// Check returns an error if a field is out of range.
func (m Message) Check() error {
	if m.Kind < 1 || m.Age < 0 || m.Age > maxMessageAge || m.Era < 0 {
		return errors.Errorf("configuration proof: kind %d, age %v, era %d: out of range", m.Kind, m.Age, m.Era)
	}
	return nil
}
