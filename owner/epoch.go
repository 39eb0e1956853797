package owner

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// MaxRoster bounds the members of one service.
	MaxRoster = 1000
	// MaxNameLength bounds names, in bytes.
	MaxNameLength = 128
)

// Epoch is the value in the store at hornbeamcroft/epochs/<service>. It changes by compare-and-swap only.
type Epoch struct {
	Service string `cbor:"1,keyasint"`
	// Number rises by one with each change of the roster, from 1.
	Number uint64 `cbor:"2,keyasint"`
	// Roster is sorted and has no duplicates; at least one member.
	Roster []string `cbor:"3,keyasint"`
	// Previous is the roster of the epoch before; empty for epoch 1.
	Previous []string `cbor:"4,keyasint,omitempty"`
	// Settled is true once no member of Previous can run a key that moved. Until then moved keys are refused.
	Settled bool `cbor:"5,keyasint,omitempty"`
	// Writer is the member that wrote the epoch, for operators and as the one that drives it first.
	Writer string `cbor:"6,keyasint,omitempty"`
	// Dead lists members of Previous that an operator declares stopped. They count as acknowledging, so a process
	// under such a name that still runs breaks the promise.
	Dead []string `cbor:"7,keyasint,omitempty"`
	// PermitTime is the validity of permits in this epoch. It is part of the epoch, and not read from the document by
	// each node, because a node that has not heard of a shorter time would outlast the wait of its successor.
	PermitTime time.Duration `cbor:"8,keyasint"`
	// PreviousPermitTime is that of the epoch before, for which a takeover waits; zero for epoch 1.
	PreviousPermitTime time.Duration `cbor:"9,keyasint,omitempty"`
}

// Bounds of permit times in an epoch.
const (
	minPermitTime = 100 * time.Millisecond
	maxPermitTime = time.Hour
)

// Check reports whether the epoch is well formed.
func (e Epoch) Check() error {
	if e.Service == "" || len(e.Service) > MaxNameLength || len(e.Writer) > MaxNameLength {
		return errors.Errorf("epoch: service needs 1 to %d bytes, writer at most as many", MaxNameLength)
	}
	if e.Number == 0 {
		return errors.New("epoch: number 0: allowed are 1 and above")
	}
	if len(e.Roster) == 0 {
		return errors.New("epoch: the roster is empty")
	}
	for _, names := range [][]string{e.Roster, e.Previous, e.Dead} {
		if err := checkNames(names); err != nil {
			return err
		}
	}
	if len(e.Previous) == 0 && (e.Number != 1 || !e.Settled) {
		return errors.New("epoch: only a settled epoch 1 has no previous roster")
	}
	if e.PermitTime < minPermitTime || e.PermitTime > maxPermitTime || e.PreviousPermitTime < 0 ||
		e.PreviousPermitTime > maxPermitTime {
		return errors.Errorf("epoch: permit time %s after %s: allowed are %s to %s", e.PermitTime, e.PreviousPermitTime,
			minPermitTime, maxPermitTime)
	}
	return nil
}

func checkNames(names []string) error {
	if len(names) > MaxRoster {
		return errors.Errorf("epoch: %d names: allowed are at most %d", len(names), MaxRoster)
	}
	for i, name := range names {
		if name == "" || len(name) > MaxNameLength {
			return errors.Errorf("epoch: name of %d bytes: allowed are 1 to %d", len(name), MaxNameLength)
		}
		if i > 0 && names[i-1] >= name {
			return errors.Errorf("epoch: name %q is repeated or out of order", name)
		}
	}
	return nil
}

// next returns the unsettled epoch that follows e with the given sorted roster and permit time.
func (e Epoch) next(roster []string, writer string, permit time.Duration) Epoch {
	n := Epoch{
		Service: e.Service, Number: e.Number + 1, Roster: roster, Previous: e.Roster, Writer: writer,
		PermitTime: permit, PreviousPermitTime: e.PermitTime,
	}
	if e.Number == 0 {
		n.Settled = true
	}
	return n
}

// Encode returns the value for the store.
func (e Epoch) Encode() []byte {
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // plain structs of strings and numbers always encode
	}
	return b
}

// DecodeEpoch parses a value from the store.
func DecodeEpoch(b []byte) (Epoch, error) {
	var e Epoch
	if err := cbor.Unmarshal(b, &e); err != nil {
		return Epoch{}, errors.Wrap(err, "epoch")
	}
	return e, e.Check()
}

func contains(sorted []string, name string) bool {
	_, ok := slices.BinarySearch(sorted, name)
	return ok
}
