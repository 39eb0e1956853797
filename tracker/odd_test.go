package tracker

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestOddRoster guards against a roster in the store that another writer has spoilt, as a whole or in one of its members, and that
// keeps the others from being found, or is never replaced.
func TestOddRoster(t *testing.T) {
	self := hornbeamcroft.Member{Name: "a", Service: "s", Zone: "z", Address: "10.0.0.1:1", Incarnation: 1}
	// "a" holds the lease also beside "c2".
	other := hornbeamcroft.Member{Name: "c2", Service: "s", Zone: "z", Address: "10.0.0.2:1", Incarnation: 1, State: hornbeamcroft.MemberServing}
	far := hornbeamcroft.Member{Name: "c", Service: "s", Zone: "y", Address: "10.0.0.3:1", Incarnation: 1, State: hornbeamcroft.MemberServing}
	encode := func(v any) []byte {
		value, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	roster := func(members ...any) []byte {
		return encode(struct {
			Zone    string `cbor:"1,keyasint"`
			Members []any  `cbor:"2,keyasint"`
		}{"z", members})
	}
	odd := other
	odd.Name, odd.Address = "d", "10.0.0.4:70000"
	for name, c := range map[string]struct {
		value []byte
		found bool
	}{
		"port too large":   {roster(other, odd), true},
		"number too large": {roster(map[int]any{9: uint64(1) << 63}, other), true},
		"not a member":     {roster("member", other), true},
		"nested deeply":    {bytes.Repeat([]byte{0x81}, 1<<20), false},
		"text":             {[]byte("roster"), false},
		"empty":            {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tr, err := New(0, Config{Self: self})
			is.NoErr(err)
			tr.SetLease(7)
			is.Equal(tr.NextStoreRequest(0).Action, StoreList)
			tr.OnStoreResult(0, StoreResult{Action: StoreList, Entries: []hornbeamcroft.Entry{
				{Key: hornbeamcroft.KeyZonePrefix + "z", Value: c.value, ModRevision: 9},
				{Key: hornbeamcroft.KeyZonePrefix + "y", Value: encode(StoredRoster{Zone: "y", Members: []hornbeamcroft.Member{far}}), ModRevision: 5},
			}})
			is.True(tr.members["c"] != nil)
			is.Equal(tr.members["c2"] != nil, c.found)
			is.True(tr.members["d"] == nil)
			w := tr.NextStoreRequest(rosterWriteInterval)
			is.Equal(w.Action, StoreWrite) // the odd roster is replaced
			is.Equal(w.Conditions[1].ModRevision, int64(9))
		})
	}
}
