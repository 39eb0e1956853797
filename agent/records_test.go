package agent

import (
	"bytes"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

var validMember = hornbeamcroft.Member{
	Name: "a", Service: "s", Zone: "z", Address: "10.0.0.1:7000", Incarnation: 1, Sequence: 1, State: hornbeamcroft.MemberServing, Slots: 8,
}

// oddMembers change a record so that it names no node to use.
var oddMembers = map[string]func(m *hornbeamcroft.Member){
	"port too large":     func(m *hornbeamcroft.Member) { m.Address = "10.0.0.1:70000" },
	"port far too large": func(m *hornbeamcroft.Member) { m.Address = "10.0.0.1:99999999999999999999" },
	"port zero":          func(m *hornbeamcroft.Member) { m.Address = "10.0.0.1:0" },
	"port negative":      func(m *hornbeamcroft.Member) { m.Address = "10.0.0.1:-7000" },
	"port missing":       func(m *hornbeamcroft.Member) { m.Address = "10.0.0.1" },
	"host name":          func(m *hornbeamcroft.Member) { m.Address = "a:7000" },
	"slots too many":     func(m *hornbeamcroft.Member) { m.Slots = 1 << 62 },
	"slots negative":     func(m *hornbeamcroft.Member) { m.Slots = -1 },
	"state unknown":      func(m *hornbeamcroft.Member) { m.State = 99 },
	"born too large":     func(m *hornbeamcroft.Member) { m.Born = 1 << 62 },
	"born negative":      func(m *hornbeamcroft.Member) { m.Born = -1 },
	"name missing":       func(m *hornbeamcroft.Member) { m.Name = "" },
	"name too long":      func(m *hornbeamcroft.Member) { m.Name = strings.Repeat("a", 1000) },
	"name of another":    func(m *hornbeamcroft.Member) { m.Name = "b" },
}

// TestOddRecord guards against an entry of another writer that is taken for the record of a node, and against one that cannot be
// read and ends the process.
func TestOddRecord(t *testing.T) {
	const depth = 1 << 20
	values := map[string][]byte{
		"empty": nil, "text": []byte("a"), "nested JSON": []byte(strings.Repeat("[", depth)),
		"nested arrays": bytes.Repeat([]byte{0x81}, depth), "nested maps": bytes.Repeat([]byte{0xa1, 1}, depth),
		"nested tags": bytes.Repeat([]byte{0xc1}, depth), "great length": []byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
		"number too large": []byte("\xa1\x09\x1b\xff\xff\xff\xff\xff\xff\xff\xff"),
		"great number":     append([]byte("\xa1\x09\xc2\x59\x80\x00"), make([]byte, 1<<15)...), // of 262,144 bits
	}
	for name, change := range oddMembers {
		m := validMember
		change(&m)
		value, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		values[name] = value
	}
	for name, value := range values {
		if m, err := decodeRecord(hornbeamcroft.Entry{Key: keyPrefix + "a", Value: value}); err == nil {
			t.Errorf("%s: read as %+v", name, m)
		}
	}
	value, err := cbor.Marshal(validMember)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeRecord(hornbeamcroft.Entry{Key: keyPrefix + "a", Value: value}); err != nil {
		t.Error(err)
	}
}

// TestOddMemberInCopy guards against one odd member in a peer's copy of the configuration that keeps the configuration and the other
// members away, and closes the link.
func TestOddMemberInCopy(t *testing.T) {
	is := is.New(t)
	c := routesCopy{Document: []byte("{}"), Members: []hornbeamcroft.Member{validMember}}
	for name, change := range oddMembers {
		if name == "name of another" {
			continue // it names a node
		}
		m := validMember
		change(&m)
		c.Members = append(c.Members, m)
	}
	var b bytes.Buffer
	is.NoErr(framer.Encode(&b, framer.TypeRoutes, c))
	_, payload, err := framer.Split(b.Bytes())
	is.NoErr(err)
	var got routesCopy
	is.NoErr(framer.Decode(payload, &got))
	is.Equal(got.validMembers(), []hornbeamcroft.Member{validMember})
}
