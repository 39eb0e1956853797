// Package verifier asks the store whether a configuration is still the newest. After one list it uses watches that the store ends
// at once, which carry only what has changed.
package verifier

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Store is what a Verifier needs of a store.
type Store interface {
	hornbeamcroft.Store
	hornbeamcroft.ChangeLister
}

// Finding is what a response of the store showed.
type Finding struct {
	// At is the time just before the request was sent.
	At time.Duration
	// Found is false if the store holds no such key.
	Found bool
	// Sum is the hash of the value of the key; see Verifier.Hash.
	Sum uint64
	// Era is the era of the store.
	Era int64
}

// Sum returns the hash by which values are compared.
func Sum(value []byte) uint64 { return xxhash.Sum64(value) }

// Verifier asks for the newest value of one key. Set the exported fields before use. It is not safe for concurrent use.
type Verifier struct {
	Store Store
	Key   string
	Clock hornbeamcroft.Clock
	// Hash returns the hash by which values are compared; Sum if it is nil.
	Hash func(value []byte) uint64
	// OnValue is called with each value other than the one before, before Verify returns.
	OnValue func(value []byte)

	// revision is the store's revision up to which all changes of the key are known; zero before the first list.
	revision int64
	found    bool
	sum      uint64
}

// Verify makes one call to the store, or two if the store no longer keeps the changes since the last one.
func (v *Verifier) Verify(ctx context.Context) (Finding, error) {
	if v.revision > 0 {
		f, err := v.listChanges(ctx)
		if !errors.Is(err, hornbeamcroft.ErrHistoryGone) {
			return f, err
		}
	}
	at := v.Clock.Now()
	entries, revision, err := v.Store.List(ctx, v.Key)
	if err != nil {
		return Finding{}, err
	}
	v.revision = revision
	known := v.found
	v.found = false
	for _, e := range entries {
		if e.Key == v.Key {
			v.set(e.Value, known)
		}
	}
	return v.finding(at), nil
}

// listChanges applies the changes since the last call.
func (v *Verifier) listChanges(ctx context.Context) (Finding, error) {
	at := v.Clock.Now()
	events, revision, err := v.Store.ListChanges(ctx, v.Key, v.revision)
	if err != nil {
		return Finding{}, err
	}
	v.revision = revision
	for _, e := range events {
		switch {
		case e.Entry.Key != v.Key:
		case e.Deleted:
			v.found = false
		default:
			v.set(e.Entry.Value, v.found)
		}
	}
	return v.finding(at), nil
}

// set records the value of the key. Known is true if sum is that of the value before.
func (v *Verifier) set(value []byte, known bool) {
	sum := v.hash(value)
	changed := !known || sum != v.sum
	v.found, v.sum = true, sum
	if changed {
		v.OnValue(value)
	}
}

func (v *Verifier) hash(value []byte) uint64 {
	if v.Hash == nil {
		return Sum(value)
	}
	return v.Hash(value)
}

func (v *Verifier) finding(at time.Duration) Finding {
	return Finding{At: at, Found: v.found, Sum: v.sum, Era: hornbeamcroft.RevisionEra(v.revision)}
}
