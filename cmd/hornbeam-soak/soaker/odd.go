package soaker

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

// nesting is the depth of deeply nested values, and fieldNesting that of a field, which the encoder limits.
const nesting, fieldNesting = 100_000, 10_000

// oddMember is a record as a node writes it, with fields of any type.
type oddMember struct {
	Name        any `cbor:"1,keyasint"`
	Service     any `cbor:"2,keyasint"`
	Zone        any `cbor:"3,keyasint"`
	Address     any `cbor:"4,keyasint"`
	Incarnation any `cbor:"5,keyasint"`
	Sequence    any `cbor:"6,keyasint"`
	State       any `cbor:"7,keyasint"`
	Slots       any `cbor:"9,keyasint"`
	Born        any `cbor:"12,keyasint"`
}

// oddRecords returns records that name no node, by a name for each. The given name is that of the record's node.
func oddRecords(name string) map[string][]byte {
	valid := oddMember{
		Name: name, Service: "front", Zone: "zone-0", Address: "127.0.0.1:9", Incarnation: 1, Sequence: 1, State: 1, Slots: 8, Born: 1,
	}
	encode := func(change func(m *oddMember)) []byte {
		m := valid
		change(&m)
		value, err := cbor.Marshal(m)
		if err != nil {
			panic(err) // the fields are literals
		}
		return value
	}
	const tooLarge = "\x1b\xff\xff\xff\xff\xff\xff\xff\xff" // an integer of 64 bits
	return map[string][]byte{
		"empty":                 nil,
		"text":                  []byte("not a record"),
		"nested-json":           []byte(strings.Repeat("[", nesting)),
		"nested-arrays":         bytes.Repeat([]byte{0x81}, nesting),
		"nested-maps":           bytes.Repeat([]byte{0xa1, 0x01}, nesting),
		"nested-field":          encode(func(m *oddMember) { m.Zone = cbor.RawMessage(strings.Repeat("\x81", fieldNesting) + "\x01") }),
		"array-of-great-length": []byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
		"text-of-great-length":  []byte("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"),
		"port-too-large":        encode(func(m *oddMember) { m.Address = "127.0.0.1:70000" }),
		"port-far-too-large":    encode(func(m *oddMember) { m.Address = "127.0.0.1:99999999999999999999" }),
		"port-negative":         encode(func(m *oddMember) { m.Address = "127.0.0.1:-1" }),
		"port-zero":             encode(func(m *oddMember) { m.Address = "127.0.0.1:0" }),
		"port-not-a-number":     encode(func(m *oddMember) { m.Address = "127.0.0.1:http" }),
		"slots-too-many":        encode(func(m *oddMember) { m.Slots = int64(1) << 62 }),
		"slots-negative":        encode(func(m *oddMember) { m.Slots = -8 }),
		"slots-too-large":       encode(func(m *oddMember) { m.Slots = cbor.RawMessage(tooLarge) }),
		"state-unknown":         encode(func(m *oddMember) { m.State = 99 }),
		"state-too-large":       encode(func(m *oddMember) { m.State = cbor.RawMessage(tooLarge) }),
		"born-too-large":        encode(func(m *oddMember) { m.Born = cbor.RawMessage(tooLarge) }),
		"born-negative":         encode(func(m *oddMember) { m.Born = -1 }),
		"incarnation-float":     encode(func(m *oddMember) { m.Incarnation = 1e300 }),
		"name-a-number":         encode(func(m *oddMember) { m.Name = 7 }),
		"name-of-another":       encode(func(m *oddMember) { m.Name = "another" }),
		"name-not-utf-8":        encode(func(m *oddMember) { m.Name = cbor.RawMessage("\x61\xff") }),
	}
}

// oddHeartbeats returns bodies of heartbeats that name no upstream to use.
func oddHeartbeats(w *worker.Worker) []string {
	address := w.Announced
	body := func(address, born, slots, state, sequence, cold string) string {
		return fmt.Sprintf(`{"address":%s,"born":%s,"info":{"service":%q,"zone":"z","slots":%s},`+
			`"status":{"state":%s,"sequence":%s,"coldRemainingMs":%s}}`, address, born, w.Service, slots, state, sequence, cold)
	}
	own := strconv.Quote(address)
	const huge, beyond = "9223372036854775807", "1e400"
	return []string{
		"", "null", "[]", "\xff\xfe", strings.Repeat("[", nesting), `{"info":` + strings.Repeat(`{"info":`, nesting),
		body(own, beyond, "8", `"ready"`, "1", "0"),
		body(own, huge, "8", `"ready"`, "1", "0"),
		body(own, "1.5", "8", `"ready"`, "1", "0"),
		body(own, "7", beyond, `"ready"`, "1", "0"),
		body(own, "7", huge, `"ready"`, "1", "0"),
		body(own, "7", "8", `"leaving"`, "1", "0"),
		body(own, "7", "8", "7", "1", "0"),
		body(own, "7", "8", `"ready"`, beyond, "0"),
		body(own, "7", "8", `"ready"`, "1", huge),
		body("7", "7", "8", `"ready"`, "1", "0"),
	}
}

// writeOddEntries puts odd entries among the records of the nodes, replaces the record of the host by one of them, and sends odd
// heartbeats to its node. A node that acknowledges one is a finding.
func (s *Soaker) writeOddEntries(h *hoster.Hoster) {
	for name, value := range oddRecords("odd") {
		s.store.Put(storeserver.MembersPrefix+"odd-"+name, value)
		s.store.Put(storeserver.MembersPrefix+h.Name, value)
	}
	instance := h.Worker.Instance()
	for _, body := range oddHeartbeats(h.Worker) {
		resp, err := http.Post("http://"+h.Announcements+worker.PathHeartbeat+instance, "application/json", strings.NewReader(body))
		if err != nil {
			continue // the node is down
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.judge.AddFinding("process", "", "%s acknowledged the heartbeat %.80s", h.Name, body)
		}
	}
}
