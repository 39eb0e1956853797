package deduper

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hornbeamcroft"
)

// FuzzHandover checks that no handover message from the network causes a panic, exceeds MaxRecords or replaces the
// record of a call that runs on this node.
func FuzzHandover(f *testing.F) {
	d := Deduper{}
	d.Arrive(0, 5000, Arrival{Key: "k", ReceivedAt: 5000, Serve: true})
	d.Finish(0, 5000, "k", hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Body: []byte("paid")}, true)
	for _, parts := range d.Export(ExportHeader{Epoch: 2, Horizon: 7}, []string{"b"}, func(string) string { return "b" }) {
		b, err := cbor.Marshal(parts[0])
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xa1, 1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Handover
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		d := Deduper{MaxRecords: 10}
		d.Arrive(0, 5000, Arrival{Key: "k", ReceivedAt: 5000, Serve: true})
		d.Import(0, "a", m)
		state, ok := d.Lookup("k")
		if !ok || state != StateRunning || d.Stats().Records > 10 {
			t.Fatalf("state %v, %v, %d records", state, ok, d.Stats().Records)
		}
	})
}

// TestHandoverIsBounded checks that every message of a large export has at most MaxHandoverBytes, so that one frame can
// carry it, and that the import of all messages loses no record.
func TestHandoverIsBounded(t *testing.T) {
	is := is.New(t)
	d, to := Deduper{}, Deduper{}
	for i := range 3000 {
		key := DeriveKey("parent", "s", "t", []byte{byte(i), byte(i >> 8)})
		is.Equal(d.Arrive(0, 5000, Arrival{Key: key, ReceivedAt: 5000, Serve: true}).Action, ActionRun)
		a := hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Body: make([]byte, i*4)}
		d.Finish(0, 5000, key, a, true)
	}
	parts := d.Export(ExportHeader{Epoch: 2}, []string{"b"}, func(string) string { return "b" })["b"]
	for i, m := range parts {
		b, err := cbor.Marshal(m)
		is.NoErr(err)
		is.True(len(b) <= MaxHandoverBytes)
		is.Equal(to.Import(0, "a", m), i == len(parts)-1) // complete with the last part only
	}
	is.Equal(to.Stats().Records, 3000)
}
