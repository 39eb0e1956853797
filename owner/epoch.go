package owner

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// MaxRoster is the greatest number of members in a roster.
	MaxRoster = 1000
	// MaxNameLength is the greatest length of a service or member name in bytes.
	MaxNameLength = 128
)

// Epoch is a numbered version of the roster of a service. It is stored at hornbeamcroft/epochs/<service> and written by
// compare-and-swap only.
type Epoch struct {
	Service string `cbor:"1,keyasint"`
	// Number starts at 1 and rises by one with each change of the roster.
	Number uint64 `cbor:"2,keyasint"`
	// Roster holds the names of the members, at least one, sorted and without duplicates.
	Roster []string `cbor:"3,keyasint"`
	// Previous is the roster of the epoch before; empty for epoch 1.
	Previous []string `cbor:"4,keyasint,omitempty"`
	// Settled is true once no member of Previous can still run a key that moved. Until then the new home of a key that
	// moved refuses it, unless the previous home has handed over all of its records.
	Settled bool `cbor:"5,keyasint,omitempty"`
	// Writer is the member that wrote the epoch. It drives the takeover at once, before any other member does. Operators
	// can see from it which member changed the roster.
	Writer string `cbor:"6,keyasint,omitempty"`
	// Stopped lists members of Previous that an operator declares stopped. They count as having acknowledged the epoch, so
	// a key may run twice if a process under such a name still runs.
	Stopped []string `cbor:"7,keyasint,omitempty"`
	// PermitTime is the validity of permits in this epoch. It is part of the epoch, in place of a setting that each
	// node reads from the document, because the permit of a node that has not learned a shorter time would last longer
	// than the takeover waits.
	PermitTime time.Duration `cbor:"8,keyasint"`
	// PreviousPermitTime is the PermitTime of the epoch before; zero for epoch 1. A takeover waits until permits of
	// that length have ended.
	PreviousPermitTime time.Duration `cbor:"9,keyasint,omitempty"`
}

// Bounds of PermitTime; maxPermitTime bounds PreviousPermitTime too.
const (
	minPermitTime = 100 * time.Millisecond
	maxPermitTime = time.Hour
)

// Check reports whether the epoch is well formed.
func (e Epoch) Check() error {
	if e.Service == "" || len(e.Service) > MaxNameLength || len(e.Writer) > MaxNameLength {
		return errors.Errorf("epoch: service must have 1 to %d bytes, writer at most as many", MaxNameLength)
	}
	if e.Number == 0 {
		return errors.New("epoch: number is 0, must be at least 1")
	}
	if len(e.Roster) == 0 {
		return errors.New("epoch: roster is empty")
	}
	for _, names := range [][]string{e.Roster, e.Previous, e.Stopped} {
		if err := checkNames(names); err != nil {
			return err
		}
	}
	if len(e.Previous) == 0 && (e.Number != 1 || !e.Settled) {
		return errors.New("epoch: previous roster is empty, allowed only in epoch 1 if it is settled")
	}
	if e.PermitTime < minPermitTime || e.PermitTime > maxPermitTime || e.PreviousPermitTime < 0 ||
		e.PreviousPermitTime > maxPermitTime {
		return errors.Errorf("epoch: permit time %s must be %[3]s to %[4]s, previous permit time %[2]s must be 0s to %[4]s",
			e.PermitTime, e.PreviousPermitTime, minPermitTime, maxPermitTime)
	}
	return nil
}

// checkNames reports an error if names is too long or unsorted, or has a duplicate or a name of invalid length.
func checkNames(names []string) error {
	if len(names) > MaxRoster {
		return errors.Errorf("epoch: list of %d names, must have at most %d", len(names), MaxRoster)
	}
	for i, name := range names {
		if name == "" || len(name) > MaxNameLength {
			return errors.Errorf("epoch: name of %d bytes, must have 1 to %d", len(name), MaxNameLength)
		}
		if i > 0 && names[i-1] >= name {
			return errors.Errorf("epoch: name %q is a duplicate or out of order", name)
		}
	}
	return nil
}

// next returns the epoch that follows e, with the given sorted roster and permit time. It is unsettled, except for
// epoch 1, which follows the zero Epoch and has no previous roster.
func (e Epoch) next(roster []string, writer string, permitTime time.Duration) Epoch {
	n := Epoch{
		Service: e.Service, Number: e.Number + 1, Roster: roster, Previous: e.Roster, Writer: writer,
		PermitTime: permitTime, PreviousPermitTime: e.PermitTime,
	}
	if e.Number == 0 {
		n.Settled = true
	}
	return n
}

// Encode returns the CBOR encoding of the epoch, which is its value in the store.
func (e Epoch) Encode() []byte {
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // cannot happen: a struct of strings, numbers and booleans always encodes
	}
	return b
}

// DecodeEpoch parses an epoch's value in the store and checks that it is well formed.
func DecodeEpoch(b []byte) (Epoch, error) {
	var e Epoch
	if err := cbor.Unmarshal(b, &e); err != nil {
		return Epoch{}, errors.Wrap(err, "epoch")
	}
	return e, e.Check()
}

// contains reports whether the sorted list contains the name.
func contains(sorted []string, name string) bool {
	_, ok := slices.BinarySearch(sorted, name)
	return ok
}
