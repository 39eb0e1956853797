package owner

import "github.com/go-faster/errors"

// EpochOffer informs a member of an epoch that is in the store.
type EpochOffer struct {
	Epoch Epoch `cbor:"1,keyasint"`
	// Round identifies the offer in its acknowledgement; zero if no acknowledgement is wanted.
	Round uint64 `cbor:"2,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (m EpochOffer) Check() error { return m.Epoch.Check() }

// EpochAck states that its sender knows the epoch and, in this incarnation, will never again confirm a permit for an
// older one.
type EpochAck struct {
	Number uint64 `cbor:"1,keyasint"`
	Round  uint64 `cbor:"2,keyasint,omitempty"`
	// Incarnation is the sender's. A sender that restarts forgets the acknowledgements of its earlier incarnations.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// Check reports whether the message is well formed.
func (m EpochAck) Check() error {
	if m.Number == 0 {
		return errors.New("epoch-ack: number is 0, must be at least 1")
	}
	return nil
}

// PermitQuery asks a member whether it knows an epoch newer than Number.
type PermitQuery struct {
	Number uint64 `cbor:"1,keyasint"`
	// Round identifies the query in its reply.
	Round uint64 `cbor:"2,keyasint"`
}

// Check reports whether the message is well formed.
func (m PermitQuery) Check() error {
	if m.Round == 0 {
		return errors.New("permit-query: round is 0, must be at least 1")
	}
	return nil
}

// PermitReply answers a PermitQuery.
type PermitReply struct {
	// Number is the newest epoch that the sender knows; zero if none.
	Number uint64 `cbor:"1,keyasint"`
	Round  uint64 `cbor:"2,keyasint"`
	// Recovering is true if the sender may have forgotten an acknowledgement that it gave before a restart. The reply
	// does not confirm a permit then.
	Recovering bool `cbor:"3,keyasint,omitempty"`
	// Newer is the epoch with Number, sent if Number is greater than the query's; otherwise nil.
	Newer *Epoch `cbor:"4,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (m PermitReply) Check() error {
	if m.Round == 0 {
		return errors.New("permit-reply: round is 0, must be at least 1")
	}
	if m.Newer != nil {
		if m.Newer.Number != m.Number {
			return errors.Errorf("permit-reply: number is %d, but the epoch has number %d", m.Number, m.Newer.Number)
		}
		return m.Newer.Check()
	}
	return nil
}

// Message is one of EpochOffer, EpochAck, PermitQuery and PermitReply.
type Message interface{ Check() error }

// Send is a message to a member.
type Send struct {
	To      string
	Message Message
}
