package enroller

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// write writes the record on the condition that the key still has the known revision. The store may carry out a write whose
// response was lost at a later time; the condition keeps such a write from replacing a newer record.
func (e *Enroller) write(ctx context.Context, value []byte) error {
	for range 2 {
		if e.mustRead {
			if done, err := e.read(ctx, value); done || err != nil {
				return err
			}
			value = e.wanted()
		}
		done, err := e.tryWrite(ctx, value)
		if done || err != nil {
			return err
		}
		// The key was changed by an earlier process of this node, or by a delayed write of this process.
		e.mustRead = true
	}
	return errors.New("the key of the record changed between reading and writing it")
}

// tryWrite makes one conditional write and reports whether the store applied it.
func (e *Enroller) tryWrite(ctx context.Context, value []byte) (bool, error) {
	conditions := []hornbeamcroft.Compare{{Key: e.Key, ModRevision: e.revision}}
	puts := []hornbeamcroft.Put{{Key: e.Key, Value: value, Lease: e.lease}}
	res, err := e.Store.Txn(ctx, conditions, puts)
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		e.lease, e.mustRead = 0, true
		return false, err
	case err != nil:
		e.mustRead = true
		return false, err
	case !res.Succeeded:
		return false, nil
	}
	e.revision = res.Revision
	e.setStored(value)
	e.OnWritten(res.Revision)
	return true, nil
}

// setStored records that the store holds the value under the current lease.
func (e *Enroller) setStored(value []byte) {
	e.storedValue = value
	if e.OnStored != nil {
		e.OnStored(value)
	}
}

// wanted returns the record that the store should hold.
func (e *Enroller) wanted() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value
}

// read gets the current revision of the key, which an earlier process of this node may have written, and reports whether the key
// already holds the value under the current lease.
func (e *Enroller) read(ctx context.Context, value []byte) (bool, error) {
	entry, err := e.Store.Get(ctx, e.Key)
	if err != nil {
		return false, err
	}
	e.revision, e.mustRead = entry.ModRevision, false
	if bytes.Equal(entry.Value, value) && entry.Lease == e.lease {
		e.setStored(value)
		return true, nil
	}
	if entry.ModRevision == 0 || entry.Lease != e.lease {
		e.unbroken = false
	}
	switch {
	case e.OnFound == nil:
	case entry.ModRevision == 0:
		e.OnFound(nil)
	default:
		e.OnFound(entry.Value)
	}
	return false, nil
}
