package owner

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzMessages guards against a message from outside that causes a panic or makes a node serve without a permit.
func FuzzMessages(f *testing.F) {
	e := Epoch{
		Service: "s", Number: 2, Roster: []string{"a", "b"}, Previous: []string{"a", "b", "c"}, PermitTime: time.Second,
	}
	for kind, m := range []Message{
		EpochOffer{Epoch: e, Round: 1},
		EpochAck{Number: 2, Round: 1, Incarnation: 3},
		PermitQuery{Number: 1, Round: 2},
		PermitReply{Number: 2, Round: 2, Newer: &e},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), b)
	}
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		o := Owner{Self: "a", Service: "s"}
		o.Tick(0, 0)
		if m, ok := decode(kind, b); ok {
			o.Receive(0, "b", m)
		}
		o.Tick(TickInterval, 100)
		if len(o.epoch.Roster) != 1 && o.Decide(TickInterval, 100, "k", 0).Serve {
			t.Fatal("node serves a key without a permit")
		}
	})
}

// decode parses b as the message type that kind selects.
func decode(kind uint8, b []byte) (Message, bool) {
	switch kind % 4 {
	case 0:
		var m EpochOffer
		err := cbor.Unmarshal(b, &m)
		return m, err == nil
	case 1:
		var m EpochAck
		err := cbor.Unmarshal(b, &m)
		return m, err == nil
	case 2:
		var m PermitQuery
		err := cbor.Unmarshal(b, &m)
		return m, err == nil
	}
	var m PermitReply
	err := cbor.Unmarshal(b, &m)
	return m, err == nil
}
